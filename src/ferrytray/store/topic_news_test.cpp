// One host follows a topic through another one.
#include "ferrytray/store/topic_follower.hpp"

#include "tests/support/fake_record_log.hpp" // for FakeRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::RecordOf;

namespace {

store::TopicNews NewsOf(store::Offset aEnd, std::vector<store::Record> aRecords = {})
{
  store::TopicNews news;
  news.m_topic = "t";
  news.m_end = aEnd;
  news.m_records = std::move(aRecords);
  return news;
}

} // namespace

TEST_GROUP(TopicNews)
{
  net::Loop m_loop;
  support::FakeRecordLog m_log{ m_loop };
  std::shared_ptr<store::TopicFollower> m_follower;
  std::string m_told;

  void setup() override
  {
    m_log.m_snapshots.push_back(store::Snapshot{ 5, { RecordOf(3, "a", "1") } });
    m_log.m_hang = true; // its own reads are not answered
    m_log.m_onHung = [] {};
    store::FollowOptions options;
    options.m_topic = "t";
    options.m_pause = 1h;
    options.m_newsFresh = 100ms;
    store::FollowEvents events;
    events.m_onRecord = [this](const store::Record& aRecord) {
      m_told += aRecord.m_key + "=" + aRecord.m_value + " ";
      return aRecord.m_value != "same";
    };
    events.m_onContact = [this](bool aWasAway, base::TimePoint) {
      m_told += aWasAway ? "back " : "";
    };
    m_follower = std::make_shared<store::TopicFollower>(m_loop, m_log, options, events);
    m_follower->Start();
    m_loop.RunFor(1ms);
    m_told.clear();
  }
  void teardown() override
  {
    m_follower->Stop();
  }

  void Hear(const store::TopicNews& aNews)
  {
    m_follower->OnNews(aNews, base::MonotonicNow());
  }
};

TEST(TopicNews, RecordsThroughAnotherHostAreToldOnceAndNothingIsRead)
{
  Hear(NewsOf(7, { RecordOf(5, "a", "2"), RecordOf(6, "b", "1") }));
  Hear(NewsOf(8, { RecordOf(6, "b", "1"), RecordOf(7, "c", "1") }));
  STRCMP_EQUAL("a=2 b=1 c=1 ", m_told.c_str());
  LONGS_EQUAL(8, m_follower->Cursor().m_next);
  m_loop.RunFor(20ms);
  CHECK(m_log.m_readFrom.empty());
}

TEST(TopicNews, WhenTheyDoNotComeAnyMoreItReadsOnByItself)
{
  Hear(NewsOf(6, { RecordOf(5, "a", "2") }));
  for (int i = 0; i < 1000 && m_log.m_readFrom.empty(); ++i) {
    m_loop.RunFor(1ms);
  }
  LONGS_EQUAL(6, m_log.m_readFrom.at(0));
}

TEST(TopicNews, AHostThatIsCutOffOrHasTooLittleIsNotReliedOn)
{
  Hear(NewsOf(6, { RecordOf(5, "a", "2") }));
  store::TopicNews away = NewsOf(6);
  away.m_readYourself = true;
  Hear(away);
  LONGS_EQUAL(1, m_log.m_readFrom.size());
}

TEST(TopicNews, OldNewsAndNewsWithAGapChangeNothing)
{
  store::TopicNews old = NewsOf(6, { RecordOf(5, "a", "2") });
  old.m_age = 200ms;
  Hear(old);
  store::TopicNews gap = NewsOf(9, { RecordOf(8, "a", "3") });
  gap.m_from = 8; // what was told before that is missing
  Hear(gap);
  STRCMP_EQUAL("", m_told.c_str());
  LONGS_EQUAL(5, m_follower->Cursor().m_next);
}

TEST(TopicNews, AnOutageThatTheOtherHostSawIsTold)
{
  Hear(NewsOf(5));
  store::TopicNews after = NewsOf(5);
  after.m_outages = 1;
  Hear(after);
  STRCMP_EQUAL("back ", m_told.c_str());
  Hear(after);
  STRCMP_EQUAL("back ", m_told.c_str());
}

TEST(TopicNews, AnotherHostsCountOfOutagesIsNoOutage)
{
  Hear(NewsOf(5));
  m_follower->OnNewsEnded();
  store::TopicNews other = NewsOf(5);
  other.m_outages = 7;
  Hear(other);
  STRCMP_EQUAL("", m_told.c_str());
}

TEST(TopicNews, APassedOnRecordIsPassedOnAgain)
{
  Hear(NewsOf(6, { RecordOf(5, "a", "2") }));
  const auto news = m_follower->NewsSince({ "t", 5 }, base::MonotonicNow());
  CHECK(news.has_value() && !news->m_readYourself);
  LONGS_EQUAL(1, news->m_records.size());
  CHECK(m_follower->NewsSince({ "t", 4 }, base::MonotonicNow())->m_readYourself);
}

// Load: the log turns some hosts away and resets or silences connections of others on the way.
// News count for most of the bound, so there is no time left for a read that is held open.
TEST(TopicNews, AfterTheyEndTheFirstReadIsNotHeldOpen)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  store::FollowOptions options;
  options.m_topic = "t";
  options.m_wait = 20s;
  options.m_waryFor = 10ms; // over by the time that news end
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  const auto follower =
    std::make_shared<store::TopicFollower>(m_loop, m_log, options, std::move(events));
  follower->Start();
  m_loop.RunFor(30ms);
  follower->OnNews(NewsOf(5, {}), base::MonotonicNow());
  follower->OnNewsEnded();
  CHECK(m_log.m_waits.back() == 0ms);
  follower->Stop();
}

TEST_GROUP(RecordTail){};

TEST(RecordTail, KeepsTheNewestAndSaysWhenTheyDoNotReach)
{
  store::RecordTail tail({ .m_records = 3, .m_passedOnBytes = 100 });
  tail.Restart(10);
  CHECK(tail.Since(10)->empty());
  CHECK_FALSE(tail.Since(9).has_value());
  for (store::Offset offset = 10; offset < 15; ++offset) {
    tail.Add(RecordOf(offset, "k", "v"));
  }
  LONGS_EQUAL(3, tail.Since(12)->size());
  LONGS_EQUAL(1, tail.Since(14)->size());
  CHECK_FALSE(tail.Since(11).has_value());
  tail.Add(RecordOf(15, "k", std::string(100, 'v')));
  CHECK_FALSE(tail.Since(15).has_value()); // too large to be passed on
  // A host that has lost the log could not read it elsewhere.
  LONGS_EQUAL(1, tail.Since(15, store::PassOn::All)->size());
}

TEST(TopicNews, AHostWhoseOwnReadsFailTellsOthersToReadByThemselves)
{
  Hear(NewsOf(6, { RecordOf(5, "a", "2") }));
  m_log.m_hang = false;
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 6, {} });
  CHECK_FALSE(m_follower->NewsSince({ "t", 6 }, base::MonotonicNow())->m_readYourself);
  m_follower->OnNewsEnded(); // reads, and fails
  CHECK(m_follower->NewsSince({ "t", 6 }, base::MonotonicNow())->m_readYourself);
  m_loop.Run(); // reads again; the fake ends the loop when it has no more answers
  CHECK_FALSE(m_follower->NewsSince({ "t", 6 }, base::MonotonicNow())->m_readYourself);
}

TEST(TopicNews, WhatTellsNothingNewIsNotPassedOn)
{
  Hear(NewsOf(9, { RecordOf(5, "a", "2"), RecordOf(6, "a", "same"), RecordOf(7, "b", "1") }));
  const auto news = m_follower->NewsSince({ "t", 5, false }, base::MonotonicNow());
  LONGS_EQUAL(2, news->m_records.size());
  STRCMP_EQUAL("b", news->m_records[1].m_key.c_str());
  LONGS_EQUAL(9, news->m_end);
  // Whoever takes these has followed the topic to its end.
  LONGS_EQUAL(9, m_follower->Cursor().m_next);
  LONGS_EQUAL(0, m_follower->NewsSince({ "t", 9, false }, base::MonotonicNow())->m_records.size());
}

TEST(TopicNews, ABusyTopicIsPassedOnAsLongAsFewRecordsTellSomething)
{
  // 2,500 heartbeats a second of 3,000 endpoints, of which a few tell something.
  constexpr store::Offset kHeartbeats = 5'000;
  std::vector<store::Record> records;
  for (store::Offset offset = 5; offset < 5 + kHeartbeats; ++offset) {
    records.push_back(RecordOf(offset, "a", offset % 100 == 0 ? "new" : "same"));
  }
  Hear(NewsOf(5 + kHeartbeats, std::move(records)));
  const auto news = m_follower->NewsSince({ "t", 5, false }, base::MonotonicNow());
  CHECK_FALSE(news->m_readYourself);
  LONGS_EQUAL(kHeartbeats / 100, news->m_records.size());
}

TEST(TopicNews, NewsFromBehindWhatIsKnownLeaveAGap)
{
  const base::TimePoint now = base::MonotonicNow();
  store::TopicNews news = NewsOf(9);
  news.m_from = 5;
  CHECK(m_follower->IsUsable(news, now, now));
  news.m_from = 6;
  CHECK_FALSE(m_follower->IsUsable(news, now, now));
}
