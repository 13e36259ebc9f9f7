#include "ferrytray/store/topic_follower.hpp"

#include <deque>      // for deque
#include <functional> // for function
#include <utility>    // for move
#include <vector>     // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

/// Answers are queued beforehand; when they run out the loop stops.
class FakeLog final : public store::RecordLog
{
public:
  explicit FakeLog(net::Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  void ReadSnapshot(const std::string&, store::Done<store::Snapshot> aDone) override
  {
    Answer(m_snapshots, aDone);
  }
  void Read(const std::string&,
            store::Offset aFrom,
            base::Duration aWait,
            base::Duration,
            store::Done<store::Batch> aDone) override
  {
    m_readFrom.push_back(aFrom);
    m_waits.push_back(aWait);
    if (m_hang) {
      m_hung = std::move(aDone);
      m_onHung();
      return;
    }
    Answer(m_batches, aDone);
  }
  void Append(const std::string&,
              std::string_view,
              store::Offset,
              store::Done<store::AppendResult>) override
  {
  }
  void AppendKeyed(const std::string&,
                   std::string_view,
                   std::string_view,
                   store::Done<store::AppendResult>) override
  {
  }

  std::deque<base::Result<store::Snapshot>> m_snapshots;
  std::deque<base::Result<store::Batch>> m_batches;
  std::vector<store::Offset> m_readFrom;
  std::vector<base::Duration> m_waits;
  bool m_hang = false; ///< the next reads are not answered
  store::Done<store::Batch> m_hung;
  std::function<void()> m_onHung;

private:
  template<typename T>
  void Answer(std::deque<base::Result<T>>& aAnswers, const store::Done<T>& aDone)
  {
    if (aAnswers.empty()) {
      m_loop.Stop();
      return;
    }
    base::Result<T> answer = std::move(aAnswers.front());
    aAnswers.pop_front();
    aDone(std::move(answer));
  }

  net::Loop& m_loop;
};

store::Record RecordOf(store::Offset aOffset, const std::string& aKey, const std::string& aValue)
{
  return { aOffset, aKey, aValue, aValue.empty() };
}

} // namespace

TEST_GROUP(TopicFollower)
{
  net::Loop m_loop;
  FakeLog m_log{ m_loop };
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
    };
    events.m_onSnapshot = [this](const std::set<std::string>& aKeys) {
      m_told += "snapshot" + std::to_string(aKeys.size()) + " ";
    };
    events.m_onContact = [this](bool aWasAway) { m_told += aWasAway ? "back " : ""; };
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
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { RecordOf(3, "a", "1") } });
  m_log.m_batches.push_back(store::Batch{ 7, { RecordOf(5, "a", "2"), RecordOf(6, "a", "") } });
  Follow();
  STRCMP_EQUAL("a=1 snapshot1 a=2 a- ", m_told.c_str());
  LONGS_EQUAL(7, m_log.m_readFrom.back());
}

TEST(TopicFollower, LostHistoryIsReadAnewAndAnOlderRecordNeverComesAgain)
{
  m_log.m_snapshots.push_back(store::Snapshot{ 5, { RecordOf(3, "a", "1") } });
  m_log.m_batches.push_back(store::Batch{ 6, { RecordOf(5, "a", "2") } });
  store::Batch gone;
  gone.m_historyGone = true;
  m_log.m_batches.push_back(gone);
  m_log.m_snapshots.push_back(
    store::Snapshot{ 9, { RecordOf(3, "a", "1"), RecordOf(8, "b", "1") } });
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
  m_log.m_batches.push_back(store::Batch{ 6, { RecordOf(5, "a", "1") } });
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
  m_log.m_batches.push_back(store::Batch{ 6, { RecordOf(5, "a", "new") } });
  m_log.m_hang = true;
  m_log.m_onHung = [this] {
    m_log.m_hang = false;
    m_loop.Post([this] {
      m_follower->Renew();
      m_log.m_hung(store::Batch{ 6, { RecordOf(5, "a", "late") } });
    });
  };
  Follow();
  STRCMP_EQUAL("snapshot0 a=new ", m_told.c_str());
  CHECK(m_log.m_waits[1] == 800ms);
}
