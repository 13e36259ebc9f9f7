#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/relay/assignment.hpp"     // for Assignment
#include "ferrytray/relay/caller_request.hpp" // for CallerRequest
#include "ferrytray/relay/endpoint_call.hpp"  // for EndpointCall
#include "ferrytray/relay/relay_core.hpp"     // for RelayCore
#include "ferrytray/relay/route_match.hpp"    // for Admitted

namespace ferrytray::relay {

/// @brief Where a send goes.
struct Target
{
  const fleet::Endpoint* m_endpoint = nullptr; ///< null: no endpoint is usable
  std::string m_partSource;     ///< IP:PORT of another endpoint that may hold the prompt's parts
  routing::Work m_openWork = 0; ///< open at the endpoint, as far as known, when it was chosen
  bool m_memoryFull = false;    ///< a prompt would wait for memory there and at its other homes
};

/// @brief Decides for one request which endpoint it is sent to and what that send says.
class CallPlanner
{
public:
  /// Keeps references to all three.
  CallPlanner(RelayCore& aCore, const CallerRequest& aRequest, const RouteMatch& aRouteMatch)
    : m_core(aCore)
    , m_request(aRequest)
    , m_routeMatch(aRouteMatch)
  {
  }

  /// @brief One of the route's services, by their weights.
  [[nodiscard]] const std::string& PickService();
  /// @param aExcluded incarnations that are not to be asked again
  /// @param aAssigned the engine that the prompt was given to, if any
  [[nodiscard]] Target PickTarget(const std::string& aService,
                                  const std::set<std::string>& aExcluded,
                                  const Assignment& aAssigned);
  /// @brief Whether the request has a prompt that the service's engines read for long.
  [[nodiscard]] bool IsLongPrompt(const std::string& aService) const;
  /// @param aRemaining until the answer is due
  /// @param aResumeAfter the caller has a stream's events up to here
  [[nodiscard]] EndpointCall BuildCall(const Target& aTarget,
                                       base::Duration aRemaining,
                                       std::optional<std::uint64_t> aResumeAfter);

private:
  /// What the endpoint goes by when it cannot run all its prompts at once.
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
