#include "ferrytray/peers/news_exchange.hpp"

#include <algorithm> // for all_of
#include <array>     // for array
#include <vector>    // for vector

#include "tests/support/memory_record_log.hpp" // for MemoryRecordLog

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using cache::PartName;

namespace {

const PartName kPart{ "m.1", "p" };
const std::string kStore = "s:1";

/// One host's side of the exchange, with its own view of the log.
struct Host
{
  Host(net::Loop& aLoop,
       net::HttpClient& aClient,
       const std::string& aName,
       std::uint32_t aCapacity,
       const std::string& aZone = "z",
       std::size_t aReaders = 1)
    : m_news(aLoop,
             aClient,
             m_log,
             m_stores,
             m_others,
             m_reloads,
             m_crashes,
             OptionsOf(aName, aCapacity, aZone, aReaders))
  {
    m_stores.try_emplace(kStore, cache::StoreTraits{ 10'000 });
    m_news.OnDirect([this](bool aDirect) { m_direct = aDirect; });
    m_news.OwnLoads([this] { return m_own; });
  }

  static peers::NewsOptions OptionsOf(const std::string& aName,
                                      std::uint32_t aCapacity,
                                      const std::string& aZone,
                                      std::size_t aReaders)
  {
    peers::NewsOptions options;
    options.m_listen = { "127.0.0.1", 0 };
    options.m_name = aName;
    options.m_zone = aZone;
    options.m_capacity = aCapacity;
    options.m_topic = "hosts";
    options.m_roster.m_readers = aReaders;
    options.m_askEvery = 5ms;
    options.m_lookFirst = 5ms;
    options.m_lookAgain = 5ms;
    options.m_enrolRetry = 5ms;
    options.m_answerWithin = 2s; // the test's own loop may be slow
    return options;
  }

  bool MayFetch() { return m_stores.at(kStore).MayFetch(kPart, base::MonotonicNow()); }

  support::MemoryRecordLog m_log;
  cache::Stores m_stores;
  peers::LoadBoard m_others;
  peers::ReloadBoard m_reloads;
  quarantine::CrashBoard m_crashes;
  peers::EndpointLoads m_own;
  bool m_direct = false;
  peers::NewsExchange m_news;
};

} // namespace

TEST_GROUP(NewsExchange)
{
  net::Loop m_loop;
  std::unique_ptr<net::HttpClient> m_client = net::HttpClient::Create(m_loop);
  std::unique_ptr<Host> m_reader = std::make_unique<Host>(m_loop, *m_client, "reader", 9);
  std::unique_ptr<Host> m_follower = std::make_unique<Host>(m_loop, *m_client, "follower", 1);

  void setup() override
  {
    CHECK(m_reader->m_news.Start().has_value());
    CHECK(m_follower->m_news.Start().has_value());
    // Both write to one log; the fakes are shared by hand.
    auto& one = m_reader->m_log.m_topics["hosts"];
    auto& other = m_follower->m_log.m_topics["hosts"];
    one.push_back(other.front());
    other.push_back(one.front());
    one.back().m_offset = other.back().m_offset = 1;
  }
  void teardown() override
  {
    for (const auto* host : { &m_reader, &m_follower }) {
      if (*host) {
        (*host)->m_news.Stop();
      }
    }
    m_client.reset();
  }

  bool Until(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 6000 && !aCondition(); ++i) {
      m_loop.RunFor(5ms);
    }
    return aCondition();
  }

  std::shared_ptr<store::TopicFollower> FollowWith(peers::NewsExchange & aNews,
                                                   store::RecordLog & aLog,
                                                   std::string & aTold,
                                                   const char* aTopic = "t")
  {
    store::FollowOptions options;
    options.m_topic = aTopic;
    options.m_pause = 5ms;
    options.m_newsFresh = 20s;
    store::FollowEvents events;
    events.m_onRecord = [&aTold](const store::Record& aRecord) {
      aTold += aRecord.m_key;
      return true;
    };
    auto topic = std::make_shared<store::TopicFollower>(m_loop, aLog, options, std::move(events));
    aNews.AddTopic(topic);
    return topic;
  }
  std::shared_ptr<store::TopicFollower> Follow(Host & aHost, std::string & aTold)
  {
    return FollowWith(aHost.m_news, aHost.m_log, aTold);
  }

  /// Asks the reader as another host would.
  peers::NewsReply AskReader(peers::NewsRequest aQuestion)
  {
    const auto reader = peers::DecodePeer(m_reader->m_log.m_topics["hosts"].front().m_value);
    aQuestion.m_sender = { "asker", "z", "127.0.0.1:1", 1 };
    net::ClientRequest request;
    request.m_method = "POST";
    request.m_url = "http://" + reader->m_address + "/news";
    request.m_body = peers::Encode(aQuestion);
    std::optional<peers::NewsReply> reply;
    m_client->Fetch(std::move(request), [&](const net::ClientOutcome&, const std::string& aBody) {
      reply = peers::DecodeNewsReply(aBody).value_or(peers::NewsReply{});
    });
    CHECK(Until([&] { return reply.has_value(); }));
    return reply.value_or(peers::NewsReply{});
  }

  void ReaderHears(std::uint64_t aEpoch, bool aAdded)
  {
    cache::StoreNews news;
    news.m_epoch = aEpoch;
    news.m_clockMillis = 1000;
    news.m_changes = { { kPart, 400, aAdded } };
    const base::TimePoint now = base::MonotonicNow();
    m_reader->m_stores.at(kStore).OnNews(news, false, now, now);
  }
};

TEST(NewsExchange, TheStrongerHostReadsAndTheOtherFollowsIt)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  ReaderHears(1, true);
  CHECK(Until([&] { return m_follower->MayFetch(); }));
  CHECK_FALSE(m_follower->m_direct);
  ReaderHears(1, false);
  CHECK(Until([&] { return !m_follower->MayFetch(); }));
}

TEST(NewsExchange, EachKnowsTheWorkOfTheOther)
{
  m_reader->m_own = { { 1, 5 }, { 2, 1 } };
  m_follower->m_own = { { 1, 3 } };
  CHECK(Until([&] { return m_follower->m_others.Others(1) == 5; }));
  CHECK(Until([&] { return m_reader->m_others.Others(1) == 3; }));
  m_reader->m_own = {};
  CHECK(Until([&] { return m_follower->m_others.Others(1) == 0; }));
}

TEST(NewsExchange, WhenTheReaderIsGoneTheOtherReadsByItself)
{
  ReaderHears(1, true);
  CHECK(Until([&] { return m_follower->MayFetch(); }));
  m_reader->m_news.Stop();
  m_reader.reset();
  CHECK(Until([&] { return m_follower->m_direct; }));
}

TEST(NewsExchange, AReaderThatStopsSaysSo)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  m_reader->m_news.Leave();
  CHECK(Until([&] { return m_follower->m_direct; }));
}

TEST(NewsExchange, AReloadThatTheReaderHearsOfReachesTheFollower)
{
  CHECK(Until([&] { return m_reader->m_direct && m_follower->m_others.Others(0) == 0; }));
  m_reader->m_reloads.OnNotice({ 7, "m", 2, 60'000, 1 }, base::MonotonicNow());
  bool heard = false;
  m_follower->m_news.OnReloads([&] { heard = true; });
  CHECK(Until([&] { return heard; }));
  CHECK(m_follower->m_reloads.IsReloading(7, base::MonotonicNow()));
}

TEST(NewsExchange, AFollowersWordOfAReplacedLifeReachesTheReader)
{
  peers::IncarnationKey heard = 0;
  m_reader->m_news.OnReplaced([&](peers::IncarnationKey aKey) { heard = aKey; });
  m_follower->m_news.TellReplaced("e/1");
  CHECK(Until([&] { return heard == peers::KeyOf("e/1"); }));
}

TEST(NewsExchange, WhatBrokeOffUnderARequestIsCountedOverAllHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  const quarantine::RequestKey request{ 1, 2 };
  m_reader->m_crashes.OnBroken(request, 10, now, now);
  m_follower->m_crashes.OnBroken(request, 20, now, now);
  m_follower->m_crashes.OnBroken(request, 30, now, now);
  CHECK(Until([&] {
    return m_reader->m_crashes.IsQuarantined(request) &&
           m_follower->m_crashes.IsQuarantined(request);
  }));
  // A host that has answered it whole clears it for all.
  m_follower->m_crashes.OnAnswered(request);
  CHECK(Until([&] { return !m_reader->m_crashes.IsQuarantined(request); }));
}

TEST(NewsExchange, AHostIsAloneWhenOthersAreKnownAndNoneIsHeard)
{
  CHECK(Until([&] { return !m_follower->m_news.IsAlone(1h, base::MonotonicNow()); }));
  CHECK(Until([&] { return !m_reader->m_news.IsAlone(1h, base::MonotonicNow()); }));
  CHECK(Until([&] { return m_follower->m_news.IsAlone(1s, base::MonotonicNow() + 1min); }));
  Host single(m_loop, *m_client, "single", 1);
  CHECK(single.m_news.Start().has_value());
  CHECK_FALSE(single.m_news.IsAlone(1s, base::MonotonicNow() + 1min));
  single.m_news.Stop();
}

TEST(NewsExchange, AReaderThatStartsAnewIsToldAgainWhatItsFormerLifeWasTold)
{
  std::uint64_t incarnation = 1;
  std::vector<std::size_t> told;
  const auto answer = [&](const net::HttpRequest& aRequest,
                          const std::shared_ptr<net::HttpReply>& aReply) {
    told.push_back(peers::DecodeNewsRequest(aRequest.m_body)->m_crashes.size());
    peers::NewsReply reply;
    reply.m_incarnation = incarnation;
    aReply->Send(200, {}, peers::Encode(reply));
  };
  const auto server = std::move(*net::HttpServer::Create(m_loop, {}, answer));
  const peers::Peer strong{ "strong", "z", net::ToString(server->ListenAddress()), 9 };
  Host host(m_loop, *m_client, "weak", 1);
  host.m_log.AppendKeyed("hosts", "strong", peers::Encode(strong), [](const auto&) {});
  host.m_crashes.OnBroken({ 1, 2 }, 10, base::MonotonicNow(), base::MonotonicNow());
  CHECK(host.m_news.Start().has_value());
  CHECK(Until([&] { return told.size() >= 3; }));
  LONGS_EQUAL(1, told[0]);
  LONGS_EQUAL(0, told[1]); // it was told
  incarnation = 2;
  const std::size_t before = told.size();
  CHECK(Until([&] { return told.size() >= before + 4; }));
  LONGS_EQUAL(1, std::count(told.begin() + static_cast<std::ptrdiff_t>(before), told.end(), 1U));
  host.m_news.Stop();
}

TEST(NewsExchange, AFollowerGetsATopicWholeAndReadsNothingOfIt)
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

TEST(NewsExchange, ATopicThatNobodyPassesOnIsReadByTheHostItself)
{
  m_follower->m_log.AppendKeyed("t", "a", "1", [](const auto&) {});
  std::string told;
  const auto topic = Follow(*m_follower, told); // the reader does not follow it
  CHECK(Until([&] { return told == "a"; }));
  topic->Stop();
}

TEST(NewsExchange, AHostWhoseRecordIsThereDoesNotEnrolAgain)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  const auto enrolled = m_reader->m_log.m_topics["hosts"];
  Host again(m_loop, *m_client, "reader", 9);
  store::Record own = enrolled.front();
  // Its address is the one that it had before.
  again.m_log.m_topics["hosts"] = { own };
  m_reader->m_news.Stop();
  const std::string address = peers::DecodePeer(own.m_value)->m_address;
  m_reader.reset();
  peers::NewsOptions options = Host::OptionsOf("reader", 9, "z", 1);
  options.m_listen = net::ParseAddress(address).value();
  peers::NewsExchange news(m_loop,
                           *m_client,
                           again.m_log,
                           again.m_stores,
                           again.m_others,
                           again.m_reloads,
                           again.m_crashes,
                           options);
  news.OwnLoads([] { return peers::EndpointLoads{}; });
  CHECK(news.Start().has_value());
  CHECK(Until([&] { return again.m_log.m_reads > 0; }));
  m_loop.RunFor(50ms);
  LONGS_EQUAL(1, again.m_log.m_topics["hosts"].size());
  news.Stop();
}

// Load: hundreds of hosts start at once. What each asks of the log does not grow with their number.
TEST(NewsExchange, OfManyHostsThatStartTogetherOnlyTheReadersReadTheTopics)
{
  constexpr std::size_t kHosts = 60;
  support::MemoryRecordLog log;
  log.AppendKeyed("t", "a", "1", [](const auto&) {});
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::shared_ptr<store::TopicFollower>> topics;
  std::vector<std::string> told(kHosts);
  std::vector<std::unique_ptr<peers::NewsExchange>> exchanges;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back(std::make_unique<Host>(m_loop, *m_client, name, i == 0 ? 9 : 1));
    peers::NewsOptions options = Host::OptionsOf(name, i == 0 ? 9 : 1, "z", 1);
    options.m_lookFirst = 300ms;
    options.m_wholeWithin = 60s;
    Host& host = *hosts.back();
    exchanges.push_back(std::make_unique<peers::NewsExchange>(m_loop,
                                                              *m_client,
                                                              log,
                                                              host.m_stores,
                                                              host.m_others,
                                                              host.m_reloads,
                                                              host.m_crashes,
                                                              options));
    exchanges.back()->OwnLoads([] { return peers::EndpointLoads{}; });
    topics.push_back(FollowWith(*exchanges.back(), log, told[i]));
  }
  for (const auto& exchange : exchanges) {
    CHECK(exchange->Start().has_value());
  }
  CHECK(Until([&] {
    return std::all_of(
      told.begin(), told.end(), [](const std::string& aTold) { return aTold == "a"; });
  }));
  LONGS_EQUAL(1, log.m_snapshotsOf["t"]);
  LONGS_EQUAL(kHosts, log.m_topics["hosts"].size());
  // Two looks of each host, and a few more of the one that reads.
  CHECK(log.m_snapshotsOf["hosts"] < 3 * kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    topics[i]->Stop();
    exchanges[i]->Stop();
  }
}

TEST(NewsExchange, RecordsReachTheFollowerThoughItsOwnPathToTheLogIsCut)
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
TEST(NewsExchange, AReadersContactForOneTopicSaysNothingOfAnother)
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
TEST(NewsExchange, AHostWhoseReaderLostTheLogTooHearsOfRecordsFromAnotherReader)
{
  const auto make = [&](const char* aName, std::uint32_t aCapacity, const char* aZone) {
    return std::make_unique<Host>(m_loop, *m_client, aName, aCapacity, aZone, 2);
  };
  std::vector<std::unique_ptr<Host>> hosts;
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

TEST(NewsExchange, AnswersRubbishWithANumberedRefusal)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  const auto peer = peers::DecodePeer(m_reader->m_log.m_topics["hosts"].front().m_value);
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + peer->m_address + "/news";
  request.m_body = "rubbish";
  int status = 0;
  m_client->Fetch(std::move(request), [&](const net::ClientOutcome& aOutcome, const std::string&) {
    status = aOutcome.m_status;
  });
  CHECK(Until([&] { return status != 0; }));
  LONGS_EQUAL(400, status);
}

TEST(NewsExchange, AQuestionOfPlacementIsAnsweredAndABadOneIsRefused)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  const std::optional<peers::Peer> host = m_reader->m_news.Placer("z", base::MonotonicNow());
  CHECK(host && m_reader->m_news.IsSelf(*host));
  m_reader->m_news.OnPlacement([](const peers::PlacementRequest& aRequest) {
    return peers::PlacementReply{ aRequest.m_key + "!", "", true, false };
  });
  std::string engine;
  peers::PlacementRequest question;
  question.m_key = "k";
  bool answered = false;
  for (int i = 0; i < 100 && engine.empty(); ++i) { // the test's own loop may be slow
    answered = false;
    m_follower->m_news.AskPlacement(*host, question, [&](const auto& aReply) {
      answered = true;
      engine = aReply ? aReply->m_engine : "";
    });
    CHECK(Until([&] { return answered; }));
  }
  STRCMP_EQUAL("k!", engine.c_str());
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + host->m_address + std::string(peers::NewsExchange::kPlacementPath);
  request.m_body = "rubbish";
  int status = 0;
  m_client->Fetch(std::move(request), [&](const net::ClientOutcome& aOutcome, const std::string&) {
    status = aOutcome.m_status;
  });
  CHECK(Until([&] { return status != 0; }));
  LONGS_EQUAL(400, status);
}
