#include "ferrytray/routing/prefill_queues.hpp"

#include <algorithm> // for find, max, min, min_element
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"        // for HashWithSeed
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::routing {

base::Duration PrefillQueues::TimeFor(std::uint32_t aTokens) const
{
  constexpr double kMillis = 1000;
  return base::FromSeconds(static_cast<double>(aTokens) / m_tokensPerMilli / kMillis);
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
  if (aEngine.m_memory == 0) {
    return wait;
  }
  const double fill =
    static_cast<double>(aEngine.m_heldTokens) / static_cast<double>(aEngine.m_memory);
  const double taken = std::max(0.0, fill - m_options.m_fullFrom) / (1 - m_options.m_fullFrom);
  return wait + base::FromSeconds(taken * base::Seconds(m_options.m_fullCosts));
}

std::optional<std::size_t> PrefillQueues::ReaderOf(const std::string& aKey,
                                                   std::span<const std::string> aNames,
                                                   base::TimePoint aNow) const
{
  const auto last = m_lastRead.find(aKey);
  if (last == m_lastRead.end() || aNow >= last->second.m_at + m_options.m_readFor) {
    return std::nullopt;
  }
  const auto found = std::find(aNames.begin(), aNames.end(), last->second.m_engine);
  return found == aNames.end() ? std::nullopt
                               : std::optional(static_cast<std::size_t>(found - aNames.begin()));
}

std::optional<PrefillChoice> PrefillQueues::Give(const PrefillJob& aJob,
                                                 std::span<const PrefillEngine> aEngines,
                                                 base::TimePoint aNow)
{
  if (aEngines.empty()) {
    return std::nullopt;
  }
  Bound(aNow);
  std::vector<std::string> names;
  std::vector<base::Duration> costs;
  for (const PrefillEngine& engine : aEngines) {
    names.push_back(engine.m_name);
    costs.push_back(CostAt(engine, aNow));
  }
  const auto least = std::min_element(costs.begin(), costs.end());
  PrefillChoice choice;
  choice.m_engine = static_cast<std::size_t>(least - costs.begin());
  std::uint32_t tokens = aJob.m_readTokens;
  if (const auto reader = ReaderOf(aJob.m_key, names, aNow)) {
    const std::uint32_t shared = aJob.m_readTokens - std::min(aJob.m_readTokens, aJob.m_ownTokens);
    if (costs[*reader] <= *least + TimeFor(shared)) {
      choice.m_engine = *reader;
      tokens = aJob.m_ownTokens;
    } else {
      choice.m_holder = names[*reader];
    }
  } else {
    const base::Digest128 key = base::HashWithSeed({}, aJob.m_key);
    const std::size_t home = RendezvousHomes(key, names, 1).front();
    if (costs[home] <= *least + m_options.m_homeWorth) {
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
                          std::uint32_t aReadTokens,
                          base::TimePoint aNow)
{
  const base::Duration queue = WaitAt(aEngine, aNow) + TimeFor(aReadTokens);
  m_busyUntil[aEngine] = aNow + std::min(queue, m_options.m_longest);
  if (aJob.m_readTokens > aJob.m_ownTokens) {
    m_lastRead[aJob.m_key] = { aEngine, aNow };
  }
  Remember({ aEngine, aJob.m_untoldTokens, aNow });
}

std::uint64_t PrefillQueues::GivenTokens(const std::string& aEngine, base::TimePoint aNow)
{
  ForgetTold(aNow);
  const auto found = m_givenTokens.find(aEngine);
  return found == m_givenTokens.end() ? 0 : found->second;
}

void PrefillQueues::Remember(const Given& aGiven)
{
  if (aGiven.m_tokens == 0) {
    return;
  }
  m_givenTokens[aGiven.m_engine] += aGiven.m_tokens;
  m_given.push_back(aGiven);
}

void PrefillQueues::ForgetTold(base::TimePoint aNow)
{
  while (!m_given.empty() && m_given.front().m_at + m_options.m_toldAfter <= aNow) {
    const auto found = m_givenTokens.find(m_given.front().m_engine);
    found->second -= m_given.front().m_tokens;
    if (found->second == 0) {
      m_givenTokens.erase(found);
    }
    m_given.pop_front();
  }
}

void PrefillQueues::OnRead(std::uint32_t aTokens, base::Duration aTook)
{
  constexpr double kMillis = 1000;
  const double millis = std::max(1.0, base::Seconds(aTook) * kMillis);
  const double rate = static_cast<double>(aTokens) / millis;
  m_tokensPerMilli += m_options.m_follow * (rate - m_tokensPerMilli);
}

void PrefillQueues::Bound(base::TimePoint aNow)
{
  if (m_busyUntil.size() > m_options.m_most) {
    std::erase_if(m_busyUntil, [&](const auto& aPair) { return aPair.second <= aNow; });
  }
  if (m_lastRead.size() > m_options.m_most) {
    std::erase_if(m_lastRead, [&](const auto& aPair) {
      return aPair.second.m_at + m_options.m_readFor <= aNow;
    });
  }
}

} // namespace ferrytray::routing
