#include "ferrytray/routing/prefill_queues.hpp"

#include <algorithm> // for find, max, min, min_element
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"        // for HashWithSeed
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::routing {

base::Duration PrefillQueues::PrefillTime(std::uint32_t aTokens) const
{
  constexpr double kMillis = 1000;
  return base::FromSeconds(static_cast<double>(aTokens) / m_tokensPerMillisecond / kMillis);
}

base::Duration PrefillQueues::WaitAt(const std::string& aEngine, base::TimePoint aNow) const
{
  const auto found = m_busyUntil.find(aEngine);
  return found == m_busyUntil.end() ? base::Duration::zero()
                                    : std::max(base::Duration::zero(), found->second - aNow);
}

base::Duration PrefillQueues::CostAt(const PrefillEngine& aEngine, base::TimePoint aNow) const
{
  const base::Duration wait = WaitAt(aEngine.m_name, aNow);
  if (aEngine.m_memoryTokens == 0) {
    return wait;
  }
  const double fill =
    static_cast<double>(aEngine.m_heldTokens) / static_cast<double>(aEngine.m_memoryTokens);
  const double penalty =
    std::max(0.0, fill - m_options.m_penaltyStartFill) / (1 - m_options.m_penaltyStartFill);
  return wait + base::FromSeconds(penalty * base::Seconds(m_options.m_fullMemoryPenalty));
}

std::optional<std::size_t> PrefillQueues::RecentPrefillEngine(const std::string& aKey,
                                                              std::span<const std::string> aNames,
                                                              base::TimePoint aNow) const
{
  const auto last = m_lastPrefills.find(aKey);
  if (last == m_lastPrefills.end() ||
      aNow >= last->second.m_assignedAt + m_options.m_partSaveTime) {
    return std::nullopt;
  }
  const auto found = std::find(aNames.begin(), aNames.end(), last->second.m_engine);
  return found == aNames.end() ? std::nullopt
                               : std::optional(static_cast<std::size_t>(found - aNames.begin()));
}

std::optional<PrefillChoice> PrefillQueues::Assign(const PrefillJob& aJob,
                                                   std::span<const PrefillEngine> aEngines,
                                                   base::TimePoint aNow)
{
  if (aEngines.empty()) {
    return std::nullopt;
  }
  EvictExpired(aNow);
  std::vector<std::string> names;
  std::vector<base::Duration> costs;
  for (const PrefillEngine& engine : aEngines) {
    names.push_back(engine.m_name);
    costs.push_back(CostAt(engine, aNow));
  }
  const auto lowest = std::min_element(costs.begin(), costs.end());
  PrefillChoice choice;
  choice.m_engine = static_cast<std::size_t>(lowest - costs.begin());
  std::uint32_t tokens = aJob.m_prefillTokens;
  if (const auto prefilling = RecentPrefillEngine(aJob.m_key, names, aNow)) {
    const std::uint32_t shared =
      aJob.m_prefillTokens - std::min(aJob.m_prefillTokens, aJob.m_unsharedTokens);
    if (costs[*prefilling] <= *lowest + PrefillTime(shared)) {
      choice.m_engine = *prefilling;
      tokens = aJob.m_unsharedTokens;
    } else {
      choice.m_holder = names[*prefilling];
    }
  } else {
    const base::Digest128 key = base::HashWithSeed({}, aJob.m_key);
    const std::size_t home = RendezvousHomes(key, names, 1).front();
    if (costs[home] <= *lowest + m_options.m_homeWaitTolerance) {
      choice.m_engine = home;
    }
  }
  const std::string& chosen = names[choice.m_engine];
  choice.m_free = WaitAt(chosen, aNow) == base::Duration::zero();
  Queue(aJob, chosen, tokens, aNow);
  return choice;
}

void PrefillQueues::Queue(const PrefillJob& aJob,
                          const std::string& aEngine,
                          std::uint32_t aPrefillTokens,
                          base::TimePoint aNow)
{
  const base::Duration queue = WaitAt(aEngine, aNow) + PrefillTime(aPrefillTokens);
  m_busyUntil[aEngine] = aNow + std::min(queue, m_options.m_maxWait);
  if (aJob.m_prefillTokens > aJob.m_unsharedTokens) {
    m_lastPrefills[aJob.m_key] = { aEngine, aNow };
  }
  AddAssignment({ aEngine, aJob.m_unreportedTokens, aNow });
}

std::uint64_t PrefillQueues::UnreportedTokens(const std::string& aEngine, base::TimePoint aNow)
{
  ExpireAssignments(aNow);
  const auto found = m_assignedTokensByEngine.find(aEngine);
  return found == m_assignedTokensByEngine.end() ? 0 : found->second;
}

void PrefillQueues::AddAssignment(const Assignment& aAssignment)
{
  if (aAssignment.m_tokens == 0) {
    return;
  }
  m_assignedTokensByEngine[aAssignment.m_engine] += aAssignment.m_tokens;
  m_assignments.push_back(aAssignment);
}

void PrefillQueues::ExpireAssignments(base::TimePoint aNow)
{
  while (!m_assignments.empty() &&
         m_assignments.front().m_assignedAt + m_options.m_reportLag <= aNow) {
    const auto found = m_assignedTokensByEngine.find(m_assignments.front().m_engine);
    found->second -= m_assignments.front().m_tokens;
    if (found->second == 0) {
      m_assignedTokensByEngine.erase(found);
    }
    m_assignments.pop_front();
  }
}

void PrefillQueues::OnPrefilled(std::uint32_t aTokens, base::Duration aDuration)
{
  constexpr double kMillis = 1000;
  const double millis = std::max(1.0, base::Seconds(aDuration) * kMillis);
  const double rate = static_cast<double>(aTokens) / millis;
  m_tokensPerMillisecond += m_options.m_rateSmoothing * (rate - m_tokensPerMillisecond);
}

void PrefillQueues::EvictExpired(base::TimePoint aNow)
{
  if (m_busyUntil.size() > m_options.m_maxEntries) {
    std::erase_if(m_busyUntil, [&](const auto& aPair) { return aPair.second <= aNow; });
  }
  if (m_lastPrefills.size() > m_options.m_maxEntries) {
    std::erase_if(m_lastPrefills, [&](const auto& aPair) {
      return aPair.second.m_assignedAt + m_options.m_partSaveTime <= aNow;
    });
  }
}

} // namespace ferrytray::routing
