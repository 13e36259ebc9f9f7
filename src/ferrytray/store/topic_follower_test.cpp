#include "ferrytray/store/topic_follower.hpp"

#include "tests/support/fake_record_log.hpp" // for FakeRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(TopicFollower)
{
  net::Loop m_loop;
  support::FakeRecordLog m_log{ m_loop };
  std::string m_events;
  std::shared_ptr<store::TopicFollower> m_follower;
  store::FollowOptions m_options;
  net::TimerHandle m_lateReplyTimer;

  void setup() override
  {
    m_options.m_pause = {};
    m_options.m_wait = 20s;
    m_options.m_retryMin = m_options.m_retryMax = 1ms;
  }

  void Follow()
  {
    store::FollowEvents events;
    events.m_onRecord = [this](const store::Record& aRecord) {
      m_events += aRecord.m_key + (aRecord.m_removed ? "-" : "=" + aRecord.m_value) + " ";
      return true;
    };
    events.m_onSnapshot = [this](const std::set<std::string>& aKeys) {
      m_events += "snapshot" + std::to_string(aKeys.size()) + " ";
    };
    events.m_onContact = [this](bool aRecovered, base::TimePoint) {
      m_events += aRecovered ? "back " : "";
    };
    events.m_onOutageEnd = [this](const std::optional<store::LogOutage>&) {
      m_events += "outage ";
    };
    events.m_onUnreachable = [this](const base::Failure&) { m_events += "away "; };
    events.m_onSlow = [this](base::Duration) { m_events += "slow "; };
    m_follower =
      std::make_shared<store::TopicFollower>(m_loop, m_log, m_options, std::move(events));
    m_follower->Start();
    m_loop.Run();
    m_follower->Stop();
  }
};

TEST(TopicFollower, DeliversTheSnapshotThenEachRecordOnce)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { support::MakeRecord(3, "a", "1") } });
  m_log.m_batches.push_back(
    store::Batch{ 7, { support::MakeRecord(5, "a", "2"), support::MakeRecord(6, "a", "") } });
  Follow();
  STRCMP_EQUAL("a=1 snapshot1 a=2 a- ", m_events.c_str());
  LONGS_EQUAL(7, m_log.m_readFrom.back());
}

TEST(TopicFollower, RereadsATruncatedTopicWithoutDeliveringOlderRecords)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { support::MakeRecord(3, "a", "1") } });
  m_log.m_batches.push_back(store::Batch{ 6, { support::MakeRecord(5, "a", "2") } });
  store::Batch gone;
  gone.m_truncated = true;
  m_log.m_batches.push_back(gone);
  m_log.m_snapshots.push_back(
    store::Snapshot{ 9, { support::MakeRecord(3, "a", "1"), support::MakeRecord(8, "b", "1") } });
  Follow();
  STRCMP_EQUAL("a=1 snapshot1 a=2 b=1 snapshot2 ", m_events.c_str());
  LONGS_EQUAL(9, m_log.m_readFrom.back());
}

TEST(TopicFollower, ReportsAnOutageOnceAndResumesAtTheSameOffset)
{
  m_log.m_snapshots.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 6, { support::MakeRecord(5, "a", "1") } });
  Follow();
  STRCMP_EQUAL("away back snapshot0 away back a=1 ", m_events.c_str());
}

TEST(TopicFollower, HoldsReadsOpenBrieflyAfterAnOutage)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  CHECK(m_log.m_waits.front() == 800ms); // also after the start
  CHECK(m_log.m_waits.back() == 800ms);
}

TEST(TopicFollower, HoldsReadsOpenForTheFullWaitOtherwise)
{
  m_options.m_shortWaitPeriod = {};
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  CHECK(m_log.m_waits.front() == 20s);
  CHECK(m_log.m_waits.back() == 20s);
}

TEST(TopicFollower, ReportsASlowRead)
{
  m_options.m_wait = {};
  m_options.m_slowThreshold = 1ms;
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_holdReads = true;
  m_log.m_onReadHeld = [this] {
    m_log.m_holdReads = false;
    m_lateReplyTimer = m_loop.After(5ms, [this] { m_log.m_heldRead(store::Batch{ 5, {} }); });
  };
  Follow();
  STRCMP_EQUAL("snapshot0 slow ", m_events.c_str());
}

TEST(TopicFollower, DropsTheLateReplyOfARestartedRead)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(store::Batch{ 6, { support::MakeRecord(5, "a", "new") } });
  m_log.m_holdReads = true;
  m_log.m_onReadHeld = [this] {
    m_log.m_holdReads = false;
    m_loop.Post([this] {
      m_follower->RestartRead();
      m_log.m_heldRead(store::Batch{ 6, { support::MakeRecord(5, "a", "late") } });
    });
  };
  Follow();
  STRCMP_EQUAL("snapshot0 a=new ", m_events.c_str());
  CHECK(m_log.m_waits[1] == 0ms);
}

// Guards against hosts that fall behind while the log leaves held reads unanswered: the next read
// used to be held open again. Now it is not, and only its failure counts as an outage.
TEST(TopicFollower, DoesNotHoldOpenTheReadAfterAFailedHeldRead)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "no answer"));
  m_log.m_batches.push_back(store::Batch{ 6, { support::MakeRecord(5, "a", "1") } });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "no answer"));
  m_log.m_batches.push_back(store::Batch{ 7, { support::MakeRecord(6, "a", "2") } });
  Follow();
  STRCMP_EQUAL("snapshot0 a=1 a=2 ", m_events.c_str());
  LONGS_EQUAL(5, m_log.m_waits.size());
  CHECK(m_log.m_waits[0] > 0ms);
  CHECK(m_log.m_waits[1] == 0ms);
  CHECK(m_log.m_waits[2] > 0ms);
  CHECK(m_log.m_waits[3] == 0ms);
  CHECK(m_log.m_waits[4] > 0ms);
}

TEST(TopicFollower, HoldsNoReadOpenDuringAnOutage)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  for (int i = 0; i < 4; ++i) {
    m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  }
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  STRCMP_EQUAL("snapshot0 away back ", m_events.c_str());
  for (std::size_t i = 1; i <= 4; ++i) {
    CHECK(m_log.m_waits[i] == 0ms);
  }
  CHECK(m_log.m_waits[5] > 0ms);
}

TEST(TopicFollower, GapBetweenAnswersIsAnOutageBeforeItsRecords)
{
  m_options.m_retryMin = m_options.m_retryMax = 30ms;
  m_options.m_minOutage = 80ms;
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  for (int i = 0; i < 4; ++i) {
    m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  }
  // The first answer after the outage does not reach the end of the topic.
  m_log.m_batches.push_back(store::Batch{ 7, { support::MakeRecord(5, "a", "") } });
  m_log.m_batches.push_back(store::Batch{ 7, { support::MakeRecord(6, "b", "") } });
  Follow();
  STRCMP_EQUAL("snapshot0 away outage back a- b- ", m_events.c_str());
}

TEST(TopicFollower, FailedReadIsNoOutage)
{
  m_options.m_minOutage = 10s;
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  for (int i = 0; i < 3; ++i) {
    m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "reset"));
  }
  m_log.m_batches.push_back(store::Batch{ 6, { support::MakeRecord(5, "a", "") } });
  Follow();
  STRCMP_EQUAL("snapshot0 away back a- ", m_events.c_str());
}
