#include "ferrytray/relay/candidates.hpp"

#include <algorithm> // for max

#include "ferrytray/peers/replaced_board.hpp"  // for KeyOf
#include "ferrytray/relay/cold_engines.hpp"    // for MaySendCold
#include "ferrytray/routing/engine_memory.hpp" // for ClassifyPrompt, HasRoom

namespace ferrytray::relay {

namespace {

/// It broke off requests, here or at another host.
bool IsDown(const RelayCore& aCore, const std::string& aIncarnation, base::TimePoint aNow)
{
  return aCore.m_crashes.AnyEnded() && aCore.m_crashes.IsDown(peers::KeyOf(aIncarnation), aNow);
}

/// Engines whose announced reload is over are taken to have their new weights.
void NoteReloaded(RelayCore& aCore, base::TimePoint aNow)
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

/// Its weights should have been replaced by now.
bool IsTooOld(const RelayCore& aCore,
              const fleet::Endpoint& aEndpoint,
              const PromptNeeds& aNeeds,
              base::TimePoint aNow)
{
  const std::string model(aNeeds.m_model);
  const auto weights = aEndpoint.m_weights.find(model);
  return weights != aEndpoint.m_weights.end() &&
         weights->second < aCore.m_named.Oldest(model, aNow);
}

/// A prompt would wait for memory behind this much open work.
bool IsFull(const fleet::Service* aService, const PromptNeeds& aNeeds, routing::Work aOpen)
{
  if (aService == nullptr || !aService->m_engine || aService->m_engine->m_kvTokens == 0) {
    return false;
  }
  const std::uint64_t memory = aService->m_engine->m_kvTokens;
  return !routing::HasRoom(routing::ClassifyPrompt(aNeeds.m_tokens, memory), aOpen, memory);
}

} // namespace

Candidates CandidatesFor(RelayCore& aCore,
                         const std::string& aServiceName,
                         const fleet::Service* aService,
                         const std::optional<PromptNeeds>& aNeeds,
                         const std::set<std::string>& aTried,
                         routing::ColdTrafficSource aCold,
                         const std::string& aAssigned,
                         base::TimePoint aNow)
{
  aCore.m_directory.Expire(aNow);
  NoteReloaded(aCore, aNow);
  const std::uint32_t connections = aService == nullptr ? 0 : aService->m_maxConnections;
  const std::uint32_t most =
    connections == 0 ? UINT32_MAX : std::max(1U, connections / aCore.m_options.m_hostsSharing);
  Candidates candidates;
  for (const fleet::Endpoint* endpoint : aCore.m_directory.Usable(aServiceName)) {
    const std::string& name = endpoint->m_incarnation;
    const bool tooOld = aNeeds && IsTooOld(aCore, *endpoint, *aNeeds, aNow);
    if (aTried.contains(name) || aCore.m_board.OpenRequests(name) >= most || tooOld) {
      continue;
    }
    if (name != aAssigned && !MaySendCold(aCore, *endpoint, aCold, aNow)) {
      continue;
    }
    const peers::EndpointTag tag = peers::TagOf(name);
    const routing::Work work =
      aCore.m_board.WorkOfOpenRequests(name) + aCore.m_otherLoads.Others(tag);
    const bool reloading = aNeeds && aCore.m_reloads.IsReloading(tag, aNow);
    const bool avoided =
      reloading || aCore.m_board.IsAvoided(name, aNow) || IsDown(aCore, name, aNow);
    candidates.m_endpoints.push_back(endpoint);
    candidates.m_places.push_back(
      { name, work, avoided, aNeeds && IsFull(aService, *aNeeds, work) });
  }
  return candidates;
}

} // namespace ferrytray::relay
