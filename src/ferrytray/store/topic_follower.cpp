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
  , m_patienceNow(m_options.m_patience)
  , m_retry(m_options.m_retryFirst)
{
}

void TopicFollower::Start()
{
  if (!m_loaded && !m_loading && !m_away && !m_stopped) {
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
  m_readAt = base::MonotonicNow();
  m_loading = true;
  m_log.ReadSnapshot(m_options.m_topic,
                     [self = shared_from_this()](base::Result<Snapshot> aResult) {
                       self->OnSnapshot(std::move(aResult));
                     });
}

void TopicFollower::OnSnapshot(base::Result<Snapshot> aResult)
{
  m_loading = false;
  if (m_stopped || (m_loaded && m_byNews)) {
    return;
  }
  if (!aResult) {
    Away(aResult.error());
    return;
  }
  Contact(m_readAt, std::exchange(m_away, false));
  TellWhole(aResult->m_records, aResult->m_end);
  m_waryUntil = base::MonotonicNow() + m_options.m_waryFor;
  Later(m_options.m_wait.count() > 0 ? base::Duration::zero() : PauseNow(), &TopicFollower::ReadOn);
}

base::Duration TopicFollower::WaitNow() const
{
  const bool wary = m_waryUntil && base::MonotonicNow() < *m_waryUntil;
  return wary ? std::min(m_options.m_waryWait, m_options.m_wait) : m_options.m_wait;
}

void TopicFollower::ReadOn()
{
  Read(WaitNow());
}

void TopicFollower::ReadAtOnce()
{
  Read(base::Duration::zero());
}

void TopicFollower::Read(base::Duration aWait)
{
  m_reading = true;
  m_readWait = aWait;
  m_readAt = base::MonotonicNow();
  m_log.Read(m_options.m_topic,
             m_next,
             aWait,
             m_patienceNow,
             [self = shared_from_this(), read = ++m_read](base::Result<Batch> aResult) {
               self->OnBatch(read, std::move(aResult));
             });
}

void TopicFollower::Renew()
{
  m_waryUntil = base::MonotonicNow() + m_options.m_waryFor;
  if (m_reading && !m_stopped) {
    ReadAtOnce();
  }
}

void TopicFollower::OnFailure(const base::Failure& aFailure)
{
  if (m_readWait.count() > 0) {
    // A log may leave a read that it holds open unanswered and still answer others. So this says
    // nothing of the log, and what it has is asked for at once: were the next read held open, too,
    // two in a row would cost over the bound.
    if (m_events.m_onUnanswered) {
      m_events.m_onUnanswered(base::MonotonicNow() - m_readAt);
    }
    ReadAtOnce();
    return;
  }
  m_patienceNow = std::min(m_patienceNow * 2, m_options.m_patienceMost);
  Away(aFailure);
}

void TopicFollower::OnBatch(std::uint64_t aRead, base::Result<Batch> aResult)
{
  if (m_stopped || aRead != m_read) {
    return;
  }
  m_reading = false;
  if (!aResult) {
    OnFailure(aResult.error());
    return;
  }
  if (aResult->m_historyGone) {
    m_loaded = false;
    LoadSnapshot();
    return;
  }
  Contact(m_readAt, std::exchange(m_away, false));
  const base::Duration took = base::MonotonicNow() - m_readAt;
  if (m_options.m_wait.count() == 0 && took > m_options.m_slowAfter && m_events.m_onSlow) {
    m_events.m_onSlow(took);
  }
  for (const Record& record : aResult->m_records) {
    Take(record);
  }
  Later(PauseNow(), &TopicFollower::ReadOn);
}

void TopicFollower::Take(const Record& aRecord)
{
  if (Tell(aRecord)) {
    m_tail.Add(aRecord);
  } else {
    m_tail.SkipTo(aRecord.m_offset + 1);
  }
  m_next = aRecord.m_offset + 1;
}

bool TopicFollower::Tell(const Record& aRecord)
{
  const auto [found, isNew] = m_newest.try_emplace(aRecord.m_key, aRecord);
  if (!isNew && found->second.m_offset >= aRecord.m_offset) {
    return false;
  }
  found->second = aRecord;
  return m_events.m_onRecord(aRecord);
}

void TopicFollower::TellWhole(const std::vector<Record>& aRecords, Offset aEnd)
{
  std::set<std::string> keys;
  for (const Record& record : aRecords) {
    keys.insert(record.m_key);
    Tell(record);
  }
  m_next = aEnd;
  m_tail.Restart(m_next);
  m_loaded = true;
  std::erase_if(m_newest, [&](const auto& aPair) { return !keys.contains(aPair.first); });
  if (m_events.m_onSnapshot) {
    m_events.m_onSnapshot(keys);
  }
}

void TopicFollower::Contact(base::TimePoint aAt, bool aWasAway)
{
  m_retry = m_options.m_retryFirst;
  m_patienceNow = m_options.m_patience;
  m_contactAt = m_contactAt ? std::max(*m_contactAt, aAt) : aAt;
  if (aWasAway) {
    ++m_outages;
    m_waryUntil = base::MonotonicNow() + m_options.m_waryFor;
  }
  if (m_events.m_onContact) {
    m_events.m_onContact(aWasAway, *m_contactAt);
  }
}

base::Duration TopicFollower::PauseNow() const
{
  const bool serving = m_servedAt && base::MonotonicNow() < *m_servedAt + m_options.m_servingFor;
  return serving ? std::min(m_options.m_servingPause, m_options.m_pause) : m_options.m_pause;
}

TopicCursor TopicFollower::Cursor() const
{
  return { m_options.m_topic, m_next, !m_loaded };
}

TopicNews TopicFollower::Whole() const
{
  TopicNews news;
  news.m_whole = true;
  for (const auto& [key, record] : m_newest) {
    if (!record.m_removed) {
      news.m_records.push_back(record);
    }
  }
  const auto isOlder = [](const Record& aLeft, const Record& aRight) {
    return aLeft.m_offset < aRight.m_offset;
  };
  std::sort(news.m_records.begin(), news.m_records.end(), isOlder);
  return news;
}

std::optional<TopicNews> TopicFollower::NewsSince(const TopicCursor& aFrom,
                                                  base::TimePoint aNow,
                                                  PassOn aMost)
{
  m_servedAt = aNow;
  if (!m_loaded || !m_contactAt) {
    return std::nullopt;
  }
  std::optional<std::vector<Record>> records = m_tail.Since(aFrom.m_next, aMost);
  TopicNews news = aFrom.m_nothing && !m_away ? Whole() : TopicNews{};
  news.m_topic = m_options.m_topic;
  news.m_from = aFrom.m_next;
  news.m_end = m_tail.End();
  news.m_age = aNow - *m_contactAt;
  news.m_outages = m_outages;
  news.m_readYourself = m_away || (!news.m_whole && !records);
  if (!news.m_whole && !news.m_readYourself) {
    news.m_records = std::move(*records);
  }
  return news;
}

bool TopicFollower::IsUsable(const TopicNews& aNews,
                             base::TimePoint aAskedAt,
                             base::TimePoint aNow) const
{
  const bool fresh = aNow < aAskedAt - aNews.m_age + m_options.m_newsFresh;
  const bool gap = aNews.m_from > m_next;
  const bool fits = aNews.m_whole || (m_loaded && !gap);
  return fits && !aNews.m_readYourself && fresh;
}

void TopicFollower::OnNews(const TopicNews& aNews, base::TimePoint aAskedAt)
{
  const base::TimePoint now = base::MonotonicNow();
  const base::TimePoint contact = aAskedAt - aNews.m_age;
  if (m_stopped || !IsUsable(aNews, aAskedAt, now)) {
    OnNewsEnded();
    return;
  }
  // Any read under way is dropped: the other host's reads stand for it.
  ++m_read;
  m_reading = false;
  m_byNews = true;
  const bool cameBack = m_outagesThere && *m_outagesThere != aNews.m_outages;
  m_outagesThere = aNews.m_outages;
  Contact(contact, std::exchange(m_away, false) || cameBack);
  if (aNews.m_whole && !m_loaded) {
    TellWhole(aNews.m_records, aNews.m_end);
  }
  if (!aNews.m_whole) {
    TakeFurther(aNews.m_records, aNews.m_end);
  }
  Later(m_options.m_newsFresh - (now - contact), &TopicFollower::OnNewsEnded);
}

void TopicFollower::TakeFurther(std::span<const Record> aRecords, Offset aEnd)
{
  for (const Record& record : aRecords) {
    if (record.m_offset >= m_next) {
      Take(record);
    }
  }
  m_tail.SkipTo(aEnd);
  m_next = std::max(m_next, aEnd);
}

void TopicFollower::OnNewsEnded()
{
  m_outagesThere.reset();
  if (std::exchange(m_byNews, false) && !m_stopped) {
    m_timer.reset();
    // What made the other host lose the log may have silenced this one's idle connection to it,
    // too.
    m_waryUntil = base::MonotonicNow() + m_options.m_waryFor;
    // The news were relied on for most of the bound.
    ReadAtOnce();
  }
}

void TopicFollower::Away(const base::Failure& aFailure)
{
  if (!std::exchange(m_away, true) && m_events.m_onAway) {
    m_events.m_onAway(aFailure);
  }
  Later(m_retry, m_loaded ? &TopicFollower::ReadAtOnce : &TopicFollower::LoadSnapshot);
  m_retry = std::min(m_retry * 2, m_options.m_retryMost);
}

void TopicFollower::Later(base::Duration aDelay, void (TopicFollower::*aStep)())
{
  std::weak_ptr<TopicFollower> weak = weak_from_this();
  m_timer = m_loop.After(aDelay, [weak, aStep] {
    if (const auto self = weak.lock(); self && !self->m_stopped) {
      (self.get()->*aStep)();
    }
  });
}

} // namespace ferrytray::store
