// Relaying a whole topic in pieces, and taking over its reads.
#include "ferrytray/store/topic_follower.hpp"

#include <string> // for to_string

#include "tests/support/fake_record_log.hpp" // for FakeRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::MakeRecord;

namespace {

/// Follows a topic of aKeys keys. @return the follower once it has read the topic
std::shared_ptr<store::TopicFollower> MakeLoadedFollower(net::Loop& aLoop,
                                                         support::FakeRecordLog& aLog,
                                                         int aKeys)
{
  store::Snapshot snapshot;
  for (int key = 0; key < aKeys; ++key) {
    snapshot.m_records.push_back(MakeRecord(
      static_cast<store::Offset>(key), "key-" + std::to_string(key), std::string(250, 'v')));
  }
  snapshot.m_end = static_cast<store::Offset>(aKeys);
  aLog.m_snapshots.push_back(std::move(snapshot));
  store::FollowOptions options;
  options.m_topic = "t";
  options.m_pause = 1h;
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  auto follower = std::make_shared<store::TopicFollower>(aLoop, aLog, options, std::move(events));
  follower->Start();
  aLoop.RunFor(1ms);
  return follower;
}

} // namespace

TEST_GROUP(TopicSnapshot)
{
  net::Loop m_loop;
  support::FakeRecordLog m_log{ m_loop };
  std::string m_keys;
  std::size_t m_listed = 0;
  std::shared_ptr<store::TopicFollower> m_follower;

  void setup() override
  {
    m_log.m_holdReads = true;
    m_log.m_onReadHeld = [] {};
    store::FollowOptions options;
    options.m_topic = "t";
    options.m_maxUpdateAge = 10s;
    store::FollowEvents events;
    events.m_onRecord = [this](const store::Record& aRecord) {
      m_keys += aRecord.m_key + " ";
      return true;
    };
    events.m_onSnapshot = [this](const std::set<std::string>& aKeys) { m_listed = aKeys.size(); };
    m_follower = std::make_shared<store::TopicFollower>(m_loop, m_log, options, std::move(events));
  }
  void teardown() override
  {
    m_follower->Stop();
  }

  /// Relays one update. @return it
  store::TopicUpdate RelayFrom(store::TopicFollower & aSource)
  {
    const base::TimePoint now = base::MonotonicNow();
    const auto update = aSource.UpdateSince(m_follower->Cursor(), now);
    m_follower->OnUpdate(*update, now);
    return *update;
  }
};

// Guards against an update that grows with the topic: it delays all other traffic of a slow link.
TEST(TopicSnapshot, IsRelayedInPiecesOfBoundedSize)
{
  for (const int keys : { 10, 100, 1000, 10'000 }) {
    const auto source = MakeLoadedFollower(m_loop, m_log, keys);
    teardown();
    setup();
    std::size_t pieces = 0;
    std::size_t bytes = 0;
    while (m_follower->Cursor().m_unread) {
      const store::TopicUpdate update = RelayFrom(*source);
      std::size_t size = 0;
      for (const store::Record& record : update.m_records) {
        size += store::RecordTail::SizeOf(record);
      }
      CHECK(size <= 64U << 10U);
      bytes += size;
      ++pieces;
    }
    LONGS_EQUAL(keys, m_listed);
    CHECK(pieces <= 2 + bytes / (63U << 10U));
    LONGS_EQUAL(keys, m_follower->Cursor().m_next);
    source->Stop();
  }
}

TEST(TopicSnapshot, ResumesAtAnotherHost)
{
  const auto first = MakeLoadedFollower(m_loop, m_log, 2000);
  const auto second = MakeLoadedFollower(m_loop, m_log, 2000);
  CHECK(RelayFrom(*first).m_hasMore);
  const std::string after = m_follower->Cursor().m_after;
  CHECK(RelayFrom(*second).m_records.front().m_key > after);
  while (m_follower->Cursor().m_unread) {
    RelayFrom(*second);
  }
  LONGS_EQUAL(2000, m_listed);
  first->Stop();
  second->Stop();
}

TEST(TopicSnapshot, IgnoresPiecesOutOfOrder)
{
  const auto source = MakeLoadedFollower(m_loop, m_log, 3000);
  const store::TopicUpdate first = RelayFrom(*source);
  const store::TopicUpdate second = RelayFrom(*source);
  const std::string after = m_follower->Cursor().m_after;
  m_follower->OnUpdate(second, base::MonotonicNow());
  STRCMP_EQUAL(after.c_str(), m_follower->Cursor().m_after.c_str());
  store::TopicUpdate descending = second;
  descending.m_after = after;
  m_follower->OnUpdate(descending, base::MonotonicNow());
  CHECK(m_follower->Cursor().m_unread);
  STRCMP_EQUAL("", m_follower->Cursor().m_after.c_str());
  STRCMP_EQUAL("", m_keys.c_str());
  source->Stop();
}

TEST(TopicSnapshot, ReplacesRecordsThatAreNoLongerKept)
{
  const auto source = MakeLoadedFollower(m_loop, m_log, 10);
  RelayFrom(*source);
  m_keys.clear();
  store::TopicUpdate update;
  update.m_topic = "t";
  update.m_from = 10;
  for (store::Offset offset = 10; offset < 4010; ++offset) {
    update.m_records.push_back(MakeRecord(offset, "key-0", std::string(250, 'w')));
  }
  update.m_end = 4010;
  source->OnUpdate(update, base::MonotonicNow());
  CHECK(RelayFrom(*source).m_isSnapshot);
  STRCMP_EQUAL("key-0 ", m_keys.c_str());
  LONGS_EQUAL(4010, m_follower->Cursor().m_next);
  source->Stop();
}

// A bounded update does not show that nothing newer exists.
TEST(TopicSnapshot, AnIncompleteUpdateIsNoContactWithTheLog)
{
  const auto source = MakeLoadedFollower(m_loop, m_log, 10);
  RelayFrom(*source);
  m_loop.RunFor(30ms);
  store::TopicUpdate update;
  update.m_topic = "t";
  update.m_from = 10;
  update.m_records = { MakeRecord(10, "key-0", "w") };
  update.m_end = 11;
  update.m_hasMore = true;
  m_follower->OnUpdate(update, base::MonotonicNow());
  LONGS_EQUAL(11, m_follower->Cursor().m_next);
  CHECK(m_follower->UpdateSince({ "t", 11 }, base::MonotonicNow())->m_age >= 30ms);
  source->Stop();
}

// All hosts that follow a reader lose it at the same time. If each of them read the log at once,
// the log would serve none of them.
TEST(TopicSnapshot, ALaterUpdateCancelsTheTakeover)
{
  const auto source = MakeLoadedFollower(m_loop, m_log, 10);
  store::FollowOptions options;
  options.m_topic = "t";
  options.m_maxUpdateAge = 10s;
  options.m_maxTakeoverDelay = 1h;
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  std::vector<std::shared_ptr<store::TopicFollower>> followers;
  for (int i = 0; i < 1000; ++i) {
    followers.push_back(std::make_shared<store::TopicFollower>(m_loop, m_log, options, events));
    const base::TimePoint now = base::MonotonicNow();
    followers.back()->OnUpdate(*source->UpdateSince(followers.back()->Cursor(), now), now);
    followers.back()->OnRelayEnded();
  }
  m_loop.RunFor(1ms);
  CHECK(m_log.m_readFrom.size() < 10);
  for (const auto& follower : followers) {
    const base::TimePoint now = base::MonotonicNow();
    follower->OnUpdate(*source->UpdateSince(follower->Cursor(), now), now);
    CHECK(follower->IsRelayed());
    follower->Stop();
  }
  source->Stop();
}

TEST(TopicSnapshot, DoesNotReadTheLogUntilTheTakeoverIsAllowed)
{
  const auto source = MakeLoadedFollower(m_loop, m_log, 10);
  store::FollowOptions options;
  options.m_topic = "t";
  options.m_maxUpdateAge = 10s;
  options.m_takeoverCheckInterval = 1ms;
  store::FollowEvents events;
  events.m_onRecord = [](const store::Record&) { return true; };
  const auto follower = std::make_shared<store::TopicFollower>(m_loop, m_log, options, events);
  follower->AllowTakeover(false);
  const base::TimePoint now = base::MonotonicNow();
  follower->OnUpdate(*source->UpdateSince(follower->Cursor(), now), now);
  CHECK_FALSE(follower->IsOverdue());
  follower->OnRelayEnded();
  const std::size_t reads = m_log.m_readFrom.size();
  m_loop.RunFor(20ms);
  CHECK(follower->IsOverdue());
  LONGS_EQUAL(reads, m_log.m_readFrom.size());
  follower->AllowTakeover(true);
  for (int i = 0; i < 1000 && m_log.m_readFrom.size() == reads; ++i) {
    m_loop.RunFor(1ms);
  }
  LONGS_EQUAL(reads + 1, m_log.m_readFrom.size());
  follower->Stop();
  source->Stop();
}
