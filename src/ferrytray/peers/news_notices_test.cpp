// Exchange of notices on reloads, replaced endpoints and requests that crash endpoints.
#include <vector> // for vector

#include "tests/support/news_fixture.hpp" // for PeerExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using support::PeerHost;

TEST_GROUP_BASE(PeerNotices, support::PeerExchangeFixture){};

TEST(PeerNotices, ReloadNoticesReachTheFollower)
{
  CHECK(
    RunUntil([&] { return m_reader->m_isReader && m_follower->m_peerLoads.RemoteLoad(0) == 0; }));
  m_reader->m_reloads.OnNotice({ 7, "m", 2, 60'000, 1 }, base::MonotonicNow());
  bool received = false;
  m_follower->m_exchange.OnReloads([&] { received = true; });
  CHECK(RunUntil([&] { return received; }));
  CHECK(m_follower->m_reloads.IsReloading(7, base::MonotonicNow()));
}

TEST(PeerNotices, ReplacementNoticesReachTheReader)
{
  peers::IncarnationKey received = 0;
  m_reader->m_exchange.OnReplaced([&](peers::IncarnationKey aKey) { received = aKey; });
  m_follower->m_exchange.ReportReplaced("e/1");
  CHECK(RunUntil([&] { return received == peers::KeyOf("e/1"); }));
}

TEST(PeerNotices, AnnouncedShutdownsReachBothHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  peers::IncarnationKey received = 0;
  m_follower->m_exchange.OnLeaving([&](peers::IncarnationKey aKey) { received = aKey; });
  m_reader->m_announcedLeaving.OnNotice({ 10, 0 }, now);
  m_follower->m_announcedLeaving.OnNotice({ 20, 0 }, now);
  CHECK(RunUntil([&] { return m_reader->m_announcedLeaving.Contains(20) && received == 10; }));
  CHECK(m_follower->m_announcedLeaving.Contains(10));
}

TEST(PeerNotices, BackoffsReachBothHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  m_reader->m_backoffs.OnNotice({ 10, 1, 9000 }, now);
  m_follower->m_backoffs.OnNotice({ 10, 2, 9000 }, now);
  CHECK(RunUntil([&] {
    return m_reader->m_backoffs.IsInBackoff(10, base::MonotonicNow()) &&
           m_follower->m_backoffs.IsInBackoff(10, base::MonotonicNow());
  }));
}

TEST(PeerNotices, RequestLimitsReachBothHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  m_reader->m_limits.OnAnswer(10, 2.5, now, now);
  m_follower->m_limits.OnAnswer(20, 1.7, now, now);
  CHECK(RunUntil(
    [&] { return m_reader->m_limits.IsLimited(20) && m_follower->m_limits.IsLimited(10); }));
  DOUBLES_EQUAL(2.5, m_follower->m_limits.Limit(10).value_or(0), 0);
}

// Hosts that know a limit only from each other must not keep it alive.
TEST(PeerNotices, ReportedLimitsKeepTheirAge)
{
  const base::TimePoint now = base::MonotonicNow();
  m_reader->m_limits.OnReport({ 10, 2.5, 2'950, false }, now);
  CHECK(RunUntil([&] { return m_reader->m_limits.Reports(base::MonotonicNow()).empty(); }));
  // The age in a message does not grow while it is on its way.
  const base::TimePoint ended = base::MonotonicNow();
  CHECK(RunUntil([&] { return m_follower->m_limits.Reports(base::MonotonicNow()).empty(); }));
  constexpr auto kMaxTransitTime = 50ms;
  CHECK(base::MonotonicNow() - ended < kMaxTransitTime);
}

TEST(PeerNotices, CrashedEndpointsAreCountedAcrossHosts)
{
  const base::TimePoint now = base::MonotonicNow();
  const quarantine::ContentKey request{ 1, 2 };
  m_reader->m_crashes.OnConnectionBroken(request, 10, now, now);
  m_follower->m_crashes.OnConnectionBroken(request, 20, now, now);
  m_follower->m_crashes.OnConnectionBroken(request, 30, now, now);
  CHECK(RunUntil([&] {
    return m_reader->m_crashes.IsQuarantined(request) &&
           m_follower->m_crashes.IsQuarantined(request);
  }));
  // A host that has answered the request completely lifts the quarantine on all hosts.
  m_follower->m_crashes.OnCompleteAnswer(request);
  CHECK(RunUntil([&] { return !m_reader->m_crashes.IsQuarantined(request); }));
}

TEST(PeerNotices, AHostIsIsolatedWhenKnownPeersAreSilent)
{
  CHECK(RunUntil([&] { return !m_follower->m_exchange.IsIsolated(1h, base::MonotonicNow()); }));
  CHECK(RunUntil([&] { return !m_reader->m_exchange.IsIsolated(1h, base::MonotonicNow()); }));
  CHECK(
    RunUntil([&] { return m_follower->m_exchange.IsIsolated(1s, base::MonotonicNow() + 1min); }));
  PeerHost single(m_loop, *m_client, "single", 1);
  CHECK(single.m_exchange.Start().has_value());
  CHECK_FALSE(single.m_exchange.IsIsolated(1s, base::MonotonicNow() + 1min));
  single.m_exchange.Stop();
}

TEST(PeerNotices, CrashNoticesAreResentAfterAReaderRestarts)
{
  std::uint64_t incarnation = 1;
  std::vector<std::size_t> noticeCounts;
  const auto answer = [&](const net::HttpRequest& aRequest,
                          const std::shared_ptr<net::HttpReply>& aReply) {
    noticeCounts.push_back(peers::DecodeSyncRequest(aRequest.m_body)->m_crashes.size());
    peers::SyncReply reply;
    reply.m_incarnation = incarnation;
    aReply->Send(200, {}, peers::Encode(reply));
  };
  const auto server = std::move(*net::HttpServer::Create(m_loop, {}, answer));
  const peers::Peer strong{ "strong", "z", net::ToString(server->ListenAddress()), 9 };
  PeerHost host(m_loop, *m_client, "weak", 1);
  host.m_log.AppendKeyed("hosts", "strong", peers::Encode(strong), [](const auto&) {});
  host.m_crashes.OnConnectionBroken({ 1, 2 }, 10, base::MonotonicNow(), base::MonotonicNow());
  CHECK(host.m_exchange.Start().has_value());
  CHECK(RunUntil([&] { return noticeCounts.size() >= 3; }));
  LONGS_EQUAL(1, noticeCounts[0]);
  LONGS_EQUAL(0, noticeCounts[1]); // it has been sent before
  incarnation = 2;
  const std::size_t before = noticeCounts.size();
  CHECK(RunUntil([&] { return noticeCounts.size() >= before + 4; }));
  LONGS_EQUAL(
    1,
    std::count(noticeCounts.begin() + static_cast<std::ptrdiff_t>(before), noticeCounts.end(), 1U));
  host.m_exchange.Stop();
}
