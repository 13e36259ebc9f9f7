#pragma once

#include <cstddef> // for size_t
#include <string>  // for string

#include "ferrytray/base/time.hpp"   // for Duration
#include "ferrytray/net/address.hpp" // for Address

namespace ferrytray::gate {

/// @brief Settings of a gate.
struct GateOptions
{
  std::string m_host;
  std::string m_zone;
  std::string m_incarnation;                  ///< unique across restarts; must not contain a dot
  std::string m_platform;                     ///< "http://IP:PORT"
  net::Address m_listen{ "127.0.0.1", 8080 }; ///< HTTP requests of callers
  net::Address m_control{ "127.0.0.1", 0 };   ///< ticket tables from peers (TCP)
  net::Address m_keeper{ "127.0.0.1", 0 };    ///< this host's keeper (TCP)
  std::size_t m_maxBodyBytes = 8U << 20U;     ///< longer bodies are rejected
  std::size_t m_maxHeaderBytes = 32U << 10U;
  std::size_t m_maxUnsentBytes = 4U << 20U; ///< backlog at which a slow caller is dropped
  std::size_t m_maxStoredResponseBytes = 16U << 20U;
  std::size_t m_queueCapacity = 4096; ///< queued requests per fleet
  base::Duration m_holdAbove =
    std::chrono::milliseconds(300); ///< queue wait of engines above which requests are queued here
  base::Duration m_defaultDeadline = std::chrono::minutes(5);
  base::Duration m_maxDeadline = std::chrono::minutes(30);
  base::Duration m_drainWait = std::chrono::seconds(2); ///< for the load balancer to notice
  base::Duration m_maxLoadReportAge = std::chrono::seconds(10);
  base::Duration m_claimTimeout = std::chrono::seconds(2);
  /// How long a request waits for the membership protocol to announce the gate incarnation that
  /// issued its ticket: four rounds.
  base::Duration m_ticketHolderTimeout = std::chrono::seconds(2);
  base::Duration m_claimWindow = std::chrono::hours(1);
  /// Maximum time from the append of a configuration change to the log until it is in force.
  base::Duration m_maxConfigurationDelay = std::chrono::seconds(3);
};

} // namespace ferrytray::gate
