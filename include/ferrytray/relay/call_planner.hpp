#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/relay/assignment.hpp"     // for Assignment
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/candidates.hpp"     // for RetryTimes
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore
#include "ferrytray/relay/route_match.hpp"    // for RouteMatch

namespace ferrytray::relay {

/// @brief The endpoint selected for a send.
struct Target
{
  const fleet::Endpoint* m_endpoint = nullptr; ///< null: no endpoint is usable
  std::string m_partSource;     ///< IP:PORT of another endpoint that may hold cached parts of the
                                ///< prompt, or empty
  routing::Work m_openWork = 0; ///< last known open work of the endpoint when it was selected
  bool m_memoryFull = false;    ///< a prompt would wait for memory at all its home endpoints
  RetryTimes m_retryTimes{};    ///< if there is no endpoint
};

/// @brief Selects the endpoint for each send of a request and builds the call to it.
class CallPlanner
{
public:
  /// Keeps references to all three arguments.
  CallPlanner(RelayCore& aCore, const CallerRequest& aRequest, const RouteMatch& aRouteMatch)
    : m_core(aCore)
    , m_request(aRequest)
    , m_routeMatch(aRouteMatch)
  {
  }

  /// @brief Picks one of the route's services at random, by weight.
  [[nodiscard]] const std::string& PickService();
  /// @param aExcluded incarnations that must not be selected
  /// @param aAssigned the engine assigned to the prompt, if any
  [[nodiscard]] Target PickTarget(const std::string& aService,
                                  const std::set<std::string>& aExcluded,
                                  const Assignment& aAssigned);
  /// @brief Whether the request has a prompt that counts as long for the service's engines.
  [[nodiscard]] bool IsLongPrompt(const std::string& aService) const;
  /// @param aRemaining time until the deadline
  /// @param aResumeAfter id of the last stream event that the caller has received
  [[nodiscard]] EndpointCall BuildCall(const Target& aTarget,
                                       base::Duration aRemaining,
                                       std::optional<std::uint64_t> aResumeAfter);

private:
  /// Key of the group of endpoints that the request considers; random without a prompt.
  [[nodiscard]] std::uint64_t GroupKey();
  /// The priority by which the endpoint orders prompts that it cannot run at once; 0 runs first.
  [[nodiscard]] std::uint32_t RankOf(const std::string& aService) const;
  [[nodiscard]] std::vector<cache::PlannedPart> PlannedParts() const;
  [[nodiscard]] cache::PartPlan PlanParts(std::span<const cache::PlannedPart> aParts,
                                          const std::string& aScope,
                                          const std::string& aPartSource);

  RelayCore& m_core;
  const CallerRequest& m_request;
  const RouteMatch& m_routeMatch;
};

} // namespace ferrytray::relay
