#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::fleet {

/// @brief A service that a route leads to, with its share of the route's requests.
struct ServiceShare
{
  std::string m_service;
  std::uint32_t m_weight = 1;
};

/// @brief One path prefix of one host name, and how its requests are to be treated.
struct Route
{
  std::string m_name;
  std::string m_hostName;   ///< of the caller's Host header
  std::string m_pathPrefix; ///< begins and ends with a slash
  std::vector<ServiceShare> m_services;
  bool m_streaming = false;
  bool m_idempotent = false;        ///< plain requests only; streams go by m_resumable
  bool m_resumable = false;         ///< a stream may go on at another endpoint
  bool m_public = false;            ///< needs no key
  std::uint32_t m_maxEndpoints = 1; ///< endpoints that one request may run on
  base::Duration m_timeout{};       ///< the request's final answer is due then
  base::Duration m_targetLatency{}; ///< to the first byte that counts
  std::uint32_t m_priority = 0;     ///< 0 is most urgent

  /// @brief Whether a request may be run again after it may have run.
  [[nodiscard]] bool IsRepeatable() const { return m_streaming ? m_resumable : m_idempotent; }
};

/// @brief What the engines of a service can do.
struct EngineTraits
{
  std::uint32_t m_slots = 1;            ///< requests that run at once
  std::uint64_t m_kvCapacityTokens = 0; ///< memory for running requests and cached prompts
  double m_kvBytesPerToken = 0;         ///< on the links
  std::vector<std::string> m_models;
};

/// @brief A host that keeps KV cache for engines.
struct KvStoreTraits
{
  std::string m_address; ///< IP:PORT
  std::string m_zone;
  std::uint64_t m_capacityTokens = 0; ///< room
  double m_linkMegabitsPerSecond = 0; ///< a second
  bool m_managed = false;
};

/// @brief What an endpoint bears for a while after its start.
struct ColdTraits
{
  base::Duration m_duration{};    ///< after a start
  double m_requestsPerSecond = 0; ///< requests that it bears meanwhile, from all hosts together
};

/// @brief A group of like endpoints.
struct Service
{
  std::string m_name;
  std::uint32_t m_maxConnections = 0; ///< that one endpoint accepts from all hosts together
  std::optional<ColdTraits> m_cold;   ///< none: as much as at any time
  std::optional<EngineTraits> m_engine;
  std::optional<KvStoreTraits> m_kvStore;
};

/// @brief A customer of the operators.
struct ClientAccount
{
  std::string m_name;
  std::vector<std::string> m_keys;
  bool m_isolated = false;                 ///< shares no KV cache with other accounts
  std::optional<std::uint32_t> m_priority; ///< goes before the route's
};

/// @brief What callers may send.
struct CallerLimits
{
  std::size_t m_headerBytes = 16U << 10U;
  std::size_t m_bodyBytes = 4U << 20U;
  base::Duration m_headerTimeout = std::chrono::seconds(3);
  base::Duration m_idleTimeout = std::chrono::seconds(15);
};

/// @brief All that the operators have declared, in one version. Immutable once published.
struct Configuration
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<ClientAccount> m_accounts; ///< none: requests need no key
  CallerLimits m_limits;
};

} // namespace ferrytray::fleet
