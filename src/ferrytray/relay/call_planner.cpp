#include "ferrytray/relay/call_planner.hpp"

#include <algorithm> // for max
#include <vector>    // for vector

#include "ferrytray/routing/engine_memory.hpp" // for HasRoom, SizeOf

namespace ferrytray::relay {

const std::string& CallPlanner::PickService()
{
  const std::vector<fleet::ServiceShare>& shares = m_admitted.m_route->m_services;
  std::uint64_t total = 0;
  for (const fleet::ServiceShare& share : shares) {
    total += share.m_weight;
  }
  std::uint64_t point = total == 0 ? 0 : m_core.m_random() % total;
  for (const fleet::ServiceShare& share : shares) {
    if (point < share.m_weight) {
      return share.m_service;
    }
    point -= share.m_weight;
  }
  return shares.front().m_service;
}

Target CallPlanner::PickTarget(const std::string& aService, const std::set<std::string>& aTried)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_directory.Expire(now);
  NoteReloaded(now);
  const fleet::Service* service = m_admitted.m_configuration->FindService(aService);
  const std::uint32_t connections = service == nullptr ? 0 : service->m_maxConnections;
  const std::uint32_t most =
    connections == 0 ? UINT32_MAX : std::max(1U, connections / m_core.m_options.m_hostsSharing);
  std::vector<const fleet::Endpoint*> endpoints;
  std::vector<routing::PlacementCandidate> candidates;
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(aService)) {
    const std::uint32_t open = m_core.m_board.Open(endpoint->m_incarnation);
    if (aTried.contains(endpoint->m_incarnation) || open >= most || TooOld(*endpoint, now)) {
      continue;
    }
    endpoints.push_back(endpoint);
    const peers::EndpointTag tag = peers::TagOf(endpoint->m_incarnation);
    const routing::Work work =
      m_core.m_board.OpenWork(endpoint->m_incarnation) + m_core.m_otherLoads.Others(tag);
    const bool reloading = m_request.m_prompt && m_core.m_reloads.IsReloading(tag, now);
    candidates.push_back({ endpoint->m_incarnation,
                           work,
                           reloading || m_core.m_board.Avoided(endpoint->m_incarnation, now),
                           IsFull(service, work) });
  }
  if (!m_request.m_prompt) {
    const auto chosen = routing::PlaceAnywhere(candidates, m_core.m_random());
    return chosen ? Target{ endpoints[*chosen], "", candidates[*chosen].m_work, false } : Target{};
  }
  const auto place =
    m_core.m_placement.Place(*m_request.m_prompt, m_admitted.m_account, candidates);
  if (!place) {
    return {};
  }
  const bool elsewhere = place->m_home != place->m_chosen;
  return { endpoints[place->m_chosen],
           elsewhere ? endpoints[place->m_home]->m_address : "",
           candidates[place->m_chosen].m_work,
           candidates[place->m_chosen].m_full };
}

void CallPlanner::NoteReloaded(base::TimePoint aNow)
{
  for (const peers::ReloadedWeights& ended : m_core.m_reloads.TakeEnded(aNow)) {
    for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
      if (peers::TagOf(endpoint->m_incarnation) == ended.m_endpoint) {
        m_core.m_directory.NoteExpectedWeights(
          endpoint->m_incarnation, ended.m_model, ended.m_version);
      }
    }
  }
}

bool CallPlanner::IsFull(const fleet::Service* aService, routing::Work aOpen) const
{
  if (!m_request.m_prompt || aService == nullptr || !aService->m_engine ||
      aService->m_engine->m_kvTokens == 0) {
    return false;
  }
  const std::uint64_t memory = aService->m_engine->m_kvTokens;
  const routing::PromptSize size = routing::SizeOf(m_request.m_prompt->m_inputTokens, memory);
  return !routing::HasRoom(size, aOpen, memory);
}

std::uint32_t CallPlanner::RankOf(const Prompt& aPrompt, const std::string& aService) const
{
  const fleet::ClientAccount* account = m_admitted.m_account;
  const std::uint32_t priority = account != nullptr && account->m_priority
                                   ? *account->m_priority
                                   : m_admitted.m_route->m_priority;
  const fleet::Service* service = m_admitted.m_configuration->FindService(aService);
  const bool isLong = service != nullptr && service->m_engine &&
                      routing::SizeOf(aPrompt.m_inputTokens, service->m_engine->m_kvTokens) ==
                        routing::PromptSize::Long;
  // Of equal priority, short prompts go first: they cost the long ones tens of milliseconds, the
  // other way round it would be seconds.
  return 2 * priority + (isLong ? 1 : 0);
}

bool CallPlanner::TooOld(const fleet::Endpoint& aEndpoint, base::TimePoint aNow) const
{
  if (!m_request.m_prompt) {
    return false;
  }
  const std::string& model = m_request.m_prompt->m_model;
  const auto weights = aEndpoint.m_weights.find(model);
  return weights != aEndpoint.m_weights.end() &&
         weights->second < m_core.m_named.Oldest(model, aNow);
}

EndpointCall CallPlanner::CallTo(const Target& aTarget,
                                 base::Duration aLeft,
                                 std::optional<std::uint64_t> aResumeAfter)
{
  const fleet::Endpoint& endpoint = *aTarget.m_endpoint;
  EndpointCall call;
  call.m_address = endpoint.m_address;
  call.m_incarnation = endpoint.m_incarnation;
  call.m_remaining = aLeft;
  call.m_account = m_admitted.m_account == nullptr ? "" : m_admitted.m_account->m_name;
  call.m_resumeAfter = aResumeAfter;
  call.m_repeatable = m_admitted.m_route->Repeatable();
  call.m_maxIdle = m_core.m_board.MaxIdle(endpoint.m_incarnation);
  if (m_request.m_prompt) {
    call.m_rank = RankOf(*m_request.m_prompt, endpoint.m_service);
    const std::string& model = m_request.m_prompt->m_model;
    const auto weights = endpoint.m_weights.find(model);
    if (weights != endpoint.m_weights.end()) {
      call.m_weights = weights->second;
      call.m_cacheScope = PromptPlacement::CacheScope(model, weights->second, m_admitted.m_account);
      const std::vector<cache::PlannedPart> parts = PlannedParts();
      call.m_parts = PlanParts(parts, call.m_cacheScope, aTarget.m_home);
      call.m_tokensByFate = call.m_parts.Tokens(parts);
    } else {
      // Nobody else finds what was made on weights that this host does not know.
      call.m_cacheScope = "request." + m_request.m_id;
    }
  }
  return call;
}

std::vector<cache::PlannedPart> CallPlanner::PlannedParts() const
{
  std::vector<cache::PlannedPart> parts;
  for (const PromptPart& part : m_request.m_prompt->m_parts) {
    parts.push_back({ part.m_id, part.m_tokens });
  }
  return parts;
}

cache::PartPlan CallPlanner::PlanParts(std::span<const cache::PlannedPart> aParts,
                                       const std::string& aScope,
                                       const std::string& aHome)
{
  const double within =
    base::Seconds(m_admitted.m_route->m_targetLatency) * m_core.m_options.m_fetchShare;
  return m_core.m_parts.Plan(
    { aParts, aScope, aHome, base::FromSeconds(within) }, m_core.m_stores, base::MonotonicNow());
}

} // namespace ferrytray::relay
