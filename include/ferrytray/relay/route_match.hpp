#pragma once

#include "ferrytray/fleet/configuration_index.hpp" // for ConfigurationPtr

namespace ferrytray::relay {

/// @brief The configuration's route and client account for a request.
struct RouteMatch
{
  fleet::ConfigurationPtr m_configuration; ///< owns the route and the account
  const fleet::Route* m_route = nullptr;
  const fleet::ClientAccount* m_account = nullptr; ///< null on routes that need none
};

} // namespace ferrytray::relay
