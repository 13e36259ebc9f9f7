#include "ferrytray/routing/prefill_queues.hpp"

#include <algorithm> // for find, max, min
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

std::optional<PrefillChoice> PrefillQueues::Give(const PrefillJob& aJob,
                                                 std::span<const PrefillEngine> aEngines,
                                                 base::TimePoint aNow)
{
  if (aEngines.empty()) {
    return std::nullopt;
  }
  Bound(aNow);
  PrefillChoice choice;
  std::vector<std::string> names;
  base::Duration least = base::Duration::max();
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    names.push_back(aEngines[i].m_name);
    const base::Duration cost = CostAt(aEngines[i], aNow);
    if (cost < least) {
      least = cost;
      choice.m_engine = i;
    }
  }
  const auto last = m_lastRead.find(aJob.m_key);
  const bool isRead = last != m_lastRead.end() && aNow < last->second.m_at + m_options.m_readFor;
  const auto reader =
    isRead ? std::find(names.begin(), names.end(), last->second.m_engine) : names.end();
  std::uint32_t tokens = aJob.m_readTokens;
  if (reader != names.end()) {
    const auto index = static_cast<std::size_t>(reader - names.begin());
    const std::uint32_t shared = aJob.m_readTokens - std::min(aJob.m_readTokens, aJob.m_ownTokens);
    if (CostAt(aEngines[index], aNow) <= least + TimeFor(shared)) {
      choice.m_engine = index;
      tokens = aJob.m_ownTokens;
    } else {
      choice.m_holder = *reader;
    }
  } else {
    const base::Digest128 key = base::HashWithSeed({}, aJob.m_key);
    const std::size_t home = RendezvousHomes(key, names, 1).front();
    if (CostAt(aEngines[home], aNow) <= least + m_options.m_homeWorth) {
      choice.m_engine = home;
    }
  }
  const std::string& chosen = names[choice.m_engine];
  choice.m_free = WaitAt(chosen, aNow) == base::Duration::zero();
  const base::Duration queue = WaitAt(chosen, aNow) + TimeFor(tokens);
  m_busyUntil[chosen] = aNow + std::min(queue, m_options.m_longest);
  if (aJob.m_readTokens > aJob.m_ownTokens) {
    m_lastRead[aJob.m_key] = { chosen, aNow };
  }
  Remember({ chosen, aJob.m_untoldTokens, aNow });
  return choice;
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
