#include "ferrytray/store/topic_follower.hpp"

#include <algorithm> // for max, min
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
  , m_contacts(m_options.m_minOutage)
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
  OnAnswer();
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
  OnAnswer();
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
    m_shortWaitUntil = base::MonotonicNow() + m_options.m_shortWaitPeriod;
  }
  if (m_events.m_onContact) {
    m_events.m_onContact(aRecovered, *m_lastContactAt);
  }
}

void TopicFollower::OnAnswer()
{
  const base::TimePoint now = base::MonotonicNow();
  AddContactPeriod({ now, now }, base::Duration::zero());
}

void TopicFollower::AddContactPeriod(ContactPeriod aPeriod, base::Duration aUncertainty)
{
  if (m_contacts.Add(aPeriod, aUncertainty) && m_events.m_onOutageEnd) {
    m_events.m_onOutageEnd(m_contacts.LastOutage());
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

void TopicFollower::OnUnreachable(const base::Failure& aFailure)
{
  if (!std::exchange(m_unreachable, true) && m_events.m_onUnreachable) {
    m_events.m_onUnreachable(aFailure);
  }
  const base::Duration delay = m_wasRelayed ? RandomDelay(2 * m_retryDelay) : m_retryDelay;
  Schedule(delay, &TopicFollower::TakeOver);
  m_retryDelay =
    std::min(m_retryDelay * 2, m_wasRelayed ? m_options.m_relayedRetryMax : m_options.m_retryMax);
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
