#include "ferrytray/routing/prefill_queues.hpp"

#include <algorithm> // for find, max, min

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

std::optional<PrefillChoice> PrefillQueues::Give(const PrefillJob& aJob,
                                                 std::span<const std::string> aEngines,
                                                 base::TimePoint aNow)
{
  if (aEngines.empty()) {
    return std::nullopt;
  }
  Bound(aNow);
  PrefillChoice choice;
  base::Duration least = base::Duration::max();
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    const base::Duration wait = WaitAt(aEngines[i], aNow);
    if (wait < least) {
      least = wait;
      choice.m_engine = i;
    }
  }
  const auto last = m_lastRead.find(aJob.m_key);
  const bool isRead = last != m_lastRead.end() && aNow < last->second.m_at + m_options.m_readFor;
  const auto reader =
    isRead ? std::find(aEngines.begin(), aEngines.end(), last->second.m_engine) : aEngines.end();
  std::uint32_t tokens = aJob.m_readTokens;
  if (reader != aEngines.end()) {
    const std::uint32_t shared = aJob.m_readTokens - std::min(aJob.m_readTokens, aJob.m_ownTokens);
    if (WaitAt(*reader, aNow) <= least + TimeFor(shared)) {
      choice.m_engine = static_cast<std::size_t>(reader - aEngines.begin());
      tokens = aJob.m_ownTokens;
    } else {
      choice.m_holder = *reader;
    }
  } else {
    const base::Digest128 key = base::HashWithSeed({}, aJob.m_key);
    const std::size_t home = RendezvousHomes(key, aEngines, 1).front();
    if (WaitAt(aEngines[home], aNow) <= least + m_options.m_homeWorth) {
      choice.m_engine = home;
    }
  }
  const std::string& chosen = aEngines[choice.m_engine];
  choice.m_free = WaitAt(chosen, aNow) == base::Duration::zero();
  const base::Duration queue = WaitAt(chosen, aNow) + TimeFor(tokens);
  m_busyUntil[chosen] = aNow + std::min(queue, m_options.m_longest);
  if (aJob.m_readTokens > aJob.m_ownTokens) {
    m_lastRead[aJob.m_key] = { chosen, aNow };
  }
  return choice;
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
