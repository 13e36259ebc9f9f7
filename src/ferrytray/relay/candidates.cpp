#include "ferrytray/relay/candidates.hpp"

#include <algorithm> // for any_of, find, max, min

#include "ferrytray/base/digest.hpp"             // for Hash64
#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/cold_engines.hpp"      // for MaySendToCold
#include "ferrytray/relay/endpoint_signals.hpp"  // for BackoffEndsAt
#include "ferrytray/relay/request_limits.hpp"    // for PermitDeniedUntil
#include "ferrytray/relay/slot_client.hpp"       // for NeedsSlot
#include "ferrytray/routing/engine_memory.hpp"   // for HasRoom, ClassifyPrompt

namespace ferrytray::relay {

namespace {

/// Whether this or another host saw the endpoint break off requests recently.
bool HasCrashed(const RelayCore& aCore, const std::string& aIncarnation, base::TimePoint aNow)
{
  return aCore.m_crashes.AnyCrashed() && aCore.m_crashes.IsDown(peers::KeyOf(aIncarnation), aNow);
}

/// Records the new weights of engines whose announced reload should have finished by now.
void ApplyCompletedReloads(RelayCore& aCore, base::TimePoint aNow)
{
  for (const peers::ReloadedWeights& ended : aCore.m_reloads.TakeEnded(aNow)) {
    for (const fleet::Endpoint* endpoint : aCore.m_directory.All()) {
      if (peers::TagOf(endpoint->m_incarnation) == ended.m_endpoint) {
        aCore.m_directory.NoteExpectedWeights(
          endpoint->m_incarnation, ended.m_model, ended.m_version);
      }
    }
  }
}

/// Whether the deadline for replacing the endpoint's weights has passed.
bool HasOutdatedWeights(const RelayCore& aCore,
                        const fleet::Endpoint& aEndpoint,
                        const PromptRequirements& aRequirements,
                        base::TimePoint aNow)
{
  const std::string model(aRequirements.m_model);
  const auto weights = aEndpoint.m_weights.find(model);
  return weights != aEndpoint.m_weights.end() &&
         weights->second < aCore.m_namedWeights.OldestAllowed(model, aNow);
}

/// Whether a prompt would wait for memory at an engine with this much open work.
bool LacksMemory(const fleet::Service* aService,
                 const PromptRequirements& aRequirements,
                 routing::Work aOpen)
{
  if (aService == nullptr || !aService->m_engine || aService->m_engine->m_kvCapacityTokens == 0) {
    return false;
  }
  const std::uint64_t memory = aService->m_engine->m_kvCapacityTokens;
  return !routing::HasRoom(routing::ClassifyPrompt(aRequirements.m_tokens, memory), aOpen, memory);
}

/// The request's part of FindCandidates().
struct CandidateQuery
{
  const fleet::Service* m_service;
  const std::optional<PromptRequirements>& m_requirements;
  const std::set<std::string>& m_excluded;
  routing::ColdTrafficSource m_coldSource;
  const std::string& m_assigned;
  std::uint32_t m_maxOpen;
  base::TimePoint m_now;
  bool m_needsSlot; ///< the service is brittle
};

/// Whether the endpoint's backoff has ended recently and it has as many open requests as it may.
bool IsWindowFull(const RelayCore& aCore, const std::string& aIncarnation, base::TimePoint aNow)
{
  return !aCore.m_endpointBackoffs.Empty() &&
         aCore.m_endpointBackoffs.IsWindowFull(
           peers::KeyOf(aIncarnation), aCore.m_endpointTracker.OpenRequests(aIncarnation), aNow);
}

/// Whether the endpoint has requested backoffs from several hosts, so that it is overloaded.
bool IsInReportedBackoff(const RelayCore& aCore,
                         const std::string& aIncarnation,
                         base::TimePoint aNow)
{
  return !aCore.m_reportedBackoffs.Empty() &&
         aCore.m_reportedBackoffs.IsInBackoff(peers::KeyOf(aIncarnation), aNow);
}

void SetEarliest(std::optional<base::TimePoint>& aTime, base::TimePoint aOther)
{
  aTime = std::min(aTime.value_or(aOther), aOther);
}

void AddCandidate(RelayCore& aCore,
                  const fleet::Endpoint& aEndpoint,
                  const CandidateQuery& aQuery,
                  Candidates& aCandidates)
{
  const std::string& incarnation = aEndpoint.m_incarnation;
  if (const auto endsAt = BackoffEndsAt(aCore, incarnation, aQuery.m_now)) {
    SetEarliest(aCandidates.m_retryTimes.m_backoffEndsAt, *endsAt);
    return;
  }
  const bool isPrompt = aQuery.m_requirements.has_value();
  const bool outdated =
    isPrompt && HasOutdatedWeights(aCore, aEndpoint, *aQuery.m_requirements, aQuery.m_now);
  if (aQuery.m_excluded.contains(incarnation) || outdated ||
      aCore.m_endpointTracker.OpenRequests(incarnation) >= aQuery.m_maxOpen) {
    return;
  }
  if (incarnation != aQuery.m_assigned &&
      !MaySendToCold(aCore, aEndpoint, aQuery.m_coldSource, aQuery.m_now)) {
    return;
  }
  if (const auto deniedUntil = PermitDeniedUntil(aCore, incarnation, aQuery.m_now)) {
    SetEarliest(aCandidates.m_retryTimes.m_nextPermitAt, *deniedUntil);
    return;
  }
  if (aQuery.m_needsSlot) {
    if (const auto deniedUntil =
          aCore.m_slotDenials.DeniedUntil(peers::KeyOf(incarnation), aQuery.m_now)) {
      SetEarliest(aCandidates.m_retryTimes.m_nextSlotAt, *deniedUntil);
      return;
    }
  }
  const peers::EndpointTag tag = peers::TagOf(incarnation);
  const routing::Work work =
    aCore.m_endpointTracker.WorkOfOpenRequests(incarnation) + aCore.m_peerLoads.RemoteLoad(tag);
  const bool reloading = isPrompt && aCore.m_reloads.IsReloading(tag, aQuery.m_now);
  const bool failed = aCore.m_reachability.CanConnect() &&
                      aCore.m_endpointTracker.IsAvoided(incarnation, aQuery.m_now);
  const bool avoided = reloading || failed || HasCrashed(aCore, incarnation, aQuery.m_now) ||
                       IsWindowFull(aCore, incarnation, aQuery.m_now) ||
                       IsInReportedBackoff(aCore, incarnation, aQuery.m_now);
  aCandidates.m_endpoints.push_back(&aEndpoint);
  aCandidates.m_placements.push_back(
    { incarnation,
      work,
      avoided,
      isPrompt && LacksMemory(aQuery.m_service, *aQuery.m_requirements, work) });
}

Candidates FindAmong(RelayCore& aCore,
                     const std::vector<const fleet::Endpoint*>& aEndpoints,
                     const CandidateQuery& aQuery)
{
  Candidates candidates;
  for (const fleet::Endpoint* endpoint : aEndpoints) {
    AddCandidate(aCore, *endpoint, aQuery, candidates);
  }
  return candidates;
}

} // namespace

std::uint64_t GroupKeyOf(std::string_view aHomeKey)
{
  return base::Hash64("group", aHomeKey);
}

Candidates FindCandidates(RelayCore& aCore,
                          const std::string& aServiceName,
                          const fleet::Service* aService,
                          const std::optional<PromptRequirements>& aRequirements,
                          const std::set<std::string>& aExcluded,
                          routing::ColdTrafficSource aColdSource,
                          const std::string& aAssigned,
                          std::uint64_t aGroupKey,
                          base::TimePoint aNow)
{
  aCore.m_directory.Expire(aNow);
  ApplyCompletedReloads(aCore, aNow);
  const std::uint32_t maxConnections = aService == nullptr ? 0 : aService->m_maxConnections;
  const std::uint32_t maxOpen = maxConnections == 0
                                  ? UINT32_MAX
                                  : std::max(1U, maxConnections / aCore.m_options.m_hostsSharing);
  const CandidateQuery query{ aService,  aRequirements,
                              aExcluded, aColdSource,
                              aAssigned, maxOpen,
                              aNow,      NeedsSlot(aCore, aServiceName, aNow) };
  const fleet::UsableEndpoints& usable = aCore.m_directory.UsableOf(aServiceName);
  const std::vector<const fleet::Endpoint*>& group = usable.Group(aGroupKey);
  Candidates candidates = FindAmong(aCore, group, query);
  const bool anyPreferable = std::any_of(candidates.m_placements.begin(),
                                         candidates.m_placements.end(),
                                         [](const routing::PlacementCandidate& aPlacement) {
                                           return !aPlacement.m_avoided && !aPlacement.m_full;
                                         });
  if (!anyPreferable && group.size() < usable.All().size()) {
    return FindAmong(aCore, usable.All(), query);
  }
  // The dispatcher may have assigned an engine of another group.
  const fleet::Endpoint* assigned = aCore.m_directory.Find(aAssigned);
  const bool isElsewhere =
    assigned != nullptr && std::find(group.begin(), group.end(), assigned) == group.end();
  if (isElsewhere &&
      std::find(usable.All().begin(), usable.All().end(), assigned) != usable.All().end()) {
    AddCandidate(aCore, *assigned, query, candidates);
  }
  return candidates;
}

} // namespace ferrytray::relay
