#include "ferrytray/cache/store_contents.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

namespace ferrytray::cache {

namespace {

std::int64_t ToMillis(base::TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count();
}

} // namespace

void StoreContents::BeginEpoch(std::uint64_t aEpoch, base::TimePoint aNow)
{
  m_epoch = aEpoch;
  m_epochStartedAt = aNow;
  m_next = 0; // sequence numbers are only valid within an epoch
  m_pending.clear();
  Clear();
}

void StoreContents::Clear()
{
  m_parts.clear();
  m_used = 0;
  m_history.StartSeries();
}

void StoreContents::MarkUpdated(base::TimePoint aTime, base::TimePoint aNow)
{
  m_updatedAt = m_updatedAt ? std::max(*m_updatedAt, aTime) : aTime;
  std::erase_if(m_pending, [aNow](const auto& aPair) { return aPair.second.m_until <= aNow; });
}

void StoreContents::OnEvents(const StoreEvents& aEvents,
                             bool aWhole,
                             base::TimePoint aRequestedAt,
                             base::TimePoint aNow)
{
  if (!m_epochStartedAt || aEvents.m_epoch != m_epoch) {
    BeginEpoch(aEvents.m_epoch, aNow);
  } else if (aWhole) {
    Clear();
  }
  for (const StoreChange& change : aEvents.m_changes) {
    Apply(change);
  }
  m_next = aEvents.m_next;
  m_cursor = {};
  if (aEvents.m_clockMillis) {
    m_clockOffset = *aEvents.m_clockMillis - ToMillis(aNow);
  }
  MarkUpdated(aRequestedAt, aNow);
}

void StoreContents::OnDelta(const ContentsDelta& aDelta,
                            base::TimePoint aRequestedAt,
                            base::TimePoint aNow)
{
  if (!m_epochStartedAt || aDelta.m_epoch != m_epoch) {
    BeginEpoch(aDelta.m_epoch, aNow);
  } else if (aDelta.m_whole) {
    Clear();
  }
  for (const StoreChange& change : aDelta.m_changes) {
    Apply(change);
  }
  m_cursor = { aDelta.m_store, aDelta.m_series, aDelta.m_next };
  if (aDelta.m_clockMillis) {
    m_clockOffset = *aDelta.m_clockMillis - ToMillis(aNow);
  }
  MarkUpdated(aRequestedAt - aDelta.m_age, aNow);
}

std::optional<ContentsDelta> StoreContents::DeltaSince(const ContentsCursor& aCursor,
                                                       base::TimePoint aNow) const
{
  if (!m_updatedAt) {
    return std::nullopt;
  }
  ContentsDelta delta;
  delta.m_store = aCursor.m_store;
  delta.m_epoch = m_epoch;
  delta.m_series = m_history.Series();
  delta.m_next = m_history.Next();
  delta.m_age = aNow - *m_updatedAt;
  if (m_clockOffset) {
    delta.m_clockMillis = ToMillis(aNow) + *m_clockOffset;
  }
  if (auto changes = m_history.Since(aCursor.m_series, aCursor.m_next)) {
    delta.m_changes = std::move(*changes);
    return delta;
  }
  delta.m_whole = true;
  for (const auto& [part, tokens] : m_parts) {
    delta.m_changes.push_back({ part, tokens, true });
  }
  return delta;
}

void StoreContents::Apply(const StoreChange& aChange)
{
  const auto known = m_parts.find(aChange.m_part);
  if (known != m_parts.end()) {
    m_used -= known->second;
    m_parts.erase(known);
  }
  m_pending.erase(aChange.m_part);
  if (aChange.m_added) {
    m_parts[aChange.m_part] = aChange.m_tokens;
    m_used += aChange.m_tokens;
  }
  m_history.Add(aChange);
}

void StoreContents::OnFreed(std::uint64_t aEpoch, std::span<const PartName> aParts)
{
  for (const PartName& part : aParts) {
    if (aEpoch == m_epoch && m_parts.contains(part)) {
      Apply({ part, 0, false });
    }
  }
}

void StoreContents::OnSaveRequested(const PartName& aPart,
                                    std::uint32_t aTokens,
                                    base::TimePoint aNow)
{
  m_pending[aPart] = { aTokens, aNow + m_options.m_pendingTimeout };
}

bool StoreContents::MayFetch(const PartName& aPart, base::TimePoint aNow) const
{
  return IsFresh(aNow) && m_clockOffset && m_parts.contains(aPart);
}

bool StoreContents::MaySave(const PartName& aPart,
                            std::uint32_t aTokens,
                            base::TimePoint aNow) const
{
  const bool settled =
    m_epochStartedAt && aNow >= *m_epochStartedAt + m_options.m_saveDelayAfterRestart;
  if (!IsFresh(aNow) || !settled || m_parts.contains(aPart) || m_pending.contains(aPart)) {
    return false;
  }
  std::uint64_t taken = m_used + aTokens;
  for (const auto& [part, pending] : m_pending) {
    taken += pending.m_tokens;
  }
  return taken <= m_traits.m_tokens;
}

std::optional<std::int64_t> StoreContents::FetchDeadline(base::TimePoint aNow,
                                                         base::Duration aTimeout) const
{
  if (!m_clockOffset) {
    return std::nullopt;
  }
  return ToMillis(aNow + std::min(aTimeout, m_options.m_maxFetchTime)) + *m_clockOffset;
}

} // namespace ferrytray::cache
