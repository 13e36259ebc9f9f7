// Hosts that cannot reach the endpoints, and hosts that send requests for them.
#include "tests/support/forward_fixture.hpp" // for ForwardFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

namespace {

const base::Failure kNotReady{ base::ErrorCode::NotReady, "", base::RunState::NotRun, {} };

} // namespace

TEST_GROUP_BASE(ExchangeForward, support::ForwardFixture){};

// Hosts that reached no endpoint tried four in turn and refused, while other hosts reached all.
TEST(ExchangeForward, ForwardsWhileEndpointsAreUnreachable)
{
  LoseEndpoints();
  const auto reply = SendRequest("/once/x", "k", "", "body");
  LONGS_EQUAL(1, m_client.m_calls.size());
  STRCMP_EQUAL("http://h2:9/forward", LastCall().m_url.c_str());
  const relay::ForwardedRequest forwarded = LastForwarded();
  STRCMP_EQUAL("r1", forwarded.m_request.m_id.c_str());
  STRCMP_EQUAL("body", forwarded.m_request.m_body.c_str());
  STRCMP_EQUAL("", forwarded.m_request.m_apiKey.c_str());
  STRCMP_EQUAL("lab", forwarded.m_account->m_name.c_str());
  STRCMP_EQUAL("s", forwarded.m_service.c_str());
  LONGS_EQUAL(1, forwarded.m_route.m_maxEndpoints);
  CHECK(*forwarded.m_request.m_deadline <= 5s);
  AnswerThroughHost(200, "answer");
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("answer", reply->m_body.c_str());
  STRCMP_EQUAL("", reply->Header("Ferrytray-Endpoint").c_str());
}

TEST(ExchangeForward, EndpointFailureIsPassedOnToTheCaller)
{
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerThroughHost(500, "error");
  LONGS_EQUAL(500, reply->m_status);
  STRCMP_EQUAL("error", reply->m_body.c_str());
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeForward, TriesAnotherHostAfterDecline)
{
  m_hosts.push_back({ "h3", "z1", "h3:9", 1 });
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  STRCMP_EQUAL("http://h3:9/forward", LastCall().m_url.c_str()); // own zone first
  AnswerWithFailure(kNotReady, true);
  STRCMP_EQUAL("http://h2:9/forward", LastCall().m_url.c_str());
  AnswerThroughHost(200, "answer");
  LONGS_EQUAL(200, reply->m_status);
  SendRequest("/once/x");
  STRCMP_EQUAL("http://h2:9/forward", LastCall().m_url.c_str()); // h3 is in backoff
}

TEST(ExchangeForward, TriesAnotherHostIfOneIsUnreachableOrDoesNotKnowTheCall)
{
  m_hosts = { { "h2", "z2", "h2:9", 1 }, { "h3", "z2", "h3:9", 1 }, { "h4", "z2", "h4:9", 1 } };
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  m_client.Head(400, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(3, m_client.m_calls.size());
  AnswerThroughHost(200, "answer");
  LONGS_EQUAL(200, reply->m_status);
}

TEST(ExchangeForward, RefusesAtOnceIfNoHostCanHelp)
{
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerWithFailure(kNotReady, true);
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
  // Not before the host that declined may be asked again.
  CHECK(std::stod(reply->Header("retry-after")) >= 0.45);
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeForward, RefusalOfTheOtherHostIsPassedOn)
{
  m_hosts.push_back({ "h3", "z2", "h3:9", 1 });
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerWithFailure({ base::ErrorCode::EnginesFull, "", base::RunState::NotRun, 3s }, false);
  LONGS_EQUAL(503, reply->m_status);
  DOUBLES_EQUAL(3, std::stod(reply->Header("retry-after")), 0.01);
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeForward, RequestGoesToOneMoreHostIfOneIsOverloaded)
{
  m_hosts = { { "h2", "z1", "h2:9", 1 }, { "h3", "z2", "h3:9", 1 }, { "h4", "z2", "h4:9", 1 } };
  const base::Failure overloaded{
    base::ErrorCode::EndpointsLimited, "", base::RunState::NotRun, 3s
  };
  LoseEndpoints();
  const auto served = SendRequest("/once/x");
  STRCMP_EQUAL("http://h2:9/forward", LastCall().m_url.c_str()); // own zone first
  AnswerWithFailure(overloaded, false);
  LONGS_EQUAL(2, m_client.m_calls.size());
  AnswerThroughHost(200, "answer");
  LONGS_EQUAL(200, served->m_status);

  const auto refused = SendRequest("/once/x");
  AnswerWithFailure(overloaded, false);
  AnswerWithFailure(overloaded, false);
  LONGS_EQUAL(4, m_client.m_calls.size());
  LONGS_EQUAL(503, refused->m_status);
  DOUBLES_EQUAL(3, std::stod(refused->Header("retry-after")), 0.01);
}

TEST(ExchangeForward, RefusalOfTheOnlyOtherHostIsPassedOn)
{
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  AnswerWithFailure({ base::ErrorCode::EndpointsLimited, "", base::RunState::NotRun, 3s }, false);
  LONGS_EQUAL(503, reply->m_status);
  DOUBLES_EQUAL(3, std::stod(reply->Header("retry-after")), 0.01);
}

TEST(ExchangeForward, LostReplyOfTheOtherHostMayHaveRun)
{
  m_hosts.push_back({ "h3", "z2", "h3:9", 1 });
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("unknown", reply->Header("run").c_str());
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeForward, RepeatableRequestRunsOnAtMostMaxEndpointsOverAllHosts)
{
  m_hosts.push_back({ "h3", "z2", "h3:9", 1 });
  LoseEndpoints();
  const auto reply = SendRequest("/again/x"); // may run on two endpoints
  AnswerThroughHost(500, "error");
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK(LastCallIsForwarded());
  LONGS_EQUAL(1, LastForwarded().m_excluded.count("a"));
  AnswerThroughHost(500, "error");
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(500, reply->m_status);
}

TEST(ExchangeForward, StreamIsResumedThroughAnotherHost)
{
  LoseEndpoints();
  const auto reply = SendRequest("/resume/x");
  m_client.Head(200, relay::WriteForwardReply({}, "a"));
  m_client.Data("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(2, *LastForwarded().m_request.m_resumeAfter);
  AnswerThroughHost(200, "id: 3\ndata: z\n\n");
  STRCMP_EQUAL("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", reply->m_body.c_str());
  CHECK(reply->m_finished);
}

TEST(ExchangeForward, CallIsCancelledIfTheCallerDisconnects)
{
  LoseEndpoints();
  const auto reply = SendRequest("/once/x");
  reply->m_onClosed();
  CHECK(m_client.m_calls.back().m_cancelled);
}

TEST(ExchangeForward, FailedConnectsOfOneRequestLeadToForward)
{
  m_core.m_directory.Upsert(support::MakeEndpoint("c"), base::MonotonicNow());
  m_core.m_directory.Upsert(support::MakeEndpoint("d"), base::MonotonicNow());
  SendRequest("/once/x");
  CHECK_FALSE(LastCallIsForwarded());
  m_client.End(WireEnd::NotSent);
  CHECK_FALSE(LastCallIsForwarded());
  CHECK(LastCall().m_connectTimeout < m_core.m_options.m_connectTimeout);
  m_client.End(WireEnd::NotSent);
  CHECK(LastCallIsForwarded());
}

TEST(ExchangeForward, OpenConnectionsAreUsedWhileNewOnesFail)
{
  LoseEndpoints();
  m_core.m_reachability.OnAnswered(base::MonotonicNow());
  const auto reply = SendRequest("/once/x");
  CHECK_FALSE(LastCallIsForwarded());
  m_client.End(WireEnd::NotSent);
  CHECK(LastCallIsForwarded());
}

TEST(ExchangeForward, EndpointMayBeSilentForASecond)
{
  SendRequest("/once/x");
  CHECK(LastCall().m_peerTimeout > 2s); // two keep-alive probes
}

TEST(ExchangeForward, RequestOfAnotherHostIsSentToAnEndpoint)
{
  const auto reply = ReceiveForwarded(MakeForwarded());
  LONGS_EQUAL(1, m_core.m_openForwards);
  CHECK_FALSE(LastCallIsForwarded());
  const std::string endpoint = SentHeader("to");
  m_client.Head(200, { { "Ferrytray-Failure", "1 0 0 0" }, { "x", "y" } });
  m_client.Data("answer");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("answer", reply->m_body.c_str());
  STRCMP_EQUAL(endpoint.c_str(), reply->Header("Ferrytray-Endpoint").c_str());
  STRCMP_EQUAL("", reply->Header("Ferrytray-Failure").c_str()); // not the endpoint's to set
  STRCMP_EQUAL("y", reply->Header("x").c_str());
  reply->m_onClosed = {};
  LONGS_EQUAL(0, m_core.m_openForwards);
}

TEST(ExchangeForward, RequestOfAnotherHostIsNotForwardedAgain)
{
  const auto reply = ReceiveForwarded(MakeForwarded());
  m_client.End(WireEnd::NotSent);
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK_FALSE(LastCallIsForwarded());
  net::Headers headers = reply->m_headers;
  const relay::ForwardReply failed = relay::TakeForwardReply(headers);
  CHECK(failed.m_failure->m_declined); // another host may reach an endpoint
  CHECK(failed.m_failure->m_failure.m_run == base::RunState::NotRun);
}

TEST(ExchangeForward, ExcludedEndpointIsNotUsed)
{
  for (int i = 0; i < 10; ++i) {
    relay::ForwardedRequest forwarded = MakeForwarded();
    forwarded.m_excluded = { "a" };
    ReceiveForwarded(forwarded);
    STRCMP_EQUAL("b", SentHeader("to").c_str());
  }
}

TEST(ExchangeForward, RequestOfAnotherHostRunsOnOneEndpoint)
{
  const auto reply = ReceiveForwarded(MakeForwarded(true));
  m_client.Head(500, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(500, reply->m_status);
}

TEST(ExchangeForward, ReportsThatRequestOfAnotherHostMayHaveRun)
{
  const auto reply = ReceiveForwarded(MakeForwarded());
  m_client.End(WireEnd::NoReply);
  net::Headers headers = reply->m_headers;
  const relay::ForwardReply failed = relay::TakeForwardReply(headers);
  CHECK(failed.m_failure->m_failure.m_run == base::RunState::Unknown);
  CHECK_FALSE(failed.m_failure->m_declined);
}

TEST(ExchangeForward, DeclinesIfItCannotHelp)
{
  const auto declines = [&] {
    const std::size_t calls = m_client.m_calls.size();
    const auto reply = ReceiveForwarded(MakeForwarded());
    net::Headers headers = reply->m_headers;
    const relay::ForwardReply failed = relay::TakeForwardReply(headers);
    return m_client.m_calls.size() == calls && failed.m_failure && failed.m_failure->m_declined;
  };
  m_core.m_stopping = true;
  CHECK(declines());
  m_core.m_stopping = false;
  m_core.m_crashesLoaded = false;
  CHECK(declines());
  m_core.m_crashesLoaded = true;
  CHECK_FALSE(declines());
  LoseEndpoints();
  CHECK(declines());
}

TEST(ExchangeForward, DeclinesBeyondTheLimitOfOpenRequests)
{
  m_core.m_openForwards = relay::ForwardReceiverOptions{}.m_maxOpen;
  CHECK(ReceiveForwarded(MakeForwarded())->m_finished);
  LONGS_EQUAL(0, m_client.m_calls.size());
  m_core.m_openForwards = 0;
}
