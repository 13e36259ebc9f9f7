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

/// @brief One send of a request to one endpoint.
struct EndpointCall
{
  std::string m_address;    ///< IP:PORT
  std::string m_endpointId; ///< any other one at that address refuses the request
  base::Duration m_remaining{};
  std::string m_account; ///< the client account's name; empty if the route needs none
  std::optional<std::uint64_t> m_resumeAfter;
  std::optional<fleet::WeightVersion> m_weights; ///< an endpoint with others refuses the request
  std::string m_cacheScope; ///< cached parts are found only under the same text
  cache::PartPlan m_parts;  ///< where the prompt's parts come from and go to
  /// Prompt tokens by what becomes of their part (cache::PartOutcome).
  std::array<std::uint64_t, cache::kPartOutcomes> m_tokensByOutcome{};
  base::Duration m_maxIdle{}; ///< of a connection that is reused
  bool m_repeatable = false;
  /// Of a prompt: 0 is run first when not all can run at once.
  std::optional<std::uint32_t> m_rank;
};

/// @brief What the head of an endpoint's reply says.
struct ReplyHead
{
  int m_status = 0;
  bool m_notRun = false;      ///< the endpoint states that it has not run the request
  bool m_misdirected = false; ///< refused: not the endpoint or not the weights that were named
  bool m_signed = false;      ///< bears the endpoint's signature
  std::string m_requestId;    ///< of the request that it answers
  std::string m_endpointId;   ///< of the endpoint that replied, if told
  std::optional<fleet::WeightVersion> m_weights;
  std::optional<base::Duration> m_idleTimeout; ///< the endpoint closes idle connections after it
  net::Headers m_forwarded;                    ///< end-to-end headers

  [[nodiscard]] bool Succeeds() const { return m_status >= 200 && m_status < 300; }
  /// @brief Whether its status would promise a caller that the request has not run. Only a host
  /// knows that of all its sends, so such a status is never passed on as it is.
  [[nodiscard]] bool PromisesNotRun() const
  {
    return m_status == 408 || m_status == 421 || m_status == 429 || m_status == 503;
  }
};

} // namespace ferrytray::relay
