#include "ferrytray/relay/prompt_dispatcher.hpp"

#include <algorithm> // for all_of, any_of
#include <chrono>    // for milliseconds
#include <map>       // for map
#include <set>       // for set
#include <utility>   // for exchange, move
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"            // for HashWithSeed
#include "ferrytray/relay/candidates.hpp"       // for FindCandidates
#include "ferrytray/relay/cold_engines.hpp"     // for RecordColdSend
#include "ferrytray/relay/endpoint_signals.hpp" // for BackoffEndsAt
#include "ferrytray/relay/request_limits.hpp"   // for NeedsPermit
#include "ferrytray/routing/engine_memory.hpp"  // for HasRoom, ClassifyPrompt
#include "ferrytray/routing/rendezvous.hpp"     // for RendezvousHomes

namespace ferrytray::relay {

PromptDispatcher::PromptDispatcher(RelayCore& aCore,
                                   peers::PeerExchange& aPeerExchange,
                                   DispatchOptions aOptions)
  : m_core(aCore)
  , m_peerExchange(aPeerExchange)
  , m_options(aOptions)
{
  m_peerExchange.OnPlacement(
    [this](const peers::PlacementRequest& aRequest) { return AssignEngine(aRequest); });
}

void PromptDispatcher::RequestEngine(const Prompt& aPrompt,
                                     const fleet::ClientAccount* aAccount,
                                     const std::string& aService,
                                     Done aDone)
{
  const base::TimePoint now = base::MonotonicNow();
  peers::PlacementRequest request;
  request.m_host = m_peerExchange.Name();
  request.m_service = aService;
  request.m_model = aPrompt.m_model;
  request.m_key = m_core.m_promptPlacement.HomeKey(aPrompt, aAccount);
  request.m_unreachable = UnreachableEngines(aService, request.m_key, now);
  request.m_zone = ZoneFor(request.m_key, aService);
  request.m_tokens = aPrompt.m_inputTokens;
  request.m_uncachedTokens = PrefillTokens(aPrompt, aAccount, now);
  request.m_unsharedTokens = aPrompt.m_parts.empty() ? 0 : aPrompt.m_parts.back().m_tokens;
  const std::optional<peers::Peer> host = m_peerExchange.PlacementHost(request.m_zone, now);
  const auto backoff = host ? m_backoffUntil.find(host->m_name) : m_backoffUntil.end();
  if (!host || (backoff != m_backoffUntil.end() && now < backoff->second)) {
    aDone({});
    return;
  }
  const auto toAssignment = [tokens = request.m_uncachedTokens](peers::PlacementReply aReply) {
    return Assignment{ std::move(aReply.m_engine),
                       std::move(aReply.m_prefixHolder),
                       tokens,
                       aReply.m_idle,
                       aReply.m_memoryFull };
  };
  if (m_peerExchange.IsSelf(*host)) {
    aDone(toAssignment(AssignEngine(request)));
    return;
  }
  if (const auto sample = std::exchange(m_prefillSample, std::nullopt)) {
    request.m_sampleTokens = sample->m_tokens;
    request.m_sampleMillis = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(sample->m_duration).count());
  }
  m_peerExchange.RequestPlacement(
    *host,
    request,
    [this, name = host->m_name, toAssignment, done = std::move(aDone)](
      std::optional<peers::PlacementReply> aReply) {
      if (!aReply) {
        m_backoffUntil[name] = base::MonotonicNow() + m_options.m_hostBackoff;
      }
      done(aReply ? toAssignment(std::move(*aReply)) : Assignment{});
    });
}

peers::PlacementReply PromptDispatcher::AssignEngine(const peers::PlacementRequest& aRequest)
{
  if (!m_core.m_configuration) {
    return {};
  }
  const base::TimePoint now = base::MonotonicNow();
  if (aRequest.m_sampleTokens > 0) {
    m_queues.OnPrefilled(aRequest.m_sampleTokens,
                         std::chrono::milliseconds(aRequest.m_sampleMillis));
  }
  m_unreachable.OnReport(aRequest.m_host, aRequest.m_unreachable, now);
  const std::set<peers::EndpointTag> refused(aRequest.m_unreachable.begin(),
                                             aRequest.m_unreachable.end());
  const fleet::Service* service = m_core.m_configuration->FindService(aRequest.m_service);
  const std::uint64_t memory =
    service == nullptr || !service->m_engine ? 0 : service->m_engine->m_kvCapacityTokens;
  const PromptRequirements needs{ aRequest.m_model, aRequest.m_tokens };
  const Candidates candidates = FindCandidates(m_core,
                                               aRequest.m_service,
                                               service,
                                               needs,
                                               {},
                                               routing::ColdTrafficSource::Assigned,
                                               "",
                                               GroupKeyOf(aRequest.m_key),
                                               now);
  const routing::PromptSize size = routing::ClassifyPrompt(aRequest.m_tokens, memory);
  bool anyFull = false;
  // The requesting host may still get a permit, or may not be asked to back off.
  bool anyLeftOut = candidates.m_retryTimes.m_backoffEndsAt.has_value();
  std::vector<routing::PrefillEngine> engines;
  for (std::size_t i = 0; i < candidates.m_placements.size(); ++i) {
    const routing::PlacementCandidate& place = candidates.m_placements[i];
    const bool inZone =
      aRequest.m_zone.empty() || candidates.m_endpoints[i]->m_zone == aRequest.m_zone;
    const peers::EndpointTag tag = peers::TagOf(place.m_name);
    const bool reachable = !refused.contains(tag) && !m_unreachable.IsUnreachable(tag, now);
    const std::uint64_t assignedTokens = m_queues.UnreportedTokens(place.m_name, now);
    const routing::Work work =
      place.m_work + routing::WorkOf(static_cast<std::uint32_t>(assignedTokens));
    // Limited engines get only prompts whose own host obtains a permit for them.
    const bool limited = NeedsPermit(m_core, place.m_name);
    anyLeftOut = anyLeftOut || limited;
    const bool usable = inZone && reachable && !place.m_avoided && !limited;
    const bool full = usable && memory > 0 && !routing::HasRoom(size, work, memory);
    anyFull = anyFull || full;
    if (usable && !full) {
      engines.push_back({ place.m_name, routing::TokensOf(work), memory });
    }
  }
  // This host's own prompts are counted when they are sent.
  const std::uint32_t uncountedTokens =
    aRequest.m_host == m_peerExchange.Name() ? 0 : aRequest.m_tokens;
  const routing::PrefillJob job{
    aRequest.m_key, uncountedTokens, aRequest.m_uncachedTokens, aRequest.m_unsharedTokens
  };
  const auto choice = m_queues.Assign(job, engines, now);
  if (!choice) {
    return { "", "", false, anyFull && !anyLeftOut && aRequest.m_zone.empty() };
  }
  const std::string& chosen = engines[choice->m_engine].m_name;
  RecordColdSend(
    m_core, *m_core.m_directory.Find(chosen), routing::ColdTrafficSource::Assigned, now);
  return { chosen, choice->m_holder, choice->m_free, false };
}

void PromptDispatcher::OnFirstEvent(std::uint32_t aPrefillTokens, base::Duration aDuration)
{
  if (aPrefillTokens > 0) {
    m_prefillSample = PrefillSample{ aPrefillTokens, aDuration };
  }
}

std::vector<peers::EndpointTag> PromptDispatcher::UnreachableEngines(const std::string& aService,
                                                                     const std::string& aKey,
                                                                     base::TimePoint aNow) const
{
  std::vector<peers::EndpointTag> unreachable;
  if (!m_core.m_reachability.CanConnect()) {
    return unreachable; // a partitioned host's failures are no evidence against engines
  }
  for (const fleet::Endpoint* endpoint :
       m_core.m_directory.UsableOf(aService).Group(GroupKeyOf(aKey))) {
    if (m_core.m_endpointTracker.IsAvoided(endpoint->m_incarnation, aNow) ||
        BackoffEndsAt(m_core, endpoint->m_incarnation, aNow)) {
      unreachable.push_back(peers::TagOf(endpoint->m_incarnation));
    }
  }
  return unreachable;
}

std::string PromptDispatcher::ZoneFor(const std::string& aKey, const std::string& aService) const
{
  const std::map<std::string, std::size_t>& engines =
    m_core.m_directory.UsableOf(aService).CountByZone();
  const bool zonesLargeEnough = std::all_of(engines.begin(), engines.end(), [&](const auto& aZone) {
    return aZone.second >= m_options.m_minEnginesPerZone;
  });
  if (engines.empty() || !zonesLargeEnough) {
    return "";
  }
  std::vector<std::string> zones;
  zones.reserve(engines.size());
  for (const auto& [zone, count] : engines) {
    zones.push_back(zone);
  }
  return zones[routing::RendezvousHomes(base::HashWithSeed({}, aKey), zones, 1).front()];
}

std::uint32_t PromptDispatcher::PrefillTokens(const Prompt& aPrompt,
                                              const fleet::ClientAccount* aAccount,
                                              base::TimePoint aNow) const
{
  const auto desired = m_core.m_desiredWeights.find(aPrompt.m_model);
  const fleet::WeightVersion weights =
    desired == m_core.m_desiredWeights.end() ? 1 : desired->second;
  const std::string scope = PromptPlacement::CacheScope(aPrompt.m_model, weights, aAccount);
  std::uint32_t tokens = aPrompt.m_inputTokens;
  for (const PromptPart& part : aPrompt.m_parts) {
    // The last part is the request's own. Parts after a missing one are recomputed.
    if (&part == &aPrompt.m_parts.back() || !IsStored({ scope, part.m_id }, aNow)) {
      break;
    }
    tokens -= std::min(tokens, part.m_tokens);
  }
  return tokens;
}

bool PromptDispatcher::IsStored(const cache::PartName& aPart, base::TimePoint aNow) const
{
  return std::any_of(m_core.m_stores.begin(), m_core.m_stores.end(), [&](const auto& aStore) {
    return aStore.second.MayFetch(aPart, aNow);
  });
}

} // namespace ferrytray::relay
