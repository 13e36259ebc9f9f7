#include "ferrytray/limits/endpoint_backoffs.hpp"

#include <algorithm> // for count_if, min

namespace ferrytray::limits {

BackoffChange EndpointBackoffs::OnRefused(EndpointKey aEndpoint,
                                          base::Duration aDelay,
                                          base::TimePoint aNow)
{
  const base::TimePoint until = aNow + std::min(aDelay, m_options.m_maxDelay);
  const auto found = m_entries.find(aEndpoint);
  if (until <= aNow || (found == m_entries.end() && m_entries.size() >= m_options.m_maxEntries)) {
    return BackoffChange::None;
  }
  Entry& entry = m_entries[aEndpoint];
  if (until <= entry.m_until) {
    return BackoffChange::None;
  }
  const bool wasInBackoff = aNow < entry.m_until;
  entry = { until, m_options.m_initialWindow };
  return wasInBackoff ? BackoffChange::Extended : BackoffChange::Begun;
}

void EndpointBackoffs::OnAnswered(EndpointKey aEndpoint, base::TimePoint aSentAt)
{
  const auto found = m_entries.find(aEndpoint);
  // Answers to requests that were sent before the backoff say nothing of the time after it.
  if (found == m_entries.end() || aSentAt < found->second.m_until) {
    return;
  }
  if (++found->second.m_window >= m_options.m_fullWindow) {
    m_entries.erase(found);
  }
}

bool EndpointBackoffs::IsWindowFull(EndpointKey aEndpoint,
                                    std::uint32_t aOpenRequests,
                                    base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && aNow >= found->second.m_until &&
         aNow < found->second.m_until + m_options.m_maxRampTime &&
         aOpenRequests >= found->second.m_window;
}

std::optional<base::TimePoint> EndpointBackoffs::EndsAt(EndpointKey aEndpoint,
                                                        base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && aNow < found->second.m_until
           ? std::optional(found->second.m_until)
           : std::nullopt;
}

std::size_t EndpointBackoffs::Count(base::TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& aPair) {
      return aNow < aPair.second.m_until;
    }));
}

void EndpointBackoffs::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aPair) {
    return aPair.second.m_until + m_options.m_maxRampTime <= aNow;
  });
}

} // namespace ferrytray::limits
