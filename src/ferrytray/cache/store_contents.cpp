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
  m_epochSince = aNow;
  m_next = 0; // numbers of another epoch say nothing
  m_pending.clear();
  Replace();
}

void StoreContents::Replace()
{
  m_parts.clear();
  m_used = 0;
  m_history.BeginSeries();
}

void StoreContents::HeardAt(base::TimePoint aTime, base::TimePoint aNow)
{
  m_heardAt = m_heardAt ? std::max(*m_heardAt, aTime) : aTime;
  std::erase_if(m_pending, [aNow](const auto& aPair) { return aPair.second.m_until <= aNow; });
}

void StoreContents::OnNews(const StoreNews& aNews,
                           bool aWhole,
                           base::TimePoint aAskedAt,
                           base::TimePoint aNow)
{
  if (!m_epochSince || aNews.m_epoch != m_epoch) {
    BeginEpoch(aNews.m_epoch, aNow);
  } else if (aWhole) {
    Replace();
  }
  for (const StoreChange& change : aNews.m_changes) {
    Apply(change);
  }
  m_next = aNews.m_next;
  m_cursor = {};
  if (aNews.m_clockMillis) {
    m_clockAhead = *aNews.m_clockMillis - ToMillis(aNow);
  }
  HeardAt(aAskedAt, aNow);
}

void StoreContents::OnDigest(const ContentsDigest& aDigest,
                             base::TimePoint aAskedAt,
                             base::TimePoint aNow)
{
  if (!m_epochSince || aDigest.m_epoch != m_epoch) {
    BeginEpoch(aDigest.m_epoch, aNow);
  } else if (aDigest.m_whole) {
    Replace();
  }
  for (const StoreChange& change : aDigest.m_changes) {
    Apply(change);
  }
  m_cursor = { aDigest.m_store, aDigest.m_series, aDigest.m_next };
  if (aDigest.m_clockMillis) {
    m_clockAhead = *aDigest.m_clockMillis - ToMillis(aNow);
  }
  HeardAt(aAskedAt - aDigest.m_age, aNow);
}

std::optional<ContentsDigest> StoreContents::DigestFor(const ContentsCursor& aCursor,
                                                       base::TimePoint aNow) const
{
  if (!m_heardAt) {
    return std::nullopt;
  }
  ContentsDigest digest;
  digest.m_store = aCursor.m_store;
  digest.m_epoch = m_epoch;
  digest.m_series = m_history.Series();
  digest.m_next = m_history.Next();
  digest.m_age = aNow - *m_heardAt;
  if (m_clockAhead) {
    digest.m_clockMillis = ToMillis(aNow) + *m_clockAhead;
  }
  if (auto changes = m_history.Since(aCursor.m_series, aCursor.m_next)) {
    digest.m_changes = std::move(*changes);
    return digest;
  }
  digest.m_whole = true;
  for (const auto& [part, tokens] : m_parts) {
    digest.m_changes.push_back({ part, tokens, true });
  }
  return digest;
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

void StoreContents::OnSaveAsked(const PartName& aPart, std::uint32_t aTokens, base::TimePoint aNow)
{
  m_pending[aPart] = { aTokens, aNow + m_options.m_pendingFor };
}

bool StoreContents::MayFetch(const PartName& aPart, base::TimePoint aNow) const
{
  return IsFresh(aNow) && m_clockAhead && m_parts.contains(aPart);
}

bool StoreContents::MaySave(const PartName& aPart,
                            std::uint32_t aTokens,
                            base::TimePoint aNow) const
{
  const bool settled = m_epochSince && aNow >= *m_epochSince + m_options.m_settle;
  if (!IsFresh(aNow) || !settled || m_parts.contains(aPart) || m_pending.contains(aPart)) {
    return false;
  }
  std::uint64_t taken = m_used + aTokens;
  for (const auto& [part, pending] : m_pending) {
    taken += pending.m_tokens;
  }
  return taken <= m_traits.m_tokens;
}

std::optional<std::int64_t> StoreContents::FetchUntil(base::TimePoint aNow,
                                                      base::Duration aWithin) const
{
  if (!m_clockAhead) {
    return std::nullopt;
  }
  return ToMillis(aNow + std::min(aWithin, m_options.m_fetchWithin)) + *m_clockAhead;
}

} // namespace ferrytray::cache
