#include "ferrytray/relay/call_planner.hpp"

#include <vector> // for vector

#include "ferrytray/relay/candidates.hpp"      // for FindCandidates
#include "ferrytray/routing/engine_memory.hpp" // for ClassifyPrompt

namespace ferrytray::relay {

const std::string& CallPlanner::PickService()
{
  const std::vector<fleet::ServiceShare>& shares = m_routeMatch.m_route->m_services;
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

Target CallPlanner::PickTarget(const std::string& aService,
                               const std::set<std::string>& aExcluded,
                               const Assignment& aAssigned)
{
  const fleet::Service* service = m_routeMatch.m_configuration->FindService(aService);
  std::optional<PromptRequirements> needs;
  if (m_request.m_prompt) {
    needs = PromptRequirements{ m_request.m_prompt->m_model, m_request.m_prompt->m_inputTokens };
  }
  const Candidates candidates = FindCandidates(m_core,
                                               aService,
                                               service,
                                               needs,
                                               aExcluded,
                                               routing::ColdTrafficSource::Own,
                                               aAssigned.m_engine,
                                               GroupKey(),
                                               base::MonotonicNow());
  const std::vector<const fleet::Endpoint*>& endpoints = candidates.m_endpoints;
  const std::vector<routing::PlacementCandidate>& placements = candidates.m_placements;
  if (!m_request.m_prompt) {
    const auto chosen = routing::PlaceByTwoChoices(placements, m_core.m_random());
    return chosen ? Target{ endpoints[*chosen], "", placements[*chosen].m_work, false }
                  : Target{ nullptr, "", 0, false, candidates.m_retryTimes };
  }
  for (std::size_t i = 0; i < placements.size(); ++i) {
    if (placements[i].m_name == aAssigned.m_engine && !placements[i].m_avoided) {
      const fleet::Endpoint* cacheHolder = m_core.m_directory.Find(aAssigned.m_cacheHolder);
      return { endpoints[i],
               cacheHolder == nullptr ? "" : cacheHolder->m_address,
               placements[i].m_work,
               false };
    }
  }
  const auto place =
    m_core.m_promptPlacement.Place(*m_request.m_prompt, m_routeMatch.m_account, placements);
  if (!place) {
    return { nullptr, "", 0, false, candidates.m_retryTimes };
  }
  const bool elsewhere = place->m_home != place->m_chosen;
  return { endpoints[place->m_chosen],
           elsewhere ? endpoints[place->m_home]->m_address : "",
           placements[place->m_chosen].m_work,
           placements[place->m_chosen].m_full };
}

std::uint64_t CallPlanner::GroupKey()
{
  return m_request.m_prompt ? GroupKeyOf(m_core.m_promptPlacement.HomeKey(*m_request.m_prompt,
                                                                          m_routeMatch.m_account))
                            : m_core.m_random();
}

bool CallPlanner::IsLongPrompt(const std::string& aService) const
{
  const fleet::Service* service = m_routeMatch.m_configuration->FindService(aService);
  return m_request.m_prompt && service != nullptr && service->m_engine &&
         routing::ClassifyPrompt(m_request.m_prompt->m_inputTokens,
                                 service->m_engine->m_kvCapacityTokens) ==
           routing::PromptSize::Long;
}

std::uint32_t CallPlanner::RankOf(const std::string& aService) const
{
  const fleet::ClientAccount* account = m_routeMatch.m_account;
  const std::uint32_t priority = account != nullptr && account->m_priority
                                   ? *account->m_priority
                                   : m_routeMatch.m_route->m_priority;
  // Short prompts go before long ones of equal priority: they delay the long ones by tens of
  // milliseconds, whereas long prompts would delay them by seconds.
  return 2 * priority + (IsLongPrompt(aService) ? 1 : 0);
}

EndpointCall CallPlanner::BuildCall(const Target& aTarget,
                                    base::Duration aRemaining,
                                    std::optional<std::uint64_t> aResumeAfter)
{
  const fleet::Endpoint& endpoint = *aTarget.m_endpoint;
  EndpointCall call;
  call.m_address = endpoint.m_address;
  call.m_endpointId = endpoint.m_id;
  call.m_remaining = aRemaining;
  call.m_account = m_routeMatch.m_account == nullptr ? "" : m_routeMatch.m_account->m_name;
  call.m_resumeAfter = aResumeAfter;
  call.m_repeatable = m_routeMatch.m_route->IsRepeatable();
  call.m_maxIdle = m_core.m_endpointTracker.MaxIdle(endpoint.m_incarnation);
  if (m_request.m_prompt) {
    call.m_rank = RankOf(endpoint.m_service);
    const std::string& model = m_request.m_prompt->m_model;
    const auto weights = endpoint.m_weights.find(model);
    if (weights != endpoint.m_weights.end()) {
      call.m_weights = weights->second;
      call.m_cacheScope =
        PromptPlacement::CacheScope(model, weights->second, m_routeMatch.m_account);
      const std::vector<cache::PlannedPart> parts = PlannedParts();
      call.m_parts = PlanParts(parts, call.m_cacheScope, aTarget.m_partSource);
      call.m_tokensByOutcome = call.m_parts.TokensByOutcome(parts);
    } else {
      // The weight version is unknown, so the scope is unique to the request and its parts are not
      // shared.
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
                                       const std::string& aPartSource)
{
  const double fetchBudget =
    base::Seconds(m_routeMatch.m_route->m_targetLatency) * m_core.m_options.m_fetchShare;
  return m_core.m_partPlanner.Plan({ aParts, aScope, aPartSource, base::FromSeconds(fetchBudget) },
                                   m_core.m_stores,
                                   base::MonotonicNow());
}

} // namespace ferrytray::relay
