#pragma once

#include <functional> // for function
#include <optional>   // for optional
#include <set>        // for set
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/net/http_client.hpp"        // for ClientRequest
#include "ferrytray/relay/forward_messages.hpp" // for ForwardedRequest
#include "ferrytray/relay/forward_targets.hpp"  // for ForwardTargets
#include "ferrytray/relay/relay_core.hpp"       // for RelayCore

namespace ferrytray::relay {

/// @brief Selects other hosts for requests that this host cannot send to an endpoint itself, and
/// builds the calls to them.
class Forwarder
{
public:
  using HostsProvider = std::function<std::vector<peers::Peer>()>;

  /// @param aHosts returns the reachable hosts, without this one
  /// @param aPath of the calls to other hosts
  Forwarder(RelayCore& aCore, HostsProvider aHosts, std::string aPath)
    : m_core(aCore)
    , m_hosts(std::move(aHosts))
    , m_path(std::move(aPath))
  {
  }

  /// @param aExcluded names of hosts that must not be selected
  [[nodiscard]] std::optional<peers::Peer> PickHost(const std::set<std::string>& aExcluded) const;
  [[nodiscard]] net::ClientRequest BuildCall(const peers::Peer& aHost,
                                             const ForwardedRequest& aRequest) const;
  [[nodiscard]] ForwardTargets& Targets() { return m_targets; }
  /// @brief Returns when a caller may try again after no host could be selected.
  [[nodiscard]] base::Duration RetryAfter(base::TimePoint aNow) const;

private:
  RelayCore& m_core;
  HostsProvider m_hosts;
  std::string m_path;
  ForwardTargets m_targets;
};

} // namespace ferrytray::relay
