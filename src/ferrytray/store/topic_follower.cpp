#include "ferrytray/store/topic_follower.hpp"

#include <algorithm> // for max, min, sort
#include <span>      // for span
#include <utility>   // for exchange, move

namespace ferrytray::store {

TopicFollower::TopicFollower(net::Loop& aLoop,
                             RecordLog& aLog,
                             FollowOptions aOptions,
                             FollowEvents aEvents)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_options(std::move(aOptions))
  , m_events(std::move(aEvents))
  , m_currentReplyTimeout(m_options.m_replyTimeout)
  , m_retryDelay(m_options.m_retryMin)
{
}

void TopicFollower::Start()
{
  if (!m_loaded && !m_loading && !m_unreachable && !m_relayed && !m_stopped) {
    LoadSnapshot();
  }
}

void TopicFollower::Stop()
{
  m_stopped = true;
  m_timer.reset();
}

void TopicFollower::LoadSnapshot()
{
  m_readStartedAt = base::MonotonicNow();
  m_loading = true;
  m_log.ReadSnapshot(m_options.m_topic,
                     [self = shared_from_this()](base::Result<Snapshot> aResult) {
                       self->OnSnapshot(std::move(aResult));
                     });
}

void TopicFollower::OnSnapshot(base::Result<Snapshot> aResult)
{
  m_loading = false;
  if (m_stopped || (m_loaded && m_relayed)) {
    return;
  }
  if (!aResult) {
    OnUnreachable(aResult.error());
    return;
  }
  m_wasRelayed = false;
  OnContact(m_readStartedAt, std::exchange(m_unreachable, false));
  DeliverSnapshot(aResult->m_records, aResult->m_end);
  m_shortWaitUntil = base::MonotonicNow() + m_options.m_shortWaitPeriod;
  Schedule(m_options.m_wait.count() > 0 ? base::Duration::zero() : CurrentPause(),
           &TopicFollower::ReadNext);
}

base::Duration TopicFollower::CurrentWait() const
{
  const bool useShortWait = m_shortWaitUntil && base::MonotonicNow() < *m_shortWaitUntil;
  return useShortWait ? std::min(m_options.m_shortWait, m_options.m_wait) : m_options.m_wait;
}

void TopicFollower::ReadNext()
{
  Read(CurrentWait());
}

void TopicFollower::ReadImmediately()
{
  Read(base::Duration::zero());
}

void TopicFollower::Read(base::Duration aWait)
{
  m_reading = true;
  m_readWait = aWait;
  m_readStartedAt = base::MonotonicNow();
  m_log.Read(m_options.m_topic,
             m_next,
             aWait,
             m_currentReplyTimeout,
             [self = shared_from_this(), read = ++m_readNumber](base::Result<Batch> aResult) {
               self->OnBatch(read, std::move(aResult));
             });
}

void TopicFollower::RestartRead()
{
  m_shortWaitUntil = base::MonotonicNow() + m_options.m_shortWaitPeriod;
  if (m_reading && !m_stopped) {
    ReadImmediately();
  }
}

void TopicFollower::OnFailure(const base::Failure& aFailure)
{
  if (m_readWait.count() > 0) {
    // A log may leave a held read unanswered and still answer others, so this failure does not mean
    // an outage. The next read is not held open: two lost held reads in a row would exceed the
    // bound on the delay.
    if (m_events.m_onHeldReadFailed) {
      m_events.m_onHeldReadFailed(base::MonotonicNow() - m_readStartedAt);
    }
    ReadImmediately();
    return;
  }
  m_currentReplyTimeout = std::min(m_currentReplyTimeout * 2, m_options.m_maxReplyTimeout);
  OnUnreachable(aFailure);
}

void TopicFollower::OnBatch(std::uint64_t aRead, base::Result<Batch> aResult)
{
  if (m_stopped || aRead != m_readNumber) {
    return;
  }
  m_reading = false;
  if (!aResult) {
    OnFailure(aResult.error());
    return;
  }
  if (aResult->m_truncated) {
    m_loaded = false;
    LoadSnapshot();
    return;
  }
  const bool complete =
    aResult->m_records.empty() || aResult->m_records.back().m_offset + 1 >= aResult->m_end;
  // A reply that does not reach the end of the topic does not show that nothing newer exists.
  OnContact(complete ? m_readStartedAt : m_lastContactAt.value_or(m_readStartedAt),
            std::exchange(m_unreachable, false));
  const base::Duration took = base::MonotonicNow() - m_readStartedAt;
  if (m_options.m_wait.count() == 0 && took > m_options.m_slowThreshold && m_events.m_onSlow) {
    m_events.m_onSlow(took);
  }
  for (const Record& record : aResult->m_records) {
    Apply(record);
  }
  if (!complete) {
    ReadImmediately();
    return;
  }
  m_wasRelayed = false;
  Schedule(CurrentPause(), &TopicFollower::ReadNext);
}

void TopicFollower::Apply(const Record& aRecord)
{
  if (Deliver(aRecord)) {
    m_tail.Add(aRecord);
  } else {
    m_tail.SkipTo(aRecord.m_offset + 1);
  }
  m_next = aRecord.m_offset + 1;
}

bool TopicFollower::Deliver(const Record& aRecord)
{
  const auto [entry, isNew] = m_newestByKey.try_emplace(aRecord.m_key, aRecord);
  if (!isNew && entry->second.m_offset >= aRecord.m_offset) {
    return false;
  }
  entry->second = aRecord;
  return m_events.m_onRecord(aRecord);
}

void TopicFollower::DeliverSnapshot(const std::vector<Record>& aRecords, Offset aEnd)
{
  std::set<std::string> keys;
  for (const Record& record : aRecords) {
    keys.insert(record.m_key);
    Deliver(record);
  }
  m_next = aEnd;
  m_tail.Restart(m_next);
  m_loaded = true;
  std::erase_if(m_newestByKey, [&](const auto& aPair) { return !keys.contains(aPair.first); });
  if (m_events.m_onSnapshot) {
    m_events.m_onSnapshot(keys);
  }
}

void TopicFollower::OnContact(base::TimePoint aAt, bool aRecovered)
{
  m_retryDelay = m_options.m_retryMin;
  m_currentReplyTimeout = m_options.m_replyTimeout;
  m_lastContactAt = m_lastContactAt ? std::max(*m_lastContactAt, aAt) : aAt;
  if (aRecovered) {
    ++m_outages;
    m_shortWaitUntil = base::MonotonicNow() + m_options.m_shortWaitPeriod;
  }
  if (m_events.m_onContact) {
    m_events.m_onContact(aRecovered, *m_lastContactAt);
  }
}

base::Duration TopicFollower::CurrentPause() const
{
  const bool serving =
    m_lastServedAt && base::MonotonicNow() < *m_lastServedAt + m_options.m_servingPeriod;
  return serving ? std::min(m_options.m_servingPause, m_options.m_pause) : m_options.m_pause;
}

TopicCursor TopicFollower::Cursor() const
{
  const bool unread = !m_loaded || m_partial;
  return { m_options.m_topic, m_next, unread, m_partial ? m_partial->m_after : std::string() };
}

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
  if (!m_loaded || !m_lastContactAt) {
    return std::nullopt;
  }
  TopicUpdate update;
  update.m_topic = m_options.m_topic;
  update.m_from = aFrom.m_next;
  update.m_end = m_tail.End();
  update.m_age = aNow - *m_lastContactAt;
  update.m_outages = m_outages;
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
  const bool recovered = m_relayOutages && *m_relayOutages != aUpdate.m_outages;
  m_relayOutages = aUpdate.m_outages;
  OnContact(complete ? contact : m_lastContactAt.value_or(contact),
            std::exchange(m_unreachable, false) || recovered);
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

bool TopicFollower::AddSnapshotPiece(const TopicUpdate& aUpdate)
{
  if (!m_partial || aUpdate.m_after.empty()) {
    m_partial = PartialSnapshot{ {}, {}, aUpdate.m_end };
  }
  if (aUpdate.m_after != m_partial->m_after) {
    return false; // a reply to an earlier request
  }
  m_partial->m_end = std::min(m_partial->m_end, aUpdate.m_end);
  for (const Record& record : aUpdate.m_records) {
    if (record.m_key <= m_partial->m_after) {
      m_partial.reset(); // the keys of a snapshot ascend
      return false;
    }
    m_partial->m_after = record.m_key;
    m_partial->m_records.push_back(record);
  }
  if (aUpdate.m_hasMore && !aUpdate.m_records.empty()) {
    return false;
  }
  std::sort(m_partial->m_records.begin(),
            m_partial->m_records.end(),
            [](const Record& aLeft, const Record& aRight) {
              return aLeft.m_offset < aRight.m_offset;
            });
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
  m_relayOutages.reset();
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
  return base::Duration(std::uniform_int_distribution<base::Duration::rep>(0, aMax.count())(m_random));
}

void TopicFollower::OnUnreachable(const base::Failure& aFailure)
{
  if (!std::exchange(m_unreachable, true) && m_events.m_onUnreachable) {
    m_events.m_onUnreachable(aFailure);
  }
  const base::Duration delay = m_wasRelayed ? RandomDelay(2 * m_retryDelay) : m_retryDelay;
  Schedule(delay, &TopicFollower::TakeOver);
  m_retryDelay = std::min(m_retryDelay * 2,
                          m_wasRelayed ? m_options.m_relayedRetryMax : m_options.m_retryMax);
}

void TopicFollower::Schedule(base::Duration aDelay, void (TopicFollower::*aStep)())
{
  std::weak_ptr<TopicFollower> weak = weak_from_this();
  m_timer = m_loop.After(aDelay, [weak, aStep] {
    if (const auto self = weak.lock(); self && !self->m_stopped) {
      (self.get()->*aStep)();
    }
  });
}

} // namespace ferrytray::store
