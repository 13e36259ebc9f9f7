// Following a topic through another host.
#include "ferrytray/store/topic_follower.hpp"

#include "tests/support/fake_record_log.hpp" // for FakeRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::MakeRecord;

namespace {

constexpr base::Duration kMinOutage = 200ms;

store::TopicUpdate MakeUpdate(store::Offset aEnd, std::vector<store::Record> aRecords = {})
{
  store::TopicUpdate update;
  update.m_topic = "t";
  update.m_end = aEnd;
  update.m_records = std::move(aRecords);
  return update;
}

} // namespace

TEST_GROUP(TopicUpdate)
{
  net::Loop m_loop;
  support::FakeRecordLog m_log{ m_loop };
  std::shared_ptr<store::TopicFollower> m_follower;
  std::string m_events;

  void setup() override
  {
    m_log.m_snapshots.push_back(store::Snapshot{ 5, { MakeRecord(3, "a", "1") } });
    m_log.m_holdReads = true; // the log answers no reads of this host
    m_log.m_onReadHeld = [] {};
    store::FollowOptions options;
    options.m_topic = "t";
    options.m_pause = 1h;
    options.m_maxUpdateAge = 100ms;
    options.m_minOutage = kMinOutage;
    store::FollowEvents events;
    events.m_onRecord = [this](const store::Record& aRecord) {
      m_events += aRecord.m_key + "=" + aRecord.m_value + " ";
      return aRecord.m_value != "same";
    };
    events.m_onOutageEnd = [this](const std::optional<store::LogOutage>& aOutage) {
      m_events += aOutage ? "outage " : "no-outage ";
    };
    events.m_onContact = [this](bool aRecovered, base::TimePoint) {
      m_events += aRecovered ? "back " : "";
    };
    m_follower = std::make_shared<store::TopicFollower>(m_loop, m_log, options, events);
    m_follower->Start();
    m_loop.RunFor(1ms);
    m_events.clear();
  }
  void teardown() override
  {
    m_follower->Stop();
  }

  void Receive(const store::TopicUpdate& aUpdate)
  {
    m_follower->OnUpdate(aUpdate, base::MonotonicNow());
  }
};

TEST(TopicUpdate, RelayedRecordsAreDeliveredOnceWithoutReadingTheLog)
{
  Receive(MakeUpdate(7, { MakeRecord(5, "a", "2"), MakeRecord(6, "b", "1") }));
  Receive(MakeUpdate(8, { MakeRecord(6, "b", "1"), MakeRecord(7, "c", "1") }));
  STRCMP_EQUAL("a=2 b=1 c=1 ", m_events.c_str());
  LONGS_EQUAL(8, m_follower->Cursor().m_next);
  m_loop.RunFor(20ms);
  CHECK(m_log.m_readFrom.empty());
}

TEST(TopicUpdate, ReadsTheLogWhenUpdatesStop)
{
  Receive(MakeUpdate(6, { MakeRecord(5, "a", "2") }));
  for (int i = 0; i < 1000 && m_log.m_readFrom.empty(); ++i) {
    m_loop.RunFor(1ms);
  }
  LONGS_EQUAL(6, m_log.m_readFrom.at(0));
}

TEST(TopicUpdate, ReadsTheLogIfTheOtherHostIsUnavailable)
{
  Receive(MakeUpdate(6, { MakeRecord(5, "a", "2") }));
  store::TopicUpdate unavailable = MakeUpdate(6);
  unavailable.m_unavailable = true;
  Receive(unavailable);
  LONGS_EQUAL(1, m_log.m_readFrom.size());
}

TEST(TopicUpdate, IgnoresOldUpdatesAndUpdatesWithAGap)
{
  store::TopicUpdate old = MakeUpdate(6, { MakeRecord(5, "a", "2") });
  old.m_age = 200ms;
  Receive(old);
  store::TopicUpdate gap = MakeUpdate(9, { MakeRecord(8, "a", "3") });
  gap.m_from = 8; // the records before that are missing
  Receive(gap);
  STRCMP_EQUAL("", m_events.c_str());
  LONGS_EQUAL(5, m_follower->Cursor().m_next);
}

TEST(TopicUpdate, ReportsOutageOfTheLogOnce)
{
  Receive(MakeUpdate(5));
  m_loop.RunFor(kMinOutage + 20ms);
  store::TopicUpdate after = MakeUpdate(6, { MakeRecord(5, "a", "2") });
  after.m_contactBeginAge = 5ms; // the other host has reached the log again just now
  Receive(after);
  STRCMP_EQUAL("outage a=2 ", m_events.c_str());
  Receive(after);
  STRCMP_EQUAL("outage a=2 ", m_events.c_str());
}

// Guards against removed endpoints that stay usable after another host's own reads failed.
TEST(TopicUpdate, FailedReadsOfAnotherHostAreNoOutage)
{
  for (const base::Duration age : { 150ms, 0ms, 180ms, 10ms, 190ms, 0ms }) {
    store::TopicUpdate update = MakeUpdate(5);
    update.m_unavailable = age > 0ms;
    update.m_contactBeginAge = update.m_contactEndAge = age;
    Receive(update);
  }
  STRCMP_EQUAL("", m_events.c_str());
}

TEST(TopicUpdate, SwitchingToAnotherHostIsNoOutage)
{
  for (const base::Duration begin : std::vector<base::Duration>{ 10s, 0s, 5s, 0s, 1h }) {
    store::TopicUpdate other = MakeUpdate(5);
    other.m_contactBeginAge = begin; // of a host that has just started or runs for long
    Receive(other);
    m_follower->OnRelayEnded();
  }
  STRCMP_EQUAL("", m_events.c_str());
}

TEST(TopicUpdate, UninterruptedContactOfAnotherHostRefutesOutage)
{
  Receive(MakeUpdate(5));
  m_loop.RunFor(kMinOutage + 20ms);
  Receive(MakeUpdate(5));
  store::TopicUpdate other = MakeUpdate(5);
  other.m_contactBeginAge = 1s;
  Receive(other);
  STRCMP_EQUAL("outage no-outage ", m_events.c_str());
}

// The source ended before it could report the outage; the one that replaces it started after it.
TEST(TopicUpdate, OutageIsDetectedIfTheSourceWasReplaced)
{
  Receive(MakeUpdate(5));
  m_follower->OnRelayEnded();
  m_loop.RunFor(kMinOutage + 20ms);
  store::TopicUpdate other = MakeUpdate(5);
  other.m_contactBeginAge = 1ms;
  Receive(other);
  STRCMP_EQUAL("outage ", m_events.c_str());
}

TEST(TopicUpdate, RelaysItsContactPeriod)
{
  store::TopicUpdate received = MakeUpdate(5);
  received.m_contactBeginAge = 10s;
  Receive(received);
  const auto relayed = m_follower->UpdateSince({ "t", 5 }, base::MonotonicNow());
  CHECK(relayed->m_contactBeginAge >= 10s);
  CHECK(relayed->m_contactEndAge < kMinOutage);
}

TEST(TopicUpdate, RelayedRecordsAreRelayedAgain)
{
  Receive(MakeUpdate(6, { MakeRecord(5, "a", "2") }));
  const auto update = m_follower->UpdateSince({ "t", 5 }, base::MonotonicNow());
  CHECK(update.has_value() && !update->m_unavailable);
  LONGS_EQUAL(1, update->m_records.size());
  CHECK(m_follower->UpdateSince({ "t", 4 }, base::MonotonicNow())->m_isSnapshot);
}

// Guards against late records under load, when the log rejects some hosts and connections of others
// are reset or silently dropped. Updates are trusted for most of the bound on the delay, so no time
// is left for a held read.
TEST(TopicUpdate, TheFirstReadAfterUpdatesEndIsNotHeldOpen)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  store::FollowOptions options;
  options.m_topic = "t";
  options.m_wait = 20s;
  options.m_shortWaitPeriod = 10ms; // over by the time that updates end
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  const auto follower =
    std::make_shared<store::TopicFollower>(m_loop, m_log, options, std::move(events));
  follower->Start();
  m_loop.RunFor(30ms);
  follower->OnUpdate(MakeUpdate(5, {}), base::MonotonicNow());
  follower->OnRelayEnded();
  CHECK(m_log.m_waits.back() == 0ms);
  follower->Stop();
}

TEST_GROUP(RecordTail){};

TEST(RecordTail, KeepsTheNewestRecordsAndReportsMissingOnes)
{
  const std::size_t size = store::RecordTail::SizeOf(MakeRecord(0, "k", "v"));
  store::RecordTail tail({ .m_maxBytes = 3 * size, .m_maxRelayBytes = 2 * size });
  tail.Restart(10);
  CHECK(tail.Since(10)->m_records.empty());
  CHECK_FALSE(tail.Since(9).has_value());
  for (store::Offset offset = 10; offset < 15; ++offset) {
    tail.Add(MakeRecord(offset, "k", "v"));
  }
  LONGS_EQUAL(1, tail.Since(14)->m_records.size());
  CHECK_FALSE(tail.Since(11).has_value());
  const auto first = tail.Since(12);
  LONGS_EQUAL(2, first->m_records.size());
  CHECK(first->m_hasMore && first->m_end == 14);
  const auto second = tail.Since(first->m_end);
  LONGS_EQUAL(1, second->m_records.size());
  CHECK(!second->m_hasMore && second->m_end == 15);
}

TEST(RecordTail, ReturnsARecordAboveTheLimitAlone)
{
  const std::size_t size = store::RecordTail::SizeOf(MakeRecord(0, "k", "v"));
  store::RecordTail tail({ .m_maxBytes = 4 * size, .m_maxRelayBytes = size });
  tail.Restart(0);
  tail.Add(MakeRecord(0, "k", std::string(100, 'v')));
  tail.Add(MakeRecord(1, "k", "v"));
  const auto large = tail.Since(0);
  LONGS_EQUAL(1, large->m_records.size());
  CHECK(large->m_hasMore && large->m_end == 1);
}

TEST(TopicUpdate, UpdatesAreUnavailableWhileOwnReadsFail)
{
  Receive(MakeUpdate(6, { MakeRecord(5, "a", "2") }));
  m_log.m_holdReads = false;
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 6, {} });
  CHECK_FALSE(m_follower->UpdateSince({ "t", 6 }, base::MonotonicNow())->m_unavailable);
  m_follower->OnRelayEnded(); // reads the log, which fails
  CHECK(m_follower->UpdateSince({ "t", 6 }, base::MonotonicNow())->m_unavailable);
  m_loop.Run(); // reads again; the fake stops the loop when it has no more replies
  CHECK_FALSE(m_follower->UpdateSince({ "t", 6 }, base::MonotonicNow())->m_unavailable);
}

TEST(TopicUpdate, RecordsWithoutNewContentAreNotRelayed)
{
  Receive(MakeUpdate(
    9, { MakeRecord(5, "a", "2"), MakeRecord(6, "a", "same"), MakeRecord(7, "b", "1") }));
  const auto update = m_follower->UpdateSince({ "t", 5, false }, base::MonotonicNow());
  LONGS_EQUAL(2, update->m_records.size());
  STRCMP_EQUAL("b", update->m_records[1].m_key.c_str());
  LONGS_EQUAL(9, update->m_end);
  // The cursor moves to the end of the topic nevertheless.
  LONGS_EQUAL(9, m_follower->Cursor().m_next);
  LONGS_EQUAL(0,
              m_follower->UpdateSince({ "t", 9, false }, base::MonotonicNow())->m_records.size());
}

TEST(TopicUpdate, ABusyTopicIsRelayedIfFewRecordsHaveNewContent)
{
  // 2,500 heartbeats a second of 3,000 endpoints, of which a few carry something new.
  constexpr store::Offset kHeartbeats = 5'000;
  std::vector<store::Record> records;
  for (store::Offset offset = 5; offset < 5 + kHeartbeats; ++offset) {
    records.push_back(MakeRecord(offset, "a", offset % 100 == 0 ? "new" : "same"));
  }
  Receive(MakeUpdate(5 + kHeartbeats, std::move(records)));
  const auto update = m_follower->UpdateSince({ "t", 5, false }, base::MonotonicNow());
  CHECK_FALSE(update->m_unavailable);
  LONGS_EQUAL(kHeartbeats / 100, update->m_records.size());
}

TEST(TopicUpdate, AnUpdateThatStartsAfterTheCursorIsNotUsable)
{
  const base::TimePoint now = base::MonotonicNow();
  store::TopicUpdate update = MakeUpdate(9);
  update.m_from = 5;
  CHECK(m_follower->IsUsable(update, now, now));
  update.m_from = 6;
  CHECK_FALSE(m_follower->IsUsable(update, now, now));
}
