#include "ferrytray/relay/candidates.hpp"

#include <algorithm> // for max

#include "ferrytray/peers/replacement_table.hpp" // for KeyOf
#include "ferrytray/relay/cold_engines.hpp"      // for MaySendToCold
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

} // namespace

Candidates FindCandidates(RelayCore& aCore,
                          const std::string& aServiceName,
                          const fleet::Service* aService,
                          const std::optional<PromptRequirements>& aRequirements,
                          const std::set<std::string>& aExcluded,
                          routing::ColdTrafficSource aColdSource,
                          const std::string& aAssigned,
                          base::TimePoint aNow)
{
  aCore.m_directory.Expire(aNow);
  ApplyCompletedReloads(aCore, aNow);
  const std::uint32_t maxConnections = aService == nullptr ? 0 : aService->m_maxConnections;
  const std::uint32_t maxOpen = maxConnections == 0
                                  ? UINT32_MAX
                                  : std::max(1U, maxConnections / aCore.m_options.m_hostsSharing);
  Candidates candidates;
  for (const fleet::Endpoint* endpoint : aCore.m_directory.Usable(aServiceName)) {
    const std::string& incarnation = endpoint->m_incarnation;
    const bool outdated =
      aRequirements && HasOutdatedWeights(aCore, *endpoint, *aRequirements, aNow);
    if (aExcluded.contains(incarnation) ||
        aCore.m_endpointTracker.OpenRequests(incarnation) >= maxOpen || outdated) {
      continue;
    }
    if (incarnation != aAssigned && !MaySendToCold(aCore, *endpoint, aColdSource, aNow)) {
      continue;
    }
    const peers::EndpointTag tag = peers::TagOf(incarnation);
    const routing::Work work =
      aCore.m_endpointTracker.WorkOfOpenRequests(incarnation) + aCore.m_peerLoads.RemoteLoad(tag);
    const bool reloading = aRequirements && aCore.m_reloads.IsReloading(tag, aNow);
    const bool avoided = reloading || aCore.m_endpointTracker.IsAvoided(incarnation, aNow) ||
                         HasCrashed(aCore, incarnation, aNow);
    candidates.m_endpoints.push_back(endpoint);
    candidates.m_placements.push_back(
      { incarnation, work, avoided, aRequirements && LacksMemory(aService, *aRequirements, work) });
  }
  return candidates;
}

} // namespace ferrytray::relay
