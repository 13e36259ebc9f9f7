#include "ferrytray/store/topic_follower.hpp"

#include "tests/support/fake_record_log.hpp" // for FakeRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(TopicFollower)
{
  net::Loop m_loop;
  support::FakeRecordLog m_log{ m_loop };
  std::string m_told;
  std::shared_ptr<store::TopicFollower> m_follower;
  store::FollowOptions m_options;
  net::TimerHandle m_late;

  void setup() override
  {
    m_options.m_pause = {};
    m_options.m_wait = 20s;
    m_options.m_retryFirst = m_options.m_retryMost = 1ms;
  }

  void Follow()
  {
    store::FollowEvents events;
    events.m_onRecord = [this](const store::Record& aRecord) {
      m_told += aRecord.m_key + (aRecord.m_removed ? "-" : "=" + aRecord.m_value) + " ";
      return true;
    };
    events.m_onSnapshot = [this](const std::set<std::string>& aKeys) {
      m_told += "snapshot" + std::to_string(aKeys.size()) + " ";
    };
    events.m_onContact = [this](bool aWasAway, base::TimePoint) {
      m_told += aWasAway ? "back " : "";
    };
    events.m_onAway = [this](const base::Failure&) { m_told += "away "; };
    events.m_onSlow = [this](base::Duration) { m_told += "slow "; };
    m_follower =
      std::make_shared<store::TopicFollower>(m_loop, m_log, m_options, std::move(events));
    m_follower->Start();
    m_loop.Run();
    m_follower->Stop();
  }
};

TEST(TopicFollower, ReadsTheNewestThenEachRecordOnce)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { support::RecordOf(3, "a", "1") } });
  m_log.m_batches.push_back(
    store::Batch{ 7, { support::RecordOf(5, "a", "2"), support::RecordOf(6, "a", "") } });
  Follow();
  STRCMP_EQUAL("a=1 snapshot1 a=2 a- ", m_told.c_str());
  LONGS_EQUAL(7, m_log.m_readFrom.back());
}

TEST(TopicFollower, LostHistoryIsReadAnewAndAnOlderRecordNeverComesAgain)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { support::RecordOf(3, "a", "1") } });
  m_log.m_batches.push_back(store::Batch{ 6, { support::RecordOf(5, "a", "2") } });
  store::Batch gone;
  gone.m_historyGone = true;
  m_log.m_batches.push_back(gone);
  m_log.m_snapshots.push_back(
    store::Snapshot{ 9, { support::RecordOf(3, "a", "1"), support::RecordOf(8, "b", "1") } });
  Follow();
  STRCMP_EQUAL("a=1 snapshot1 a=2 b=1 snapshot2 ", m_told.c_str());
  LONGS_EQUAL(9, m_log.m_readFrom.back());
}

TEST(TopicFollower, FailuresAreToldOnceAndFollowingGoesOnWhereItWas)
{
  m_log.m_snapshots.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 6, { support::RecordOf(5, "a", "1") } });
  Follow();
  STRCMP_EQUAL("away back snapshot0 away back a=1 ", m_told.c_str());
}

TEST(TopicFollower, AfterAnOutageReadsAreHeldOpenShortlyForAWhile)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  CHECK(m_log.m_waits.front() == 800ms); // and after the start
  CHECK(m_log.m_waits.back() == 800ms);
}

TEST(TopicFollower, WithoutSignsOfTroubleReadsAreHeldOpenForLong)
{
  m_options.m_waryFor = {};
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  CHECK(m_log.m_waits.front() == 20s);
  CHECK(m_log.m_waits.back() == 20s);
}

TEST(TopicFollower, ASlowReadIsTold)
{
  m_options.m_wait = {};
  m_options.m_slowAfter = 1ms;
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_hang = true;
  m_log.m_onHung = [this] {
    m_log.m_hang = false;
    m_late = m_loop.After(5ms, [this] { m_log.m_hung(store::Batch{ 5, {} }); });
  };
  Follow();
  STRCMP_EQUAL("snapshot0 slow ", m_told.c_str());
}

TEST(TopicFollower, AReadThatNobodyAnswersIsRenewedAndItsLateAnswerDropped)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(store::Batch{ 6, { support::RecordOf(5, "a", "new") } });
  m_log.m_hang = true;
  m_log.m_onHung = [this] {
    m_log.m_hang = false;
    m_loop.Post([this] {
      m_follower->Renew();
      m_log.m_hung(store::Batch{ 6, { support::RecordOf(5, "a", "late") } });
    });
  };
  Follow();
  STRCMP_EQUAL("snapshot0 a=new ", m_told.c_str());
  CHECK(m_log.m_waits[1] == 0ms);
}

// Seen: a log that answered no held read for a while, and hosts that were behind for as long as it
// lasted, since the next read was held open again. So one unanswered read says nothing of the log:
// the next one asks for what is there, and only its failure counts as an outage.
TEST(TopicFollower, AfterAHeldReadThatWasNotAnsweredTheNextOneIsNotHeldOpen)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "no answer"));
  m_log.m_batches.push_back(store::Batch{ 6, { support::RecordOf(5, "a", "1") } });
  m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "no answer"));
  m_log.m_batches.push_back(store::Batch{ 7, { support::RecordOf(6, "a", "2") } });
  Follow();
  STRCMP_EQUAL("snapshot0 a=1 a=2 ", m_told.c_str());
  LONGS_EQUAL(5, m_log.m_waits.size());
  CHECK(m_log.m_waits[0] > 0ms);
  CHECK(m_log.m_waits[1] == 0ms);
  CHECK(m_log.m_waits[2] > 0ms);
  CHECK(m_log.m_waits[3] == 0ms);
  CHECK(m_log.m_waits[4] > 0ms);
}

TEST(TopicFollower, DuringAnOutageNoReadIsHeldOpen)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, {} });
  for (int i = 0; i < 4; ++i) {
    m_log.m_batches.push_back(base::Fail(base::ErrorCode::PlatformUnavailable, "down"));
  }
  m_log.m_batches.push_back(store::Batch{ 5, {} });
  Follow();
  STRCMP_EQUAL("snapshot0 away back ", m_told.c_str());
  for (std::size_t i = 1; i <= 4; ++i) {
    CHECK(m_log.m_waits[i] == 0ms);
  }
  CHECK(m_log.m_waits[5] > 0ms);
}
