// Topics that readers relay to other hosts.
#include <array>  // for array
#include <vector> // for vector

#include "tests/support/news_fixture.hpp" // for PeerExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::PeerHost;

TEST_GROUP_BASE(PeerTopics, support::PeerExchangeFixture){};

TEST(PeerTopics, AFollowerReceivesTheFullTopicWithoutReadingTheLog)
{
  m_reader->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("t", "b", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("t", "a", "2", [](const auto&) {});
  std::string readerKeys;
  std::string followerKeys;
  const auto readerTopic = AddFollower(*m_reader, readerKeys);
  const auto followerTopic = AddFollower(*m_follower, followerKeys);
  CHECK(RunUntil([&] { return !followerKeys.empty(); }));
  STRCMP_EQUAL("ba", followerKeys.c_str()); // in the order of the newest records
  LONGS_EQUAL(0, m_follower->m_log.m_readsByTopic["t"]);
  m_reader->m_log.AppendKeyed("t", "c", "1", [](const auto&) {});
  CHECK(RunUntil([&] { return followerKeys == "bac"; }));
  readerTopic->Stop();
  followerTopic->Stop();
}

TEST(PeerTopics, ATopicThatNoReaderRelaysIsReadDirectly)
{
  m_follower->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  std::string keys;
  const auto topic = AddFollower(*m_follower, keys); // the reader does not follow this topic
  CHECK(RunUntil([&] { return keys == "a"; }));
  topic->Stop();
}

TEST(PeerTopics, RecordsReachAFollowerThatCannotReachTheLog)
{
  std::string readerKeys;
  std::string followerKeys;
  const auto readerTopic = AddFollower(*m_reader, readerKeys);
  const auto followerTopic = AddFollower(*m_follower, followerKeys);
  readerTopic->Start();
  followerTopic->Start();
  m_reader->m_localLoads = { { 1, 5 } };
  CHECK(RunUntil([&] { return m_follower->m_peerLoads.RemoteLoad(1) == 5; }));
  m_follower->m_log.m_down = true;
  m_reader->m_log.AppendKeyed("t", "k", "v", [](const auto&) {});
  CHECK(RunUntil([&] { return followerKeys == "k"; }));
  STRCMP_EQUAL("k", readerKeys.c_str());
  readerTopic->Stop();
  followerTopic->Stop();
}

// Guards against a follower that takes an old configuration for the newest: a reader used to report
// the age of its latest contact with the log for any topic.
TEST(PeerTopics, RecordAgeIsTrackedPerTopic)
{
  m_reader->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("quiet", "b", "1", [](const auto&) {});
  m_reader->m_log.m_unansweredTopic = "quiet";
  std::string keys;
  const auto live = AddFollower(*m_reader, keys);
  const auto quiet = AddFollowerTo(m_reader->m_exchange, m_reader->m_log, keys, "quiet");
  live->Start();
  quiet->Start();
  STRCMP_EQUAL("ab", keys.c_str());
  m_loop.RunFor(300ms);
  const base::TimePoint now = base::MonotonicNow();
  store::TopicCursor cursor{ "quiet", 1, false };
  CHECK(quiet->UpdateSince(cursor, now)->m_age >= 300ms);
  peers::SyncRequest syncRequest;
  syncRequest.m_topics = { { "t", 1, false }, cursor };
  const peers::SyncReply reply = SendToReader(syncRequest);
  LONGS_EQUAL(2, reply.m_topics.size());
  CHECK(reply.m_topics[1].m_age >= 300ms);
  live->Stop();
  quiet->Stop();
}

// The log rejects some hosts, among them the reader that others follow, and serves the rest.
TEST(PeerTopics, AFallbackReaderServesHostsWhoseReaderLostTheLog)
{
  const auto make = [&](const char* aName, std::uint32_t aCapacity, const char* aZone) {
    return std::make_unique<PeerHost>(m_loop, *m_client, aName, aCapacity, aZone, 2);
  };
  std::vector<std::unique_ptr<PeerHost>> hosts;
  hosts.push_back(make("near", 9, "here"));
  hosts.push_back(make("follower", 1, "here"));
  hosts.push_back(make("far", 9, "there"));
  std::vector<store::Record> records;
  for (const auto& host : hosts) {
    CHECK(host->m_exchange.Start().has_value());
    records.push_back(host->m_log.m_topics["hosts"].front());
    records.back().m_offset = records.size() - 1;
  }
  std::array<std::string, 3> keys;
  std::vector<std::shared_ptr<store::TopicFollower>> topics;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i]->m_log.m_topics["hosts"] = records;
    store::FollowOptions options;
    options.m_topic = "t";
    options.m_pause = 5ms;
    options.m_maxUpdateAge = 20s;
    store::FollowEvents events;
    events.m_onRecord = [&keys, i](const store::Record& aRecord) {
      keys[i] += aRecord.m_key;
      return true;
    };
    topics.push_back(
      std::make_shared<store::TopicFollower>(m_loop, hosts[i]->m_log, options, std::move(events)));
    topics.back()->Start();
    hosts[i]->m_exchange.AddTopic(topics.back());
  }
  CHECK(RunUntil(
    [&] { return hosts[0]->m_isReader && hosts[2]->m_isReader && !hosts[1]->m_isReader; }));
  hosts[0]->m_log.m_down = true;
  hosts[1]->m_log.m_down = true;
  CHECK(RunUntil([&] { return topics[0]->IsUnreachable(); }));
  hosts[2]->m_log.AppendKeyed("t", "k", "v", [](const auto&) {});
  CHECK(RunUntil([&] { return keys[0] == "k" && keys[1] == "k"; }));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    topics[i]->Stop();
    hosts[i]->m_exchange.Stop();
  }
}
