#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp"   // for Duration
#include "ferrytray/net/address.hpp" // for Address

namespace ferrytray::keeper {

/// @brief Settings of one keeper.
struct KeeperOptions
{
  std::string m_host;
  std::string m_zone;
  std::string m_platform;                   ///< "http://IP:PORT"
  net::Address m_http{ "127.0.0.1", 0 };    ///< status, health and metrics
  net::Address m_control{ "127.0.0.1", 0 }; ///< frames from its gate and from peers (TCP)
  net::Address m_gossip{ "127.0.0.1", 0 };  ///< datagrams between keepers (UDP)
  std::vector<net::Address>
    m_seeds; ///< peers' datagram addresses, used until the host list can be read
  std::uint64_t m_incarnation = 0;
  base::Duration m_roundInterval = std::chrono::milliseconds(500); ///< of membership and shares
  base::Duration m_loadPollInterval = std::chrono::milliseconds(200);
  base::Duration m_hostListPollInterval = std::chrono::milliseconds(500);
  base::Duration m_maxScopeAge =
    std::chrono::hours(12); ///< a scope whose newest copy in the log is older is appended again
  base::Duration m_leaseDuration = std::chrono::seconds(9);
  /// Maximum time from the append of a configuration change until it is in force.
  base::Duration m_configurationDue = std::chrono::seconds(3);
};

} // namespace ferrytray::keeper
