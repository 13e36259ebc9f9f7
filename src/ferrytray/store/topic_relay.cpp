// Updates of a topic between hosts, and the takeover of its reads when they end.
#include "ferrytray/store/topic_follower.hpp"

#include <algorithm> // for max, min, sort
#include <span>      // for span
#include <utility>   // for exchange, move

namespace ferrytray::store {

namespace {

/// A snapshot that grows beyond this is discarded: 20 times that of 10,000 endpoints.
constexpr std::size_t kMaxSnapshotBytes = 64U << 20U;

} // namespace

void TopicFollower::FillSnapshotPiece(TopicUpdate& aUpdate, const std::string& aAfter) const
{
  aUpdate.m_isSnapshot = true;
  aUpdate.m_after = aAfter;
  std::size_t bytes = 0;
  for (auto next = m_newestByKey.upper_bound(aAfter); next != m_newestByKey.end(); ++next) {
    const Record& record = next->second;
    if (record.m_removed) {
      continue;
    }
    bytes += RecordTail::SizeOf(record);
    if (bytes > m_tail.MaxRelayBytes() && !aUpdate.m_records.empty()) {
      aUpdate.m_hasMore = true;
      return;
    }
    aUpdate.m_records.push_back(record);
  }
}

std::optional<TopicUpdate> TopicFollower::UpdateSince(const TopicCursor& aFrom,
                                                      base::TimePoint aNow)
{
  m_lastServedAt = aNow;
  if (!m_loaded || !m_lastContactAt || !m_contacts.Current()) {
    return std::nullopt;
  }
  TopicUpdate update;
  update.m_topic = m_options.m_topic;
  update.m_from = aFrom.m_next;
  update.m_end = m_tail.End();
  update.m_age = aNow - *m_lastContactAt;
  update.m_contactBeginAge = aNow - m_contacts.Current()->m_begin;
  update.m_contactEndAge = aNow - m_contacts.Current()->m_end;
  update.m_unavailable = m_unreachable;
  std::optional<RecordTail::Piece> records = m_tail.Since(aFrom.m_next);
  if (!m_unreachable && (aFrom.m_unread || !records)) {
    FillSnapshotPiece(update, aFrom.m_unread ? aFrom.m_after : std::string());
  } else if (records) {
    update.m_records = std::move(records->m_records);
    update.m_end = records->m_end;
    update.m_hasMore = records->m_hasMore;
  }
  return update;
}

bool TopicFollower::IsUsable(const TopicUpdate& aUpdate,
                             base::TimePoint aAskedAt,
                             base::TimePoint aNow) const
{
  const bool recent = aNow < aAskedAt - aUpdate.m_age + m_options.m_maxUpdateAge;
  const bool gap = aUpdate.m_from > m_next;
  const bool fits = aUpdate.m_isSnapshot || (m_loaded && !gap);
  return fits && !aUpdate.m_unavailable && recent;
}

void TopicFollower::OnUpdate(const TopicUpdate& aUpdate, base::TimePoint aAskedAt)
{
  const base::TimePoint now = base::MonotonicNow();
  const base::TimePoint contact = aAskedAt - aUpdate.m_age;
  OnContactReport(aUpdate, aAskedAt);
  if (m_stopped || !IsUsable(aUpdate, aAskedAt, now)) {
    OnRelayEnded();
    return;
  }
  const bool complete = aUpdate.m_isSnapshot ? AddSnapshotPiece(aUpdate) : !aUpdate.m_hasMore;
  if (!complete && aUpdate.m_isSnapshot && m_loaded) {
    return; // what this host knows is as old as before, and so is the time to read the log
  }
  // Drops any read in progress; the reads of the other host replace it.
  ++m_readNumber;
  m_reading = false;
  m_relayed = true;
  m_wasRelayed = true;
  if (!complete && aUpdate.m_isSnapshot) {
    Schedule(m_options.m_progressTime, &TopicFollower::OnRelayEnded);
    return;
  }
  OnContact(complete ? contact : m_lastContactAt.value_or(contact),
            std::exchange(m_unreachable, false));
  if (aUpdate.m_isSnapshot) {
    const PartialSnapshot snapshot = std::move(*m_partial);
    m_partial.reset();
    DeliverSnapshot(snapshot.m_records, snapshot.m_end);
  } else {
    m_partial.reset();
    ApplyUpdate(aUpdate.m_records, aUpdate.m_end);
  }
  const base::Duration remaining = m_options.m_maxUpdateAge - (now - *m_lastContactAt);
  Schedule(complete ? remaining : std::max(remaining, m_options.m_progressTime),
           &TopicFollower::OnRelayEnded);
}

void TopicFollower::OnContactReport(const TopicUpdate& aUpdate, base::TimePoint aAskedAt)
{
  if (!m_stopped) {
    // The ages count from some moment between the request and its reply.
    const base::Duration end = std::max(aUpdate.m_contactEndAge, base::Duration::zero());
    AddContactPeriod({ aAskedAt - std::max(aUpdate.m_contactBeginAge, end), aAskedAt - end },
                     base::MonotonicNow() - aAskedAt);
  }
}

bool TopicFollower::AddSnapshotPiece(const TopicUpdate& aUpdate)
{
  if (!m_partial || aUpdate.m_after.empty()) {
    m_partial = PartialSnapshot{ {}, 0, {}, aUpdate.m_end };
  }
  if (aUpdate.m_after != m_partial->m_after) {
    return false; // a reply to an earlier request
  }
  m_partial->m_end = std::min(m_partial->m_end, aUpdate.m_end);
  for (const Record& record : aUpdate.m_records) {
    m_partial->m_bytes += RecordTail::SizeOf(record);
    const bool ascends = record.m_key > m_partial->m_after;
    if (!ascends || m_partial->m_bytes > kMaxSnapshotBytes) {
      m_partial.reset();
      return false;
    }
    m_partial->m_after = record.m_key;
    m_partial->m_records.push_back(record);
  }
  if (aUpdate.m_hasMore && !aUpdate.m_records.empty()) {
    return false;
  }
  std::sort(
    m_partial->m_records.begin(),
    m_partial->m_records.end(),
    [](const Record& aLeft, const Record& aRight) { return aLeft.m_offset < aRight.m_offset; });
  return true;
}

void TopicFollower::ApplyUpdate(std::span<const Record> aRecords, Offset aEnd)
{
  for (const Record& record : aRecords) {
    if (record.m_offset >= m_next) {
      Apply(record);
    }
  }
  m_tail.SkipTo(aEnd);
  m_next = std::max(m_next, aEnd);
}

void TopicFollower::OnRelayEnded()
{
  if (std::exchange(m_relayed, false) && !m_stopped) {
    m_timer.reset();
    // The cause of the other host's outage may have broken this host's idle connection to the log,
    // too.
    m_shortWaitUntil = base::MonotonicNow() + m_options.m_shortWaitPeriod;
    if (m_loaded) {
      m_partial.reset();
    }
    if (m_options.m_maxTakeoverDelay > base::Duration::zero()) {
      Schedule(RandomDelay(m_options.m_maxTakeoverDelay), &TopicFollower::TakeOver);
    } else {
      TakeOver();
    }
  }
}

void TopicFollower::TakeOver()
{
  if (!m_takeoverAllowed) {
    Schedule(m_options.m_takeoverCheckInterval, &TopicFollower::TakeOver);
  } else if (m_loaded) {
    // Waiting for updates has used up most of the bound on the delay.
    ReadImmediately();
  } else {
    LoadSnapshot();
  }
}

base::Duration TopicFollower::RandomDelay(base::Duration aMax)
{
  return base::Duration(
    std::uniform_int_distribution<base::Duration::rep>(0, aMax.count())(m_random));
}

} // namespace ferrytray::store
