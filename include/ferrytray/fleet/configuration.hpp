#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::fleet {

/// @brief A target service of a route, with its share of the route's requests.
struct ServiceShare
{
  std::string m_service;
  std::uint32_t m_weight = 1;
};

/// @brief Settings of the requests to one path prefix of one host name.
struct Route
{
  std::string m_name;
  std::string m_hostName;   ///< as in the Host header of the request
  std::string m_pathPrefix; ///< begins and ends with a slash
  std::vector<ServiceShare> m_services;
  bool m_streaming = false;
  bool m_idempotent = false;        ///< for plain requests only; streams use m_resumable
  bool m_resumable = false;         ///< a stream may be resumed at another endpoint
  bool m_public = false;            ///< requests need no API key
  std::uint32_t m_maxEndpoints = 1; ///< maximum number of endpoints that one request may run on
  base::Duration m_timeout{};       ///< from the arrival of a request to its final answer
  base::Duration m_targetLatency{}; ///< to the first significant byte of the answer
  std::uint32_t m_priority = 0;     ///< 0 is most urgent

  /// @brief Whether a request that may have run already may be retried.
  [[nodiscard]] bool IsRepeatable() const { return m_streaming ? m_resumable : m_idempotent; }
};

/// @brief Properties of the engines of a service.
struct EngineTraits
{
  std::uint32_t m_slots = 1;            ///< requests that run concurrently
  std::uint64_t m_kvCapacityTokens = 0; ///< memory for running requests and cached prompts
  double m_kvBytesPerToken = 0;         ///< bytes of KV cache per token, as transferred over links
  std::vector<std::string> m_models;
};

/// @brief Properties of a store that keeps KV cache for engines.
struct KvStoreTraits
{
  std::string m_address; ///< IP:PORT
  std::string m_zone;
  std::uint64_t m_capacityTokens = 0;
  double m_linkMegabitsPerSecond = 0; ///< bandwidth of the store's link
  bool m_managed = false;
};

/// @brief Reduced load that an endpoint can handle for a while after its start.
struct ColdTraits
{
  base::Duration m_duration{};    ///< how long an endpoint stays cold after a start
  double m_requestsPerSecond = 0; ///< handled while cold, from all hosts together
};

/// @brief A group of interchangeable endpoints.
struct Service
{
  std::string m_name;
  std::uint32_t m_maxConnections = 0; ///< per endpoint, from all hosts together
  std::optional<ColdTraits> m_cold;   ///< none: a cold endpoint handles the full load
  std::optional<EngineTraits> m_engine;
  std::optional<KvStoreTraits> m_kvStore;
};

/// @brief A customer of the operators, identified by API keys.
struct ClientAccount
{
  std::string m_name;
  std::vector<std::string> m_keys;
  bool m_isolated = false;                 ///< shares no KV cache with other accounts
  std::optional<std::uint32_t> m_priority; ///< overrides the priority of the route
};

/// @brief Limits on requests from callers.
struct CallerLimits
{
  std::size_t m_headerBytes = 16U << 10U;
  std::size_t m_bodyBytes = 4U << 20U;
  base::Duration m_headerTimeout = std::chrono::seconds(3);
  base::Duration m_idleTimeout = std::chrono::seconds(15);
};

/// @brief One version of the operators' configuration. Immutable once published.
struct Configuration
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<ClientAccount> m_accounts; ///< empty: requests need no API key
  CallerLimits m_limits;
};

} // namespace ferrytray::fleet
