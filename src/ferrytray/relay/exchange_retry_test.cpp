// The retry budget: on no path does a request reach a second endpoint without a retry.
#include "tests/support/forward_fixture.hpp" // for ForwardFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

namespace {

const base::Failure kRejected{ base::ErrorCode::EndpointRefused, "", base::RunState::NotRun, {} };
const base::Failure kNotReady{ base::ErrorCode::NotReady, "", base::RunState::NotRun, {} };

struct RetryFixture : public support::ForwardFixture
{
  void Exhaust(base::Duration aAgo = base::Duration::zero())
  {
    while (m_core.m_retryWindow.TryRetry("s", base::MonotonicNow() - aAgo)) {
    }
  }
  void LeaveOneRetry()
  {
    while (m_core.m_retryWindow.Remaining("s", base::MonotonicNow()) >= 2) {
      CHECK(m_core.m_retryWindow.TryRetry("s", base::MonotonicNow()));
    }
  }
  void Reject()
  {
    m_client.Head(503, { { "not-run", "1" } });
    m_client.End(WireEnd::Complete);
  }
};

} // namespace

TEST_GROUP_BASE(ExchangeRetry, RetryFixture){};

TEST(ExchangeRetry, RejectedRequestNeedsOneRetryPerFurtherSend)
{
  m_core.m_directory.Upsert(support::MakeEndpoint("c"), base::MonotonicNow());
  LeaveOneRetry();
  const auto reply = SendRequest("/once/x");
  Reject();
  LONGS_EQUAL(2, m_client.m_calls.size());
  Reject();
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
}

TEST(ExchangeRetry, BrokenRequestIsNotRepeatedWithoutRetry)
{
  Exhaust();
  const auto reply = SendRequest("/again/x");
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(502, reply->m_status);
}

TEST(ExchangeRetry, StreamIsNotResumedWithoutRetry)
{
  Exhaust();
  const auto reply = SendRequest("/resume/x");
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(1, m_client.m_calls.size());
  CHECK(reply->m_aborted);
}

// A retry whose connection is refused is not used up: nothing arrived.
TEST(ExchangeRetry, RetryIsKeptUntilASendArrives)
{
  m_core.m_directory.Upsert(support::MakeEndpoint("c"), base::MonotonicNow());
  LeaveOneRetry();
  const auto reply = SendRequest("/once/x");
  Reject();
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(3, m_client.m_calls.size());
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
}

// Regression: a request that an endpoint had rejected behind another host was sent on to up to
// five more hosts without asking the budget.
TEST(ExchangeRetry, RejectionBehindAnotherHostCountsAsArrival)
{
  m_hosts = { { "h2", "z2", "h2:9", 1 }, { "h3", "z2", "h3:9", 1 }, { "h4", "z2", "h4:9", 1 } };
  LeaveOneRetry();
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerWithFailure(kRejected, true, true);
  LONGS_EQUAL(2, m_client.m_calls.size()); // with the only retry
  AnswerWithFailure(kRejected, true, true);
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
}

TEST(ExchangeRetry, OverloadBehindAnotherHostCountsAsArrival)
{
  m_hosts = { { "h2", "z1", "h2:9", 1 }, { "h3", "z2", "h3:9", 1 } };
  Exhaust();
  LoseEndpoints();
  SendRequest("/once/x");
  AnswerWithFailure(
    { base::ErrorCode::EndpointsLimited, "", base::RunState::NotRun, 3s }, false, true);
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeRetry, HostsThatDeclineCostNoRetry)
{
  m_hosts = { { "h2", "z2", "h2:9", 1 }, { "h3", "z3", "h3:9", 1 }, { "h4", "z4", "h4:9", 1 } };
  Exhaust();
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerWithFailure(kNotReady, true);
  AnswerWithFailure(kNotReady, true);
  LONGS_EQUAL(3, m_client.m_calls.size());
  AnswerThroughHost(200, "answer");
  LONGS_EQUAL(200, reply->m_status);
}

TEST(ExchangeRetry, RequestThatWasRejectedHereIsForwardedOnlyWithARetry)
{
  Exhaust();
  const auto reply = SendRequest("/once/x");
  LoseEndpoints();
  Reject();
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
}

TEST(ExchangeRetry, ForwardedRequestUsesTheBudgetOfTheHostThatSendsIt)
{
  Exhaust();
  const auto reply = ReceiveForwarded(MakeForwarded());
  LONGS_EQUAL(1, m_client.m_calls.size()); // the forwarding host counts the first send
  Reject();
  LONGS_EQUAL(1, m_client.m_calls.size());
  net::Headers headers = reply->m_headers;
  CHECK(relay::TakeForwardReply(headers).m_failure->m_arrived);
}

TEST(ExchangeRetry, ForwardedRequestEarnsNothing)
{
  Exhaust(1s);
  for (int i = 0; i < 200; ++i) {
    ReceiveForwarded(MakeForwarded());
  }
  const double remaining = m_core.m_retryWindow.Remaining("s", base::MonotonicNow() + 300ms);
  CHECK(remaining < 3); // earned in the 1.3 s since then by the requests of the fixture
  for (int i = 0; i < 200; ++i) {
    SendRequest("/once/x");
  }
  CHECK(m_core.m_retryWindow.Remaining("s", base::MonotonicNow() + 300ms) > remaining + 5);
}

TEST(ExchangeRetry, RefusedRequestsEarnRetries)
{
  m_core.m_directory.MarkGone("a");
  m_core.m_directory.MarkGone("b");
  Exhaust(1s);
  for (int i = 0; i < 200; ++i) {
    LONGS_EQUAL(503, SendRequest("/once/x")->m_status);
  }
  CHECK(m_core.m_retryWindow.TryRetry("s", base::MonotonicNow() + 300ms));
}

TEST(ExchangeRetry, HostsOfEarlierVersionsDoNotReportArrivals)
{
  net::Headers headers{ { "Ferrytray-Failure", "4003 0 250 1" } };
  const relay::ForwardReply reply = relay::TakeForwardReply(headers);
  CHECK(reply.m_failure->m_declined);
  CHECK(reply.m_failure->m_arrived);
}
