#pragma once

#include "ferrytray/fleet/configuration_index.hpp" // for ConfigurationPtr

namespace ferrytray::relay {

/// @brief What the configuration says of a request.
struct RouteMatch
{
  fleet::ConfigurationPtr m_configuration; ///< keeps the next two alive
  const fleet::Route* m_route = nullptr;
  const fleet::ClientAccount* m_account = nullptr; ///< null on routes that need none
};

} // namespace ferrytray::relay
