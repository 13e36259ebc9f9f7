// Topics that some hosts read and pass on to the others.
#include <array>  // for array
#include <vector> // for vector

#include "tests/support/news_fixture.hpp" // for NewsFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::NewsHost;

TEST_GROUP_BASE(NewsTopics, support::NewsFixture){};

TEST(NewsTopics, AFollowerGetsATopicWholeAndReadsNothingOfIt)
{
  m_reader->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("t", "b", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("t", "a", "2", [](const auto&) {});
  std::string toldReader;
  std::string toldFollower;
  const auto one = Follow(*m_reader, toldReader);
  const auto two = Follow(*m_follower, toldFollower);
  CHECK(Until([&] { return !toldFollower.empty(); }));
  STRCMP_EQUAL("ba", toldFollower.c_str()); // in the order of the newest records
  LONGS_EQUAL(0, m_follower->m_log.m_readsOf["t"]);
  m_reader->m_log.AppendKeyed("t", "c", "1", [](const auto&) {});
  CHECK(Until([&] { return toldFollower == "bac"; }));
  one->Stop();
  two->Stop();
}

TEST(NewsTopics, ATopicThatNobodyPassesOnIsReadByTheHostItself)
{
  m_follower->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  std::string told;
  const auto topic = Follow(*m_follower, told); // the reader does not follow it
  CHECK(Until([&] { return told == "a"; }));
  topic->Stop();
}

TEST(NewsTopics, RecordsReachTheFollowerThoughItsOwnPathToTheLogIsCut)
{
  std::string toldReader;
  std::string toldFollower;
  const auto one = Follow(*m_reader, toldReader);
  const auto two = Follow(*m_follower, toldFollower);
  one->Start();
  two->Start();
  m_reader->m_own = { { 1, 5 } };
  CHECK(Until([&] { return m_follower->m_others.Others(1) == 5; }));
  m_follower->m_log.m_down = true;
  m_reader->m_log.AppendKeyed("t", "k", "v", [](const auto&) {});
  CHECK(Until([&] { return toldFollower == "k"; }));
  STRCMP_EQUAL("k", toldReader.c_str());
  one->Stop();
  two->Stop();
}

// Seen: a host behind a reader took an old configuration for the newest, since the reader told the
// age of its youngest contact with the log, whatever topic that was of. Proved by this test.
TEST(NewsTopics, AReadersContactForOneTopicSaysNothingOfAnother)
{
  m_reader->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  m_reader->m_log.AppendKeyed("quiet", "b", "1", [](const auto&) {});
  m_reader->m_log.m_silentFor = "quiet";
  std::string told;
  const auto live = Follow(*m_reader, told);
  const auto quiet = FollowWith(m_reader->m_news, m_reader->m_log, told, "quiet");
  live->Start();
  quiet->Start();
  STRCMP_EQUAL("ab", told.c_str());
  m_loop.RunFor(300ms);
  const base::TimePoint now = base::MonotonicNow();
  store::TopicCursor cursor{ "quiet", 1, false };
  CHECK(quiet->NewsSince(cursor, now)->m_age >= 300ms);
  peers::NewsRequest question;
  question.m_topics = { { "t", 1, false }, cursor };
  const peers::NewsReply reply = AskReader(question);
  LONGS_EQUAL(2, reply.m_topics.size());
  CHECK(reply.m_topics[1].m_age >= 300ms);
  live->Stop();
  quiet->Stop();
}

// Load: the log turns some hosts away, among them the reader that others follow, and serves the
// rest.
TEST(NewsTopics, AHostWhoseReaderLostTheLogTooHearsOfRecordsFromAnotherReader)
{
  const auto make = [&](const char* aName, std::uint32_t aCapacity, const char* aZone) {
    return std::make_unique<NewsHost>(m_loop, *m_client, aName, aCapacity, aZone, 2);
  };
  std::vector<std::unique_ptr<NewsHost>> hosts;
  hosts.push_back(make("near", 9, "here"));
  hosts.push_back(make("follower", 1, "here"));
  hosts.push_back(make("far", 9, "there"));
  std::vector<store::Record> records;
  for (const auto& host : hosts) {
    CHECK(host->m_news.Start().has_value());
    records.push_back(host->m_log.m_topics["hosts"].front());
    records.back().m_offset = records.size() - 1;
  }
  std::array<std::string, 3> told;
  std::vector<std::shared_ptr<store::TopicFollower>> topics;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i]->m_log.m_topics["hosts"] = records;
    store::FollowOptions options;
    options.m_topic = "t";
    options.m_pause = 5ms;
    options.m_newsFresh = 20s;
    store::FollowEvents events;
    events.m_onRecord = [&told, i](const store::Record& aRecord) {
      told[i] += aRecord.m_key;
      return true;
    };
    topics.push_back(
      std::make_shared<store::TopicFollower>(m_loop, hosts[i]->m_log, options, std::move(events)));
    topics.back()->Start();
    hosts[i]->m_news.AddTopic(topics.back());
  }
  CHECK(Until([&] { return hosts[0]->m_direct && hosts[2]->m_direct && !hosts[1]->m_direct; }));
  hosts[0]->m_log.m_down = true;
  hosts[1]->m_log.m_down = true;
  CHECK(Until([&] { return topics[0]->IsAway(); }));
  hosts[2]->m_log.AppendKeyed("t", "k", "v", [](const auto&) {});
  CHECK(Until([&] { return told[0] == "k" && told[1] == "k"; }));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    topics[i]->Stop();
    hosts[i]->m_news.Stop();
  }
}
