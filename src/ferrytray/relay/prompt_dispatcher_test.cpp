#include "ferrytray/relay/prompt_dispatcher.hpp"

#include <vector> // for vector

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/permit_client.hpp"     // for PermitClient
#include "tests/support/peer_host_fixture.hpp"   // for PeerHostFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;
using support::kLongPromptTokens;

/// A host that assigns prompts itself, or asks a host of higher capacity whose replies the test
/// provides.
TEST_GROUP_BASE(PromptDispatcher, support::PeerHostFixture)
{
  std::optional<relay::PromptDispatcher> m_dispatcher;

  void StartDispatcher(std::uint32_t aCapacity)
  {
    AddStrongHost();
    StartPeerExchange(aCapacity);
    m_dispatcher.emplace(m_core, *m_peerExchange);
    AwaitHosts();
    m_core.m_dispatcher = &*m_dispatcher;
  }

  peers::PlacementRequest PlacementRequestFor(const char* aKey)
  {
    return { "h", "s", "m", "", aKey, kLongPromptTokens, kLongPromptTokens, kLongPromptTokens,
             {},  0,   0 };
  }
};

// Replies are long and engines are full; load reports of other hosts arrive too late to show it.
TEST(PromptDispatcher, RefusesPromptsBeyondEngineMemory)
{
  StartDispatcher(9);
  std::size_t sent = 0;
  std::shared_ptr<support::FakeReply> last;
  for (int i = 0; i < 20; ++i) {
    last = SendRequest("/stream/x", "k", "long");
    sent = m_client.m_calls.size();
  }
  // Two engines of 70,000 tokens, filled to 0.8 each, and one more prompt.
  CHECK(sent >= 8 && sent <= 10);
  LONGS_EQUAL(503, last->m_status);
  STRCMP_EQUAL("not_run", last->Header("run").c_str());
}

// Hosts obtain the permits for limited engines themselves, so an assigned one would often be
// denied.
TEST(PromptDispatcher, LimitedEngineIsNotAssigned)
{
  StartDispatcher(9);
  relay::PermitClient permits(m_core, *m_peerExchange);
  m_core.m_permitClient = &permits;
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_endpointLimits.OnAnswer(peers::KeyOf("a"), 2.5, now, now);
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("b", m_dispatcher->AssignEngine(PlacementRequestFor("k")).m_engine.c_str());
  }
  // With all engines limited, the host chooses one itself and is not refused.
  m_core.m_endpointLimits.OnAnswer(peers::KeyOf("b"), 2.5, now, now);
  const peers::PlacementReply reply = m_dispatcher->AssignEngine(PlacementRequestFor("k"));
  CHECK(reply.m_engine.empty());
  CHECK_FALSE(reply.m_memoryFull);
  m_core.m_permitClient = nullptr;
}

// The directory still lists crashed engines.
TEST(PromptDispatcher, EngineUnreachableByRequestingHostIsNotAssigned)
{
  StartDispatcher(9);
  peers::PlacementRequest request = PlacementRequestFor("k");
  request.m_tokens = 100; // small enough for several to fit
  request.m_unreachable = { peers::TagOf("a") };
  for (int i = 0; i < 4; ++i) {
    STRCMP_EQUAL("b", m_dispatcher->AssignEngine(request).m_engine.c_str());
  }
  request.m_host = "h2";
  m_dispatcher->AssignEngine(request);
  request.m_unreachable.clear();
  request.m_host = "h3"; // has not tried the engine
  STRCMP_EQUAL("b", m_dispatcher->AssignEngine(request).m_engine.c_str());
}

// Long prompts arrive together, more of them with one home engine than it can read in time.
TEST(PromptDispatcher, SimultaneousPromptsGetDifferentEngines)
{
  StartDispatcher(9);
  SendRequest("/stream/x", "k", "long");
  const std::string first = SentHeader("to");
  SendRequest("/stream/x", "k", "long");
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK(first != SentHeader("to"));
}

TEST(PromptDispatcher, ReloadingEngineIsNotAssigned)
{
  StartDispatcher(9);
  m_core.m_reloads.OnNotice({ peers::TagOf("a"), "m", 2, 1500, 1 }, base::MonotonicNow());
  for (const char* key : { "k1", "k2", "k3", "k4" }) {
    STRCMP_EQUAL("b", m_dispatcher->AssignEngine(PlacementRequestFor(key)).m_engine.c_str());
  }
}

TEST(PromptDispatcher, AssignsOnlyEnginesOfRequestedZone)
{
  StartDispatcher(9);
  fleet::Endpoint far = support::MakeEndpoint("c");
  far.m_zone = "far";
  m_core.m_directory.Upsert(far, base::MonotonicNow());
  peers::PlacementRequest request = PlacementRequestFor("k");
  request.m_zone = "far";
  for (int i = 0; i < 3; ++i) {
    STRCMP_EQUAL("c", m_dispatcher->AssignEngine(request).m_engine.c_str());
  }
  request.m_zone = "nowhere";
  CHECK(m_dispatcher->AssignEngine(request).m_engine.empty());
  request.m_service = "unknown";
  CHECK(m_dispatcher->AssignEngine(request).m_engine.empty());
}

// Two hosts that reached no engine reported all of them, and no host got one assigned.
TEST(PromptDispatcher, PartitionedHostReportsNoEngineAsUnreachable)
{
  StartDispatcher(1);
  const base::TimePoint now = base::MonotonicNow();
  const auto reported = [&] {
    SendRequest("/stream/x", "k", "long");
    const auto request =
      peers::DecodePlacementRequest(m_client.m_calls.back().m_request.m_body).value();
    return request.m_unreachable.size();
  };
  m_core.m_endpointTracker.OnUnreachable("a", now);
  m_core.m_endpointTracker.OnUnreachable("b", now);
  LONGS_EQUAL(2, reported());
  m_core.m_reachability.OnConnectFailed("a", "", { 2, 1 }, now);
  m_core.m_reachability.OnConnectFailed("b", "", { 2, 1 }, now);
  LONGS_EQUAL(0, reported());
}

TEST(PromptDispatcher, PartitionedHostAssignsEnginesThatOthersReach)
{
  StartDispatcher(9);
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_endpointTracker.OnUnreachable("a", now);
  m_core.m_endpointTracker.OnUnreachable("b", now);
  CHECK(m_dispatcher->AssignEngine(PlacementRequestFor("k")).m_engine.empty());
  m_core.m_reachability.OnConnectFailed("a", "", { 2, 1 }, now);
  m_core.m_reachability.OnConnectFailed("b", "", { 2, 1 }, now);
  CHECK_FALSE(m_dispatcher->AssignEngine(PlacementRequestFor("k")).m_engine.empty());
}

TEST(PromptDispatcher, UsesAssignmentOfHigherCapacityHost)
{
  StartDispatcher(1);
  for (const char* engine : { "a", "b" }) {
    SendRequest("/stream/x", "k", "long");
    STRCMP_EQUAL("http://10.0.0.1:7/placement", m_client.m_calls.back().m_request.m_url.c_str());
    m_client.Head(200, {});
    m_client.Data(peers::Encode(peers::PlacementReply{ engine, "", true, false }));
    m_client.End(WireEnd::Complete);
    STRCMP_EQUAL(engine, SentHeader("to").c_str());
  }
}

TEST(PromptDispatcher, FallsBackToHomeAndBacksOffWithoutAssignment)
{
  StartDispatcher(1);
  SendRequest("/stream/x", "k", "long");
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(SentHeader("to").empty());
  SendRequest("/stream/x", "k", "long");
  LONGS_EQUAL(3, m_client.m_calls.size());
  CHECK_FALSE(SentHeader("to").empty());
}

TEST(PromptDispatcher, IgnoresAssignmentOfUnknownOrRefusingEngine)
{
  StartDispatcher(1);
  SendRequest("/stream/x", "k", "long");
  m_client.Head(200, {});
  m_client.Data(peers::Encode(peers::PlacementReply{ "unknown", "unknown", false, false }));
  m_client.End(WireEnd::Complete);
  const std::string first = SentHeader("to");
  CHECK(first == "a" || first == "b");
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete);
  CHECK(first != SentHeader("to"));
}

TEST(PromptDispatcher, CallerDisconnectDuringAssignmentSendsNothing)
{
  StartDispatcher(1);
  const auto reply = SendRequest("/stream/x", "k", "long");
  reply->m_onClosed();
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(PromptDispatcher, ShortPromptsAndPlainRequestsNeedNoAssignment)
{
  StartDispatcher(1);
  SendRequest("/stream/x", "k", "m");
  SendRequest("/once/x");
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(SentHeader("to").empty());
}
