#include "ferrytray/gate/decision_log.hpp"

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;

std::string Summary(const routing::Plan& aPlan)
{
  return std::to_string(aPlan.m_firstToken.count()) + "us/r" +
         std::to_string(aPlan.m_restoreBlocks) + "/c" + std::to_string(aPlan.m_recomputeTokens);
}

json ToJson(const ScoredCandidate& aCandidate)
{
  json row{ { "worker", aCandidate.m_worker }, { "considered", aCandidate.m_plan.has_value() } };
  if (aCandidate.m_plan) {
    row["cost"] = aCandidate.m_plan->m_cost;
    row["first_token_us"] = aCandidate.m_plan->m_firstToken.count();
    row["restore_blocks"] = aCandidate.m_plan->m_restoreBlocks;
    row["recompute_tokens"] = aCandidate.m_plan->m_recomputeTokens;
    row["link_bytes"] = aCandidate.m_plan->m_linkBytes;
  }
  return row;
}

} // namespace

void DecisionLog::Record(Decision aDecision)
{
  std::string scores;
  for (const ScoredCandidate& candidate : aDecision.m_candidates) {
    if (candidate.m_plan) {
      scores += (scores.empty() ? "" : ",") + candidate.m_worker + ":" + Summary(*candidate.m_plan);
    }
  }
  telemetry::LogLine("route")
    .Add("request", aDecision.m_request)
    .Add("account", aDecision.m_account)
    .Add("fleet", aDecision.m_fleet)
    .Add("worker", aDecision.m_worker)
    .Add("scores", scores);
  m_decisions.push_back(std::move(aDecision));
  if (m_decisions.size() > m_capacity) {
    m_decisions.pop_front();
  }
}

std::string DecisionLog::Explain(const std::string& aRequest) const
{
  json found = json::array();
  for (const Decision& decision : m_decisions) {
    if (decision.m_request != aRequest) {
      continue;
    }
    json candidates = json::array();
    for (const ScoredCandidate& candidate : decision.m_candidates) {
      candidates.push_back(ToJson(candidate));
    }
    found.push_back({ { "request", decision.m_request },
                      { "account", decision.m_account },
                      { "fleet", decision.m_fleet },
                      { "worker", decision.m_worker },
                      { "candidates", candidates } });
  }
  return found.empty() ? std::string() : found.dump();
}

} // namespace ferrytray::gate
