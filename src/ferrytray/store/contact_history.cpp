#include "ferrytray/store/contact_history.hpp"

#include <algorithm> // for max, min
#include <utility>   // for exchange

namespace ferrytray::store {

bool ContactHistory::Add(ContactPeriod aPeriod, base::Duration aUncertainty)
{
  const std::optional<base::TimePoint> endBefore = LastOutageEnd();
  if (!m_current) {
    m_current = aPeriod;
  } else if (aPeriod.m_begin >= m_current->m_end + m_minOutage) {
    m_previousEnd = std::exchange(m_current, aPeriod)->m_end;
  } else if (m_current->m_begin >= aPeriod.m_end + m_minOutage) {
    m_previousEnd = std::max(m_previousEnd.value_or(aPeriod.m_end), aPeriod.m_end);
  } else {
    m_current->m_begin = std::min(m_current->m_begin, aPeriod.m_begin + aUncertainty);
    m_current->m_end = std::max(m_current->m_end, aPeriod.m_end);
  }
  if (m_previousEnd && m_current->m_begin < *m_previousEnd + m_minOutage) {
    m_previousEnd.reset();
  }
  return LastOutageEnd() != endBefore;
}

std::optional<base::TimePoint> ContactHistory::LastOutageEnd() const
{
  return m_previousEnd ? std::optional(m_current->m_begin) : std::nullopt;
}

std::optional<LogOutage> ContactHistory::LastOutage() const
{
  return m_previousEnd ? std::optional(LogOutage{ *m_previousEnd, m_current->m_begin })
                       : std::nullopt;
}

} // namespace ferrytray::store
