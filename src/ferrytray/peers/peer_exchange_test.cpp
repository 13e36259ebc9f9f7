#include <algorithm> // for all_of
#include <vector>    // for vector

#include "tests/support/news_fixture.hpp" // for PeerExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::PeerHost;

TEST_GROUP_BASE(PeerExchange, support::PeerExchangeFixture){};

TEST(PeerExchange, HostWithMoreCapacityReadsAndTheOtherFollowsIt)
{
  CHECK(RunUntil([&] { return m_reader->m_isReader; }));
  UpdateReaderStore(1, true);
  CHECK(RunUntil([&] { return m_follower->MayFetch(); }));
  CHECK_FALSE(m_follower->m_isReader);
  UpdateReaderStore(1, false);
  CHECK(RunUntil([&] { return !m_follower->MayFetch(); }));
}

TEST(PeerExchange, HostsExchangeTheirLoads)
{
  m_reader->m_localLoads = { { 1, 5 }, { 2, 1 } };
  m_follower->m_localLoads = { { 1, 3 } };
  CHECK(RunUntil([&] { return m_follower->m_peerLoads.RemoteLoad(1) == 5; }));
  CHECK(RunUntil([&] { return m_reader->m_peerLoads.RemoteLoad(1) == 3; }));
  m_reader->m_localLoads = {};
  CHECK(RunUntil([&] { return m_follower->m_peerLoads.RemoteLoad(1) == 0; }));
}

TEST(PeerExchange, FollowerReadsDirectlyWhenTheReaderIsGone)
{
  UpdateReaderStore(1, true);
  CHECK(RunUntil([&] { return m_follower->MayFetch(); }));
  m_reader->m_exchange.Stop();
  m_reader.reset();
  CHECK(RunUntil([&] { return m_follower->m_isReader; }));
}

TEST(PeerExchange, FollowerReadsDirectlyWhenTheReaderIsLeaving)
{
  CHECK(RunUntil([&] { return m_reader->m_isReader; }));
  m_reader->m_exchange.Leave();
  CHECK(RunUntil([&] { return m_follower->m_isReader; }));
}

TEST(PeerExchange, HostDoesNotRegisterAgainIfItsRecordExists)
{
  CHECK(RunUntil([&] { return m_reader->m_isReader; }));
  const auto records = m_reader->m_log.m_topics["hosts"];
  PeerHost again(m_loop, *m_client, "reader", 9);
  store::Record own = records.front();
  // The restarted host listens on its former address.
  again.m_log.m_topics["hosts"] = { own };
  m_reader->m_exchange.Stop();
  const std::string address = peers::DecodePeer(own.m_value)->m_address;
  m_reader.reset();
  peers::PeerExchangeOptions options = PeerHost::OptionsOf("reader", 9, "z", 1);
  options.m_listen = net::ParseAddress(address).value();
  peers::PeerExchange restarted(m_loop, *m_client, again.m_log, again.State(), options);
  restarted.SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
  CHECK(restarted.Start().has_value());
  CHECK(RunUntil([&] { return again.m_log.m_reads > 0; }));
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
  std::vector<std::unique_ptr<PeerHost>> hosts;
  std::vector<std::shared_ptr<store::TopicFollower>> topics;
  std::vector<std::string> keys(kHosts);
  std::vector<std::unique_ptr<peers::PeerExchange>> exchanges;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back(std::make_unique<PeerHost>(m_loop, *m_client, name, i == 0 ? 9 : 1));
    peers::PeerExchangeOptions options = PeerHost::OptionsOf(name, i == 0 ? 9 : 1, "z", 1);
    options.m_firstHostsReadDelay = 300ms;
    options.m_topicRelayTimeout = 60s;
    PeerHost& host = *hosts.back();
    exchanges.push_back(
      std::make_unique<peers::PeerExchange>(m_loop, *m_client, log, host.State(), options));
    exchanges.back()->SetOwnLoadsProvider([] { return peers::EndpointLoads{}; });
    topics.push_back(AddFollowerTo(*exchanges.back(), log, keys[i]));
  }
  for (const auto& exchange : exchanges) {
    CHECK(exchange->Start().has_value());
  }
  CHECK(RunUntil([&] {
    return std::all_of(
      keys.begin(), keys.end(), [](const std::string& aKeys) { return aKeys == "a"; });
  }));
  LONGS_EQUAL(1, log.m_snapshotReadsByTopic["t"]);
  // Hosts that would neither read nor relay find the others registered.
  constexpr std::size_t kReadersAndRelays = 17;
  CHECK(log.m_topics["hosts"].size() >= kReadersAndRelays);
  CHECK(log.m_topics["hosts"].size() < kHosts);
  // Two reads of each host, and a few more of the reader.
  CHECK(log.m_snapshotReadsByTopic["hosts"] < 3 * kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    topics[i]->Stop();
    exchanges[i]->Stop();
  }
}

TEST(PeerExchange, RejectsAMalformedSyncRequest)
{
  CHECK(RunUntil([&] { return m_reader->m_isReader; }));
  const auto peer = peers::DecodePeer(m_reader->m_log.m_topics["hosts"].front().m_value);
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + peer->m_address + "/news";
  request.m_body = "rubbish";
  int status = 0;
  m_client->Fetch(std::move(request), [&](const net::ClientOutcome& aOutcome, const std::string&) {
    status = aOutcome.m_status;
  });
  CHECK(RunUntil([&] { return status != 0; }));
  LONGS_EQUAL(400, status);
}

TEST(PeerExchange, AnswersPlacementRequestsAndRejectsMalformedOnes)
{
  CHECK(RunUntil([&] { return m_reader->m_isReader; }));
  const std::optional<peers::Peer> host =
    m_reader->m_exchange.PlacementHost("z", base::MonotonicNow());
  CHECK(host && m_reader->m_exchange.IsSelf(*host));
  m_reader->m_exchange.OnPlacement([](const peers::PlacementRequest& aRequest) {
    return peers::PlacementReply{ aRequest.m_key + "!", "", true, false };
  });
  std::string engine;
  peers::PlacementRequest placementRequest;
  placementRequest.m_key = "k";
  bool answered = false;
  for (int i = 0; i < 100 && engine.empty(); ++i) { // the loop of the test may be slow
    answered = false;
    m_follower->m_exchange.RequestPlacement(*host, placementRequest, [&](const auto& aReply) {
      answered = true;
      engine = aReply ? aReply->m_engine : "";
    });
    CHECK(RunUntil([&] { return answered; }));
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
  CHECK(RunUntil([&] { return status != 0; }));
  LONGS_EQUAL(400, status);
}
