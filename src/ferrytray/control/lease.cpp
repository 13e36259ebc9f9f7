#include "ferrytray/control/lease.hpp"

namespace ferrytray::control {

void LeaseTable::Apply(std::uint64_t aOffset, base::Duration aTime, const LeaseRecord& aRecord)
{
  for (const std::string& name : aRecord.m_leases) {
    HeldLease& lease = m_leases[name];
    const bool free = lease.m_fencingToken == 0 || lease.m_expires <= aTime;
    const bool own = lease.m_holder == aRecord.m_holder;
    if (!free && !own) {
      continue;
    }
    // An expired lease gets a new token even for its old holder, since another host may already
    // have seen it as free.
    if (free) {
      lease.m_fencingToken = aOffset;
    }
    lease.m_holder = aRecord.m_holder;
    lease.m_expires = aTime + aRecord.m_duration;
  }
}

std::optional<HeldLease> LeaseTable::Find(const std::string& aLease) const
{
  const auto found = m_leases.find(aLease);
  const bool taken = found != m_leases.end() && found->second.m_fencingToken != 0;
  return taken ? std::optional(found->second) : std::nullopt;
}

bool LeaseHolder::ShouldAppend(const std::optional<HeldLease>& aHeld,
                               base::Duration aPlatformNow,
                               base::TimePoint aNow) const
{
  if (aNow < m_appendedAt + m_options.m_renewEvery) {
    return false;
  }
  const bool own = aHeld && aHeld->m_holder == m_holder;
  const bool lapsed = !aHeld || aHeld->m_expires <= aPlatformNow;
  return own || lapsed;
}

void LeaseHolder::OnAppendSent(base::TimePoint aNow)
{
  m_appendedAt = aNow;
  m_sentAt = aNow;
}

void LeaseHolder::OnReadBack(const std::optional<HeldLease>& aHeld, base::TimePoint aNow)
{
  if (!aHeld || aHeld->m_holder != m_holder) {
    m_fencingToken = 0;
    m_validUntil = {};
    return;
  }
  if (aHeld->m_fencingToken != m_fencingToken) {
    m_fencingToken = aHeld->m_fencingToken;
    m_heldSince = aNow;
  }
  m_validUntil = m_sentAt + m_options.m_duration - m_options.m_clockMargin;
}

bool LeaseHolder::MaySendOrder(bool aChecksFencing, base::TimePoint aNow) const
{
  if (m_fencingToken == 0 || aNow + m_options.m_maxSendTime >= m_validUntil) {
    return false;
  }
  // The previous holder may be paused during a send, and an endpoint that does not check fencing
  // tokens would still obey it.
  const base::TimePoint settled = m_heldSince + m_options.m_duration + m_options.m_maxSendTime;
  return aChecksFencing || aNow >= settled;
}

} // namespace ferrytray::control
