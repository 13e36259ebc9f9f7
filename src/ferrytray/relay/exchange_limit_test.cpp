// Requests to endpoints that name a limit on the requests of all hosts.
#include <algorithm> // for count_if

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/permit_client.hpp"     // for PermitClient
#include "ferrytray/relay/request_limits.hpp"    // for RecordRequestLimit
#include "tests/support/peer_host_fixture.hpp"   // for PeerHostFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

/// A host that issues permits itself, or asks another one whose replies the test provides.
TEST_GROUP_BASE(ExchangeLimit, support::PeerHostFixture)
{
  std::optional<relay::PermitClient> m_permitClient;

  void StartHost(bool aOtherIssues = false)
  {
    if (aOtherIssues) {
      AddStrongHost();
    }
    StartPeerExchange(0, 1);
    m_permitClient.emplace(m_core, *m_peerExchange);
    AwaitHosts();
    m_core.m_permitClient = &*m_permitClient;
  }

  void Limit(const char* aEndpoint, double aPerSecond)
  {
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_endpointLimits.OnAnswer(peers::KeyOf(aEndpoint), aPerSecond, now, now);
  }
  [[nodiscard]] std::size_t SentTo(const char* aEndpoint) const
  {
    const std::string address = std::string(aEndpoint) + ":1";
    return static_cast<std::size_t>(
      std::count_if(m_client.m_calls.begin(), m_client.m_calls.end(), [&](const auto& aCall) {
        return aCall.m_request.m_url == address;
      }));
  }
  void AnswerPermitRequest(const peers::PermitReply& aReply)
  {
    m_client.Head(200, {});
    m_client.Data(peers::Encode(aReply));
    m_client.End(WireEnd::Complete);
  }
};

// Each host went on sending an endpoint its usual share after the endpoint had named a limit.
TEST(ExchangeLimit, LimitedEndpointGetsItsLimitAndOthersServeTheRest)
{
  StartHost();
  SendRequest("/once/x");
  const std::string limited = SentHeader("to");
  m_client.Head(200, { { "limit", "1" } });
  m_client.End(WireEnd::Complete);
  m_client.m_calls.clear();
  for (int i = 0; i < 60; ++i) {
    const char* model = i % 2 == 0 ? "" : "m";
    CHECK_FALSE(SendRequest(i % 2 == 0 ? "/again/x" : "/resume/x", "k", model)->m_finished);
  }
  CHECK(SentTo(limited.c_str()) <= 2);
  LONGS_EQUAL(60, SentTo("a") + SentTo("b"));
}

TEST(ExchangeLimit, RefusesAtOnceIfAllEndpointsAreAtTheirLimits)
{
  StartHost();
  Limit("a", 1);
  Limit("b", 1);
  std::shared_ptr<support::FakeReply> last;
  for (int i = 0; i < 10; ++i) {
    last = SendRequest("/again/x");
  }
  LONGS_EQUAL(503, last->m_status);
  STRCMP_EQUAL("not_run", last->Header("run").c_str());
  STRCMP_EQUAL("yes", last->Header("come-back").c_str());
  CHECK(m_client.m_calls.size() <= 4);
}

TEST(ExchangeLimit, LimitIsUsedAgainAfterSomeTime)
{
  StartHost();
  Limit("a", 20);
  Limit("b", 20);
  for (int i = 0; i < 100 && !SendRequest("/again/x")->m_finished; ++i) {
  }
  const std::size_t sent = m_client.m_calls.size();
  m_loop.RunFor(500ms);
  SendRequest("/again/x");
  LONGS_EQUAL(sent + 1, m_client.m_calls.size());
}

TEST(ExchangeLimit, RetriesNeedPermits)
{
  StartHost();
  Limit("a", 1);
  Limit("b", 1);
  std::size_t sends = 0;
  for (int i = 0; i < 10; ++i) {
    const auto reply = SendRequest("/again/x");
    for (int attempt = 0; attempt < 10 && !reply->m_finished; ++attempt) {
      ++sends;
      m_client.Head(503, { { "not-run", "1" }, { "limit", "1" } });
      m_client.End(WireEnd::Complete);
    }
  }
  CHECK(sends <= 4);
}

TEST(ExchangeLimit, LimitOfAnotherEndpointAtTheAddressIsIgnored)
{
  StartHost();
  SendRequest("/once/x");
  m_client.Head(421, { { "misdirected", "1" }, { "incarnation", "other" }, { "limit", "0" } });
  LONGS_EQUAL(0, m_core.m_endpointLimits.Count());
}

TEST(ExchangeLimit, RequestWaitsForThePermitOfTheIssuer)
{
  StartHost(true);
  Limit("a", 2.5);
  Limit("b", 2.5);
  SendRequest("/once/x");
  LONGS_EQUAL(1, m_client.m_calls.size());
  STRCMP_EQUAL("http://10.0.0.1:7/permits", m_client.m_calls.back().m_request.m_url.c_str());
  AnswerPermitRequest({ 1, false, 0 });
  LONGS_EQUAL(1, SentTo("a") + SentTo("b"));
}

TEST(ExchangeLimit, DeniedPermitSendsTheRequestElsewhere)
{
  StartHost(true);
  Limit("a", 2.5);
  for (int i = 0; i < 1000 && SentTo("a") + SentTo("b") == m_client.m_calls.size(); ++i) {
    SendRequest("/once/x"); // until one is to go to the limited endpoint
  }
  const std::size_t before = SentTo("b");
  AnswerPermitRequest({ 0, false, 400 });
  LONGS_EQUAL(before + 1, SentTo("b"));
  const std::size_t calls = m_client.m_calls.size();
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x");
  }
  LONGS_EQUAL(calls + 20, m_client.m_calls.size()); // no further requests for permits
  LONGS_EQUAL(0, SentTo("a"));
}

TEST(ExchangeLimit, SilentIssuerDoesNotHoldRequestsUp)
{
  StartHost(true);
  Limit("a", 2.5);
  Limit("b", 2.5);
  const auto reply = SendRequest("/once/x");
  m_client.End(WireEnd::NoReply);
  // This host issues permits itself now, at a reduced rate.
  CHECK(SentTo("a") + SentTo("b") == 1 || reply->m_status == 503);
  std::size_t asked = m_client.m_calls.size();
  SendRequest("/once/x");
  CHECK(m_client.m_calls.size() - asked <= 1);
  STRCMP_EQUAL("http://10.0.0.1:7/permits", m_client.m_calls.front().m_request.m_url.c_str());
}

TEST(ExchangeLimit, NothingIsSentForACallerThatLeftMeanwhile)
{
  StartHost(true);
  Limit("a", 2.5);
  Limit("b", 2.5);
  const auto reply = SendRequest("/once/x");
  reply->m_onClosed();
  AnswerPermitRequest({ 1, false, 0 });
  LONGS_EQUAL(0, SentTo("a") + SentTo("b"));
}

TEST(ExchangeLimit, EndedLimitNeedsNoFurtherPermits)
{
  StartHost(true);
  Limit("a", 2.5);
  Limit("b", 2.5);
  SendRequest("/once/x");
  AnswerPermitRequest({ 0, true, 0 });
  LONGS_EQUAL(1, SentTo("a") + SentTo("b"));
  LONGS_EQUAL(1, m_core.m_endpointLimits.Count());
}

TEST(ExchangeLimit, InvalidLimitKeepsTheKnownOne)
{
  StartHost();
  Limit("a", 2.5);
  relay::ReplyHead head;
  head.m_invalidRequestLimit = true;
  const base::TimePoint now = base::MonotonicNow();
  relay::RecordRequestLimit(m_core, "a", head, now, now);
  relay::RecordRequestLimit(m_core, "b", head, now, now);
  CHECK_FALSE(m_core.m_endpointLimits.ReportOf(peers::KeyOf("a"), now)->m_lifted);
  LONGS_EQUAL(1, m_core.m_endpointLimits.Count());
  DOUBLES_EQUAL(2, m_core.m_metrics.Counter("endpoint_limits_invalid_total"), 0);
}
