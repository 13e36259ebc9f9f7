#include "ferrytray/control/order_lease.hpp"

namespace ferrytray::control {

void OrderLease::OnRead(std::uint64_t aEnd, const std::string& aHolder, base::TimePoint aNow)
{
  const bool changed = m_endOffset != aEnd || !m_takeoverAt;
  m_endOffset = aEnd;
  m_endKnown = true;
  m_holder = aHolder;
  if (aHolder.empty()) {
    return;
  }
  if (aHolder == m_self && m_sentAt) {
    // No other host has taken the lease. An uncertain append counts only if it is the newest
    // record.
    if (aEnd > m_fencingToken) {
      m_fencingToken = aEnd;
      m_heldSince = m_sentAt;
    }
    return;
  }
  m_heldSince.reset();
  if (changed) {
    m_takeoverAt = aNow + m_options.m_duration + m_options.m_handoverGap;
  }
}

void OrderLease::OnAppendSent(base::TimePoint aNow)
{
  m_appending = true;
  m_sentAt = aNow;
}

void OrderLease::OnAppendAccepted(std::uint64_t aOffset, base::TimePoint aNow)
{
  static_cast<void>(aNow);
  m_appending = false;
  m_endOffset = aOffset + 1;
  m_holder = m_self;
  m_fencingToken = aOffset + 1;
  m_heldSince = m_sentAt;
}

void OrderLease::OnAppendUncertain()
{
  m_appending = false;
  m_endKnown = false;
}

bool OrderLease::ShouldAppend(base::TimePoint aNow) const
{
  if (m_appending || !m_endKnown) {
    return false;
  }
  if (m_heldSince) {
    return aNow >= *m_heldSince + m_options.m_renewEvery;
  }
  return !m_takeoverAt || aNow >= *m_takeoverAt;
}

bool OrderLease::MaySendOrder(base::TimePoint aNow) const
{
  return m_heldSince && aNow < *m_heldSince + m_options.m_duration - m_options.m_sendMargin;
}

void OrderLease::Drop()
{
  m_heldSince.reset();
  m_sentAt.reset();
  m_endKnown = false;
  m_takeoverAt.reset();
}

} // namespace ferrytray::control
