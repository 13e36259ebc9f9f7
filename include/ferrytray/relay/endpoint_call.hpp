#pragma once

#include <array>    // for array
#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string

#include "ferrytray/base/time.hpp"          // for Duration
#include "ferrytray/cache/part_planner.hpp" // for PartPlan
#include "ferrytray/fleet/directory.hpp"    // for WeightVersion
#include "ferrytray/net/http_server.hpp"    // for Headers

namespace ferrytray::relay {

/// @brief One send of a request to an endpoint.
struct EndpointCall
{
  std::string m_address;    ///< IP:PORT
  std::string m_endpointId; ///< another endpoint at the same address refuses the request
  base::Duration m_remaining{};
  std::string m_account; ///< name of the client account; empty if the route needs none
  std::optional<std::uint64_t> m_resumeAfter;
  std::optional<fleet::WeightVersion> m_weights; ///< endpoints with another version refuse
  std::string m_cacheScope; ///< cached parts are found only under an equal scope
  cache::PartPlan m_parts;  ///< where the prompt's parts are read from and stored
  /// Prompt tokens per cache::PartOutcome.
  std::array<std::uint64_t, cache::kPartOutcomes> m_tokensByOutcome{};
  base::Duration m_maxIdle{}; ///< maximum idle time of a reused connection
  bool m_repeatable = false;
  /// Priority of a prompt: 0 runs first when the endpoint cannot run all prompts at once.
  std::optional<std::uint32_t> m_rank;
};

/// @brief The decoded head of an endpoint's reply.
struct ReplyHead
{
  int m_status = 0;
  bool m_notRun = false;      ///< the endpoint reports that it has not executed the request
  bool m_misdirected = false; ///< refused because the endpoint or its weight version is not the one
                              ///< named in the request
  bool m_signed = false;      ///< carries the endpoint's signature
  std::string m_requestId;    ///< id of the request that the reply belongs to
  std::string m_endpointId;   ///< id of the endpoint that replied, if reported
  std::optional<fleet::WeightVersion> m_weights;
  std::optional<base::Duration> m_idleTimeout; ///< after which the endpoint closes idle connections
  /// Requests per second that the endpoint accepts from all hosts together; empty: no limit named.
  std::optional<double> m_requestLimit;
  bool m_invalidRequestLimit = false; ///< a limit was named that is no valid number
  /// Rejections within a second beyond which the endpoint fails; empty: not announced.
  std::optional<double> m_maxRejections;
  bool m_invalidBrittleness = false; ///< announced with a number that is not valid
  bool m_leaving = false;            ///< the endpoint announces its shutdown
  bool m_invalidLeaving = false;     ///< the announcement has an unknown value
  /// With a refusal: how long the endpoint wants no request of this host; empty: not requested.
  std::optional<base::Duration> m_retryAfter;
  bool m_invalidRetryAfter = false; ///< a delay was named that is no valid number
  net::Headers m_forwardedHeaders;  ///< end-to-end headers

  [[nodiscard]] bool Succeeds() const { return m_status >= 200 && m_status < 300; }
  /// @brief Whether the status would tell a caller that the request was not executed. Only the host
  /// knows this for all of its sends, so such a status is never forwarded unchanged.
  [[nodiscard]] bool ImpliesNotRun() const
  {
    return m_status == 408 || m_status == 421 || m_status == 429 || m_status == 503;
  }
};

} // namespace ferrytray::relay
