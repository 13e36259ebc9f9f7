#include <algorithm> // for all_of
#include <vector>    // for vector

#include "tests/support/news_fixture.hpp" // for NewsFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::NewsHost;

TEST_GROUP_BASE(PeerExchange, support::NewsFixture){};

TEST(PeerExchange, HostWithMoreCapacityReadsAndTheOtherFollowsIt)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  ReaderHears(1, true);
  CHECK(Until([&] { return m_follower->MayFetch(); }));
  CHECK_FALSE(m_follower->m_direct);
  ReaderHears(1, false);
  CHECK(Until([&] { return !m_follower->MayFetch(); }));
}

TEST(PeerExchange, HostsExchangeTheirLoads)
{
  m_reader->m_own = { { 1, 5 }, { 2, 1 } };
  m_follower->m_own = { { 1, 3 } };
  CHECK(Until([&] { return m_follower->m_others.RemoteLoad(1) == 5; }));
  CHECK(Until([&] { return m_reader->m_others.RemoteLoad(1) == 3; }));
  m_reader->m_own = {};
  CHECK(Until([&] { return m_follower->m_others.RemoteLoad(1) == 0; }));
}

TEST(PeerExchange, FollowerReadsDirectlyWhenTheReaderIsGone)
{
  ReaderHears(1, true);
  CHECK(Until([&] { return m_follower->MayFetch(); }));
  m_reader->m_news.Stop();
  m_reader.reset();
  CHECK(Until([&] { return m_follower->m_direct; }));
}

TEST(PeerExchange, FollowerReadsDirectlyWhenTheReaderIsLeaving)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  m_reader->m_news.Leave();
  CHECK(Until([&] { return m_follower->m_direct; }));
}

TEST(PeerExchange, HostDoesNotRegisterAgainIfItsRecordExists)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  const auto records = m_reader->m_log.m_topics["hosts"];
  NewsHost again(m_loop, *m_client, "reader", 9);
  store::Record own = records.front();
  // The restarted host listens on its former address.
  again.m_log.m_topics["hosts"] = { own };
  m_reader->m_news.Stop();
  const std::string address = peers::DecodePeer(own.m_value)->m_address;
  m_reader.reset();
  peers::PeerExchangeOptions options = NewsHost::OptionsOf("reader", 9, "z", 1);
  options.m_listen = net::ParseAddress(address).value();
  peers::PeerExchange restarted(m_loop,
                                *m_client,
                                again.m_log,
                                again.m_stores,
                                again.m_others,
                                again.m_reloads,
                                again.m_crashes,
                                options);
  restarted.SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
  CHECK(restarted.Start().has_value());
  CHECK(Until([&] { return again.m_log.m_reads > 0; }));
  m_loop.RunFor(50ms);
  LONGS_EQUAL(1, again.m_log.m_topics["hosts"].size());
  restarted.Stop();
}

// Guards against a load on the log that grows faster than the number of hosts when hundreds of them
// start at once.
TEST(PeerExchange, OnlyReadersReadTopicsWhenManyHostsStartAtOnce)
{
  constexpr std::size_t kHosts = 60;
  support::MemoryRecordLog log;
  log.AppendKeyed("t", "a", "1", [](const auto&) {});
  std::vector<std::unique_ptr<NewsHost>> hosts;
  std::vector<std::shared_ptr<store::TopicFollower>> topics;
  std::vector<std::string> keys(kHosts);
  std::vector<std::unique_ptr<peers::PeerExchange>> exchanges;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back(std::make_unique<NewsHost>(m_loop, *m_client, name, i == 0 ? 9 : 1));
    peers::PeerExchangeOptions options = NewsHost::OptionsOf(name, i == 0 ? 9 : 1, "z", 1);
    options.m_firstHostsReadDelay = 300ms;
    options.m_topicRelayTimeout = 60s;
    NewsHost& host = *hosts.back();
    exchanges.push_back(std::make_unique<peers::PeerExchange>(m_loop,
                                                              *m_client,
                                                              log,
                                                              host.m_stores,
                                                              host.m_others,
                                                              host.m_reloads,
                                                              host.m_crashes,
                                                              options));
    exchanges.back()->SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
    topics.push_back(FollowWith(*exchanges.back(), log, keys[i]));
  }
  for (const auto& exchange : exchanges) {
    CHECK(exchange->Start().has_value());
  }
  CHECK(Until([&] {
    return std::all_of(
      keys.begin(), keys.end(), [](const std::string& aKeys) { return aKeys == "a"; });
  }));
  LONGS_EQUAL(1, log.m_snapshotsOf["t"]);
  LONGS_EQUAL(kHosts, log.m_topics["hosts"].size());
  // Two reads of each host, and a few more of the reader.
  CHECK(log.m_snapshotsOf["hosts"] < 3 * kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    topics[i]->Stop();
    exchanges[i]->Stop();
  }
}

TEST(PeerExchange, RejectsAMalformedSyncRequest)
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

TEST(PeerExchange, AnswersPlacementRequestsAndRejectsMalformedOnes)
{
  CHECK(Until([&] { return m_reader->m_direct; }));
  const std::optional<peers::Peer> host = m_reader->m_news.PlacementHost("z", base::MonotonicNow());
  CHECK(host && m_reader->m_news.IsSelf(*host));
  m_reader->m_news.OnPlacement([](const peers::PlacementRequest& aRequest) {
    return peers::PlacementReply{ aRequest.m_key + "!", "", true, false };
  });
  std::string engine;
  peers::PlacementRequest placementRequest;
  placementRequest.m_key = "k";
  bool answered = false;
  for (int i = 0; i < 100 && engine.empty(); ++i) { // the loop of the test may be slow
    answered = false;
    m_follower->m_news.RequestPlacement(*host, placementRequest, [&](const auto& aReply) {
      answered = true;
      engine = aReply ? aReply->m_engine : "";
    });
    CHECK(Until([&] { return answered; }));
  }
  STRCMP_EQUAL("k!", engine.c_str());
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + host->m_address + std::string(peers::PeerExchange::kPlacementPath);
  request.m_body = "rubbish";
  int status = 0;
  m_client->Fetch(std::move(request), [&](const net::ClientOutcome& aOutcome, const std::string&) {
    status = aOutcome.m_status;
  });
  CHECK(Until([&] { return status != 0; }));
  LONGS_EQUAL(400, status);
}
