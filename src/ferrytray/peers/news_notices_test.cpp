// What hosts tell each other of reloads, replaced endpoints and requests that end endpoints.
#include <vector> // for vector

#include "tests/support/news_fixture.hpp" // for NewsFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::NewsHost;

TEST_GROUP_BASE(NewsNotices, support::NewsFixture){};

TEST(NewsNotices, AReloadThatTheReaderHearsOfReachesTheFollower)
{
  CHECK(Until([&] { return m_reader->m_direct && m_follower->m_others.Others(0) == 0; }));
  m_reader->m_reloads.OnNotice({ 7, "m", 2, 60'000, 1 }, base::MonotonicNow());
  bool heard = false;
  m_follower->m_news.OnReloads([&] { heard = true; });
  CHECK(Until([&] { return heard; }));
  CHECK(m_follower->m_reloads.IsReloading(7, base::MonotonicNow()));
}

TEST(NewsNotices, AFollowersWordOfAReplacedLifeReachesTheReader)
{
  peers::IncarnationKey heard = 0;
  m_reader->m_news.OnReplaced([&](peers::IncarnationKey aKey) { heard = aKey; });
  m_follower->m_news.TellReplaced("e/1");
  CHECK(Until([&] { return heard == peers::KeyOf("e/1"); }));
}

TEST(NewsNotices, WhatBrokeOffUnderARequestIsCountedOverAllHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  const quarantine::RequestKey request{ 1, 2 };
  m_reader->m_crashes.OnConnectionBroken(request, 10, now, now);
  m_follower->m_crashes.OnConnectionBroken(request, 20, now, now);
  m_follower->m_crashes.OnConnectionBroken(request, 30, now, now);
  CHECK(Until([&] {
    return m_reader->m_crashes.IsQuarantined(request) &&
           m_follower->m_crashes.IsQuarantined(request);
  }));
  // A host that has answered it whole clears it for all.
  m_follower->m_crashes.OnCompleteAnswer(request);
  CHECK(Until([&] { return !m_reader->m_crashes.IsQuarantined(request); }));
}

TEST(NewsNotices, AHostIsAloneWhenOthersAreKnownAndNoneIsHeard)
{
  CHECK(Until([&] { return !m_follower->m_news.IsAlone(1h, base::MonotonicNow()); }));
  CHECK(Until([&] { return !m_reader->m_news.IsAlone(1h, base::MonotonicNow()); }));
  CHECK(Until([&] { return m_follower->m_news.IsAlone(1s, base::MonotonicNow() + 1min); }));
  NewsHost single(m_loop, *m_client, "single", 1);
  CHECK(single.m_news.Start().has_value());
  CHECK_FALSE(single.m_news.IsAlone(1s, base::MonotonicNow() + 1min));
  single.m_news.Stop();
}

TEST(NewsNotices, AReaderThatStartsAnewIsToldAgainWhatItsFormerLifeWasTold)
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
  NewsHost host(m_loop, *m_client, "weak", 1);
  host.m_log.AppendKeyed("hosts", "strong", peers::Encode(strong), [](const auto&) {});
  host.m_crashes.OnConnectionBroken({ 1, 2 }, 10, base::MonotonicNow(), base::MonotonicNow());
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
