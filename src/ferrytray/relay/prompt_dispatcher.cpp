#include "ferrytray/relay/prompt_dispatcher.hpp"

#include <algorithm> // for all_of, any_of
#include <chrono>    // for milliseconds
#include <map>       // for map
#include <set>       // for set
#include <utility>   // for exchange, move
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"           // for HashWithSeed
#include "ferrytray/relay/candidates.hpp"      // for CandidatesFor
#include "ferrytray/relay/cold_engines.hpp"    // for NoteColdSend
#include "ferrytray/routing/engine_memory.hpp" // for ClassifyPrompt, HasRoom
#include "ferrytray/routing/rendezvous.hpp"    // for RendezvousHomes

namespace ferrytray::relay {

PromptDispatcher::PromptDispatcher(RelayCore& aCore,
                                   peers::NewsExchange& aExchange,
                                   DispatchOptions aOptions)
  : m_core(aCore)
  , m_exchange(aExchange)
  , m_options(aOptions)
{
  m_exchange.OnPlacement(
    [this](const peers::PlacementRequest& aRequest) { return Give(aRequest); });
}

void PromptDispatcher::Ask(const Prompt& aPrompt,
                           const fleet::ClientAccount* aAccount,
                           const std::string& aService,
                           Done aDone)
{
  const base::TimePoint now = base::MonotonicNow();
  peers::PlacementRequest request;
  request.m_host = m_exchange.Name();
  request.m_unreachable = Unreachable(aService, now);
  request.m_service = aService;
  request.m_model = aPrompt.m_model;
  request.m_key = m_core.m_placement.HomeKey(aPrompt, aAccount);
  request.m_zone = ZoneFor(request.m_key, aService);
  request.m_tokens = aPrompt.m_inputTokens;
  request.m_readTokens = ReadTokens(aPrompt, aAccount, now);
  request.m_ownTokens = aPrompt.m_parts.empty() ? 0 : aPrompt.m_parts.back().m_tokens;
  const std::optional<peers::Peer> host = m_exchange.Placer(request.m_zone, now);
  const auto avoided = host ? m_avoidUntil.find(host->m_name) : m_avoidUntil.end();
  if (!host || (avoided != m_avoidUntil.end() && now < avoided->second)) {
    aDone({});
    return;
  }
  const auto assign = [tokens = request.m_readTokens](peers::PlacementReply aReply) {
    return Assignment{
      std::move(aReply.m_engine), std::move(aReply.m_holder), tokens, aReply.m_free, aReply.m_full
    };
  };
  if (m_exchange.IsSelf(*host)) {
    aDone(assign(Give(request)));
    return;
  }
  if (const auto seen = std::exchange(m_seen, std::nullopt)) {
    request.m_seenTokens = seen->m_tokens;
    request.m_seenMillis = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(seen->m_took).count());
  }
  m_exchange.AskPlacement(*host,
                          request,
                          [this, name = host->m_name, assign, done = std::move(aDone)](
                            std::optional<peers::PlacementReply> aReply) {
                            if (!aReply) {
                              m_avoidUntil[name] = base::MonotonicNow() + m_options.m_avoid;
                            }
                            done(aReply ? assign(std::move(*aReply)) : Assignment{});
                          });
}

peers::PlacementReply PromptDispatcher::Give(const peers::PlacementRequest& aRequest)
{
  if (!m_core.m_configuration) {
    return {};
  }
  const base::TimePoint now = base::MonotonicNow();
  if (aRequest.m_seenTokens > 0) {
    m_queues.OnPrefilled(aRequest.m_seenTokens, std::chrono::milliseconds(aRequest.m_seenMillis));
  }
  m_unreachable.OnReport(aRequest.m_host, aRequest.m_unreachable, now);
  const std::set<peers::EndpointTag> refused(aRequest.m_unreachable.begin(),
                                             aRequest.m_unreachable.end());
  const fleet::Service* service = m_core.m_configuration->FindService(aRequest.m_service);
  const std::uint64_t memory =
    service == nullptr || !service->m_engine ? 0 : service->m_engine->m_kvTokens;
  const PromptNeeds needs{ aRequest.m_model, aRequest.m_tokens };
  const Candidates candidates = CandidatesFor(
    m_core, aRequest.m_service, service, needs, {}, routing::ColdTrafficSource::Assigned, "", now);
  const routing::PromptSize size = routing::ClassifyPrompt(aRequest.m_tokens, memory);
  bool someFull = false;
  std::vector<routing::PrefillEngine> engines;
  for (std::size_t i = 0; i < candidates.m_places.size(); ++i) {
    const routing::PlacementCandidate& place = candidates.m_places[i];
    const bool inZone =
      aRequest.m_zone.empty() || candidates.m_endpoints[i]->m_zone == aRequest.m_zone;
    const peers::EndpointTag tag = peers::TagOf(place.m_name);
    const bool reachable = !refused.contains(tag) && !m_unreachable.IsUnreachable(tag, now);
    const std::uint64_t given = m_queues.UnreportedTokens(place.m_name, now);
    const routing::Work work = place.m_work + routing::WorkOf(static_cast<std::uint32_t>(given));
    const bool usable = inZone && reachable && !place.m_avoided;
    const bool full = usable && memory > 0 && !routing::HasRoom(size, work, memory);
    someFull = someFull || full;
    if (usable && !full) {
      engines.push_back({ place.m_name, routing::TokensOf(work), memory });
    }
  }
  // What this host sends itself is counted from the moment that it is sent.
  const std::uint32_t untold = aRequest.m_host == m_exchange.Name() ? 0 : aRequest.m_tokens;
  const routing::PrefillJob job{
    aRequest.m_key, untold, aRequest.m_readTokens, aRequest.m_ownTokens
  };
  const auto choice = m_queues.Assign(job, engines, now);
  if (!choice) {
    return { "", "", false, someFull && aRequest.m_zone.empty() };
  }
  const std::string& chosen = engines[choice->m_engine].m_name;
  NoteColdSend(m_core, *m_core.m_directory.Find(chosen), routing::ColdTrafficSource::Assigned, now);
  return { chosen, choice->m_holder, choice->m_free, false };
}

void PromptDispatcher::OnBegan(std::uint32_t aReadTokens, base::Duration aTook)
{
  if (aReadTokens > 0) {
    m_seen = Seen{ aReadTokens, aTook };
  }
}

std::vector<peers::EndpointTag> PromptDispatcher::Unreachable(const std::string& aService,
                                                              base::TimePoint aNow) const
{
  std::vector<peers::EndpointTag> unreachable;
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(aService)) {
    if (m_core.m_board.IsAvoided(endpoint->m_incarnation, aNow)) {
      unreachable.push_back(peers::TagOf(endpoint->m_incarnation));
    }
  }
  return unreachable;
}

std::string PromptDispatcher::ZoneFor(const std::string& aKey, const std::string& aService) const
{
  std::map<std::string, std::size_t> engines;
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(aService)) {
    ++engines[endpoint->m_zone];
  }
  const bool enough = std::all_of(engines.begin(), engines.end(), [&](const auto& aZone) {
    return aZone.second >= m_options.m_leastEngines;
  });
  if (engines.empty() || !enough) {
    return "";
  }
  std::vector<std::string> zones;
  zones.reserve(engines.size());
  for (const auto& [zone, count] : engines) {
    zones.push_back(zone);
  }
  return zones[routing::RendezvousHomes(base::HashWithSeed({}, aKey), zones, 1).front()];
}

std::uint32_t PromptDispatcher::ReadTokens(const Prompt& aPrompt,
                                           const fleet::ClientAccount* aAccount,
                                           base::TimePoint aNow) const
{
  const auto wanted = m_core.m_wanted.find(aPrompt.m_model);
  const fleet::WeightVersion weights = wanted == m_core.m_wanted.end() ? 1 : wanted->second;
  const std::string scope = PromptPlacement::CacheScope(aPrompt.m_model, weights, aAccount);
  std::uint32_t tokens = aPrompt.m_inputTokens;
  for (const PromptPart& part : aPrompt.m_parts) {
    // The last part is the request's own; behind one that is missing, the rest is read.
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
