// Endpoints that refuse requests and name a delay during which they want none.
#include <algorithm> // for count_if, max, min
#include <cstdlib>   // for strtod

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "tests/support/send_path_fixture.hpp"   // for SendPathFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;
using support::kLongPromptTokens;

TEST_GROUP_BASE(ExchangeBackoff,
                support::SendPathFixture){ /// @return the endpoint
                                           std::string RefuseLastCall(const char* aDelay = "3"){
                                             const std::string endpoint = SentHeader("to");
m_client.Head(503, { { "not-run", "1" }, { "retry-after", aDelay } });
m_client.End(WireEnd::Complete);
return endpoint;
}
void BackOff(const char* aEndpoint, base::Duration aDelay)
{
  m_core.m_endpointBackoffs.OnRefused(peers::KeyOf(aEndpoint), aDelay, base::MonotonicNow());
}
[[nodiscard]] std::size_t SentTo(const std::string& aEndpoint) const
{
  return static_cast<std::size_t>(
    std::count_if(m_client.m_calls.begin(), m_client.m_calls.end(), [&](const auto& aCall) {
      return aCall.m_request.m_url == aEndpoint + ":1";
    }));
}
static double RetryAfter(const support::FakeReply& aReply)
{
  return std::strtod(aReply.Header("retry-after").c_str(), nullptr);
}
}
;

// Hosts returned every 150 ms to endpoints that had asked for 3 s.
TEST(ExchangeBackoff, EndpointGetsNoRequestsDuringItsDelay)
{
  const auto refused = SendRequest("/once/x");
  const std::string endpoint = RefuseLastCall();
  LONGS_EQUAL(2, m_client.m_calls.size()); // retried elsewhere
  CHECK_FALSE(refused->m_finished);
  m_loop.RunFor(200ms);
  for (int i = 0; i < 40; ++i) {
    const char* path = i % 2 == 0 ? "/again/x" : "/resume/x";
    CHECK_FALSE(SendRequest(path, "k", i % 4 == 1 ? "m" : "")->m_finished);
  }
  LONGS_EQUAL(1, SentTo(endpoint));
  LONGS_EQUAL(42, m_client.m_calls.size());
}

TEST(ExchangeBackoff, EndpointGetsRequestsAfterItsDelay)
{
  BackOff("a", 100ms);
  BackOff("b", 100ms);
  LONGS_EQUAL(503, SendRequest("/once/x")->m_status);
  m_loop.RunFor(110ms);
  CHECK_FALSE(SendRequest("/once/x")->m_finished);
}

TEST(ExchangeBackoff, RequestIsRefusedAtOnceIfAllEndpointsAreInBackoff)
{
  SendRequest("/again/x");
  RefuseLastCall("3");
  const auto last = SendRequest("/again/x"); // at the other endpoint
  RefuseLastCall("2");
  LONGS_EQUAL(503, last->m_status);
  LONGS_EQUAL(3, m_client.m_calls.size());
  double earliest = 1e9;
  double latest = 0;
  for (int i = 0; i < 50; ++i) {
    const auto reply = SendRequest("/again/x");
    LONGS_EQUAL(503, reply->m_status);
    STRCMP_EQUAL("not_run", reply->Header("run").c_str());
    earliest = std::min(earliest, RetryAfter(*reply));
    latest = std::max(latest, RetryAfter(*reply));
  }
  LONGS_EQUAL(3, m_client.m_calls.size());
  CHECK(earliest > 1.9 && latest < 2.51);
  CHECK(latest - earliest > 0.1); // callers return at different times
}

TEST(ExchangeBackoff, RefusalNamesTheEndOfTheEarliestBackoff)
{
  const auto reply = SendRequest("/again/x");
  RefuseLastCall("3");
  RefuseLastCall("1");
  LONGS_EQUAL(503, reply->m_status);
  CHECK(RetryAfter(*reply) > 0.9 && RetryAfter(*reply) < 1.51);
}

TEST(ExchangeBackoff, EndpointThatRefusedWithoutADelayMayBeTriedSoon)
{
  BackOff("a", 3s);
  const auto reply = SendRequest("/again/x");
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(503, reply->m_status);
  CHECK(RetryAfter(*reply) < 0.5);
}

TEST(ExchangeBackoff, RequestThatMayHaveRunIsNotReportedAsNotRun)
{
  BackOff("a", 3s);
  const auto reply = SendRequest("/again/x");
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("unknown", reply->Header("run").c_str());
}

TEST(ExchangeBackoff, AnswersOfOthersAreIgnored)
{
  SendRequest("/once/x");
  m_client.Head(421,
                { { "misdirected", "1" }, { "incarnation", "other" }, { "retry-after", "3" } });
  m_client.End(WireEnd::Complete);
  m_client.Head(503, { { "id", "other request" }, { "retry-after", "3" } });
  m_client.End(WireEnd::Complete);
  CHECK(m_core.m_endpointBackoffs.Empty());
}

TEST(ExchangeBackoff, NewIncarnationIsNotInBackoff)
{
  BackOff("a", 3s);
  BackOff("b", 3s);
  fleet::Endpoint restarted = support::MakeEndpoint("a");
  restarted.m_startTime = 1;
  restarted.m_incarnation = fleet::IncarnationOf("a", 1);
  m_core.m_directory.Upsert(restarted, base::MonotonicNow());
  CHECK_FALSE(SendRequest("/once/x")->m_finished);
  LONGS_EQUAL(1, SentTo("a"));
}

// All hosts that an endpoint refused at the same time return at the same time.
TEST(ExchangeBackoff, LoadReturnsGradually)
{
  BackOff("a", 50ms);
  m_loop.RunFor(60ms);
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x");
  }
  LONGS_EQUAL(2, SentTo("a"));
  LONGS_EQUAL(18, SentTo("b"));
}

TEST(ExchangeBackoff, SlowStartRefusesNothing)
{
  BackOff("a", 50ms);
  BackOff("b", 50ms);
  m_loop.RunFor(60ms);
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(SendRequest("/once/x")->m_finished);
  }
}

// A host that sends few requests would be refused by each overloaded endpoint in turn.
TEST(ExchangeBackoff, EndpointInBackoffForOtherHostsIsUsedLast)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_reportedBackoffs.OnNotice({ peers::KeyOf("a"), 1, 3000 }, now);
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x");
  }
  CHECK(SentTo("a") > 0); // it may have room for other hosts than one
  const std::size_t before = SentTo("a");
  m_core.m_reportedBackoffs.OnNotice({ peers::KeyOf("a"), 2, 3000 }, now);
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x");
  }
  LONGS_EQUAL(before, SentTo("a"));
  m_core.m_directory.MarkGone("b");
  CHECK_FALSE(SendRequest("/once/x")->m_finished);
  LONGS_EQUAL(before + 1, SentTo("a"));
}

TEST(ExchangeBackoff, RefusalsAreReportedToOtherHosts)
{
  m_core.m_options.m_hostKey = 17;
  SendRequest("/once/x");
  const std::string endpoint = RefuseLastCall("2.5");
  const auto notices = m_core.m_reportedBackoffs.Notices(base::MonotonicNow());
  LONGS_EQUAL(1, notices.size());
  CHECK(notices.at(0).m_endpoint == peers::KeyOf(endpoint));
  LONGS_EQUAL(17, notices.at(0).m_host);
  CHECK(notices.at(0).m_endsInMillis > 2400 && notices.at(0).m_endsInMillis <= 2500);
}

TEST(ExchangeBackoff, EngineInBackoffIsNotAssigned)
{
  m_dispatcher.emplace(m_core, *m_peerExchange);
  AwaitHosts();
  BackOff("a", 3s);
  const peers::PlacementRequest request{
    "h", "s", "m", "", "k", 100, 100, 100, {}, 0, 0,
  };
  for (int i = 0; i < 4; ++i) {
    STRCMP_EQUAL("b", m_dispatcher->AssignEngine(request).m_engine.c_str());
  }
  // The requesting host may not have been asked to back off.
  BackOff("b", 3s);
  const peers::PlacementReply reply = m_dispatcher->AssignEngine(request);
  CHECK(reply.m_engine.empty());
  CHECK_FALSE(reply.m_memoryFull);
}

TEST(ExchangeBackoff, DispatcherIsToldOfTheBackoffsOfTheRequestingHost)
{
  UseRemoteDispatcher();
  BackOff("a", 3s);
  SendRequest("/stream/x", "k", "long");
  const auto request = peers::DecodePlacementRequest(m_client.m_calls.back().m_request.m_body);
  CHECK(request.has_value());
  LONGS_EQUAL(1, request->m_unreachable.size());
  CHECK(request->m_unreachable.at(0) == peers::TagOf("a"));
}

// Another host chose the engine, and was not asked to back off.
TEST(ExchangeBackoff, AssignedEngineIsNotUsed)
{
  UseRemoteDispatcher();
  SendRequest("/stream/x", "k", "long");
  BackOff("a", 3s); // by another answer, while the dispatcher is asked
  AssignEngine("a");
  STRCMP_EQUAL("b", SentHeader("to").c_str());
}

TEST(ExchangeBackoff, EndpointIsCheckedAgainAfterWaitingForAPermit)
{
  const auto reply = SendRequestThatNeedsPermit();
  LONGS_EQUAL(1, m_client.m_calls.size()); // the request for a permit
  BackOff("a", 3s);
  GrantPermit();
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
}
