#pragma once

#include <memory> // for shared_ptr

#include "ferrytray/fleet/configuration_index.hpp" // for ConfigurationPtr
#include "ferrytray/relay/forward_messages.hpp"    // for ForwardedRequest

namespace ferrytray::relay {

/// @brief The configuration's route and client account for a request.
struct RouteMatch
{
  /// Owns the route and the account, unless another host has forwarded the request.
  fleet::ConfigurationPtr m_configuration;
  const fleet::Route* m_route = nullptr;
  const fleet::ClientAccount* m_account = nullptr; ///< null on routes that need none
  /// Owns the route and the account of a request that another host has forwarded; null: the caller
  /// has sent it to this host.
  std::shared_ptr<const ForwardedRequest> m_forwarded;
};

} // namespace ferrytray::relay
