#pragma once

#include <cstdint>     // for uint32_t
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/relay/relay_core.hpp"  // for RelayCore
#include "ferrytray/routing/placement.hpp" // for PlacementCandidate

namespace ferrytray::relay {

/// @brief What an engine needs in order to run a prompt.
struct PromptRequirements
{
  std::string_view m_model;
  std::uint32_t m_tokens = 0; ///< of the whole prompt
};

/// @brief When endpoints that were left out for some time may get requests again. Empty: none was
/// left out for that reason.
struct RetryTimes
{
  std::optional<base::TimePoint> m_nextPermitAt;  ///< a permit may be requested, at the earliest
  std::optional<base::TimePoint> m_backoffEndsAt; ///< the earliest end of a backoff
  std::optional<base::TimePoint> m_nextSlotAt;    ///< a slot may be requested, at the earliest
};

/// @brief Endpoints that a request may be sent to, and their state. Both vectors have equal size.
struct Candidates
{
  std::vector<const fleet::Endpoint*> m_endpoints;
  std::vector<routing::PlacementCandidate> m_placements;
  RetryTimes m_retryTimes;
};

/// @brief Key of the group of endpoints that a prompt considers, so that prompts with the same
/// prefix meet. @see fleet::UsableEndpoints
[[nodiscard]] std::uint64_t GroupKeyOf(std::string_view aHomeKey);

/// @brief Finds the endpoints of a service that a request may be sent to: those of the group of
/// aGroupKey or, if none of them is preferable, of all groups.
/// @param aService null: the configuration does not declare the service
/// @param aRequirements empty for requests without a prompt
/// @param aExcluded incarnations that must not be selected
/// @param aColdSource who selects the endpoint: this host or the dispatcher; each has its own rate
/// limit for cold endpoints
/// @param aAssigned incarnation assigned by the dispatcher, accepted even if it is cold; may be
/// empty
[[nodiscard]] Candidates FindCandidates(RelayCore& aCore,
                                        const std::string& aServiceName,
                                        const fleet::Service* aService,
                                        const std::optional<PromptRequirements>& aRequirements,
                                        const std::set<std::string>& aExcluded,
                                        routing::ColdTrafficSource aColdSource,
                                        const std::string& aAssigned,
                                        std::uint64_t aGroupKey,
                                        base::TimePoint aNow);

} // namespace ferrytray::relay
