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
  if (!m_loaded && !m_loading && !m_unreachable && !m_stopped) {
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
  OnContact(m_readStartedAt, std::exchange(m_unreachable, false));
  const base::Duration took = base::MonotonicNow() - m_readStartedAt;
  if (m_options.m_wait.count() == 0 && took > m_options.m_slowThreshold && m_events.m_onSlow) {
    m_events.m_onSlow(took);
  }
  for (const Record& record : aResult->m_records) {
    Apply(record);
  }
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
  return { m_options.m_topic, m_next, !m_loaded };
}

TopicUpdate TopicFollower::FullUpdate() const
{
  TopicUpdate update;
  update.m_isSnapshot = true;
  for (const auto& [key, record] : m_newestByKey) {
    if (!record.m_removed) {
      update.m_records.push_back(record);
    }
  }
  const auto isOlder = [](const Record& aLeft, const Record& aRight) {
    return aLeft.m_offset < aRight.m_offset;
  };
  std::sort(update.m_records.begin(), update.m_records.end(), isOlder);
  return update;
}

std::optional<TopicUpdate> TopicFollower::UpdateSince(const TopicCursor& aFrom,
                                                      base::TimePoint aNow,
                                                      RelayLimit aLimit)
{
  m_lastServedAt = aNow;
  if (!m_loaded || !m_lastContactAt) {
    return std::nullopt;
  }
  std::optional<std::vector<Record>> records = m_tail.Since(aFrom.m_next, aLimit);
  TopicUpdate update = aFrom.m_unread && !m_unreachable ? FullUpdate() : TopicUpdate{};
  update.m_topic = m_options.m_topic;
  update.m_from = aFrom.m_next;
  update.m_end = m_tail.End();
  update.m_age = aNow - *m_lastContactAt;
  update.m_outages = m_outages;
  update.m_unavailable = m_unreachable || (!update.m_isSnapshot && !records);
  if (!update.m_isSnapshot && !update.m_unavailable) {
    update.m_records = std::move(*records);
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
  // Drops any read in progress; the reads of the other host replace it.
  ++m_readNumber;
  m_reading = false;
  m_relayed = true;
  const bool recovered = m_relayOutages && *m_relayOutages != aUpdate.m_outages;
  m_relayOutages = aUpdate.m_outages;
  OnContact(contact, std::exchange(m_unreachable, false) || recovered);
  if (aUpdate.m_isSnapshot && !m_loaded) {
    DeliverSnapshot(aUpdate.m_records, aUpdate.m_end);
  }
  if (!aUpdate.m_isSnapshot) {
    ApplyUpdate(aUpdate.m_records, aUpdate.m_end);
  }
  Schedule(m_options.m_maxUpdateAge - (now - contact), &TopicFollower::OnRelayEnded);
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
    // Waiting for updates has used up most of the bound on the delay.
    ReadImmediately();
  }
}

void TopicFollower::OnUnreachable(const base::Failure& aFailure)
{
  if (!std::exchange(m_unreachable, true) && m_events.m_onUnreachable) {
    m_events.m_onUnreachable(aFailure);
  }
  Schedule(m_retryDelay, m_loaded ? &TopicFollower::ReadImmediately : &TopicFollower::LoadSnapshot);
  m_retryDelay = std::min(m_retryDelay * 2, m_options.m_retryMax);
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
