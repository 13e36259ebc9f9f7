#include <csignal> // for SIGTERM, SIGSTOP

#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

ferrytray::net::Headers IdempotencyHeaders(const std::string& aKey, const std::string& aRequest)
{
  return { { "Idempotency-Key", aKey }, { "X-Request-Id", aRequest } };
}

std::string RequestTicket(const EntryHost& aHost)
{
  const Response response = Send(
    { "POST", aHost.GateUrl() + "/v1/tickets", "", { { "Authorization", "Bearer lab-key" } } });
  return response.Json().at("ticket").get<std::string>();
}

} // namespace

TEST_GROUP(Once)
{
  Deployment m_deployment;

  EntryHost& Host(const std::string& aName)
  {
    return m_deployment.Hosts().at(aName);
  }

  void StartDeployment(int aHosts, const std::vector<std::string>& aServiceArguments = {})
  {
    for (int i = 1; i <= aHosts; ++i) {
      m_deployment.AddHost("h" + std::to_string(i), "z1");
    }
    m_deployment.AddEngine("w1", { "--token-time", "5" }, true);
    m_deployment.AddService("c1", aServiceArguments, true);
    m_deployment.StartDeployment();
  }
};

TEST(Once, ALostReplyIsReportedUnknownAndNotRetried)
{
  StartDeployment(1);
  // Leaves an idle connection: libcurl may reuse it and resend a request when it breaks.
  LONGS_EQUAL(
    200,
    Send(MakeServiceCall(Host("h1"), "warm", { { "Ferrytray-Idempotent", "true" } })).m_status);
  m_deployment.At("c1").SetProxyFaults({ { "drop_replies", 1 } });
  const Response lost = Send(MakeServiceCall(Host("h1"), "order", { { "X-Request-Id", "order" } }));
  LONGS_EQUAL(4004, lost.ErrorCode());
  STRCMP_EQUAL("unknown", lost.RunState().c_str());
  LONGS_EQUAL(1, m_deployment.Executions("order"));
}

// Guards against a gate that needs its claim to arrive on a long poll: the log acknowledges appends
// here but never answers long polls, and the acknowledged append must suffice.
TEST(Once, AKeyedCallCompletesWhileLongPollsStayUnanswered)
{
  StartDeployment(1);
  m_deployment.SetPlatformFaults({ { "answer_held_reads", false } });
  for (int i = 0; i < 3; ++i) {
    const std::string name = "order" + std::to_string(i);
    const Response response =
      Send(MakeServiceCall(Host("h1"), name, IdempotencyHeaders("key" + name, name)));
    LONGS_EQUAL(200, response.m_status);
    LONGS_EQUAL(1, m_deployment.Executions(name));
  }
}

TEST(Once, AnIdempotentCallIsRetried)
{
  StartDeployment(1);
  m_deployment.AddService("c2");
  m_deployment.PublishHostList();
  m_deployment.WaitReady();
  m_deployment.At("c1").SetProxyFaults({ { "drop_replies", 100 } });
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(
      200,
      Send(MakeServiceCall(Host("h1"), "look", { { "Ferrytray-Idempotent", "true" } })).m_status);
  }
}

TEST(Once, AnUnreachableEndpointIsReportedNotRun)
{
  StartDeployment(1);
  m_deployment.At("c1").m_process.Kill();
  m_deployment.At("c1").m_proxy.Kill();
  const Response refused = Send(MakeServiceCall(Host("h1"), "order"));
  STRCMP_EQUAL("not_run", refused.RunState().c_str());
}

TEST(Once, AKeyRunsOnceAcrossGatesAndItsReplyIsReplayed)
{
  StartDeployment(2, { "--work-time", "200" });
  const std::vector<Call> race{
    MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k1", "r1")),
    MakeServiceCall(Host("h2"), "order", IdempotencyHeaders("k1", "r2")),
    MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k1", "r3")),
    MakeServiceCall(Host("h2"), "order", IdempotencyHeaders("k1", "r4"))
  };
  int answered = 0;
  for (const Response& response : SendAll(race)) {
    answered += response.m_status == 200 ? 1 : 0;
    CHECK(response.m_status == 200 || response.RunState() == "unknown");
  }
  CHECK(answered >= 1);
  int executions = 0;
  for (const char* request : { "r1", "r2", "r3", "r4" }) {
    executions += m_deployment.Executions(request);
  }
  LONGS_EQUAL(1, executions);
  for (const char* host : { "h1", "h2" }) {
    const Response again =
      Send(MakeServiceCall(Host(host), "order", IdempotencyHeaders("k1", "r5")));
    LONGS_EQUAL(200, again.m_status);
    LONGS_EQUAL(0, m_deployment.Executions("r5"));
  }
  LONGS_EQUAL(
    5006, Send(MakeServiceCall(Host("h1"), "another", IdempotencyHeaders("k1", "r6"))).ErrorCode());
}

TEST(Once, AKeyedCallSucceedsWhenAnAppendReplyIsLost)
{
  StartDeployment(1);
  m_deployment.SetPlatformFaults({ { "lose_replies", 2 } });
  const Response response =
    Send(MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k2", "r1")));
  LONGS_EQUAL(200, response.m_status);
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
}

TEST(Once, KeysAreRejectedAndTicketsAreServedDuringALogOutage)
{
  StartDeployment(2);
  m_deployment.SetPlatformFaults({ { "down", true } });
  CHECK(WaitFor([&] {
    return Send(MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k3", "r1"))).ErrorCode() ==
           5004;
  }));
  const Response refused =
    Send(MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k3", "r2")));
  STRCMP_EQUAL("not_run", refused.RunState().c_str());
  LONGS_EQUAL(0, m_deployment.Executions("r1") + m_deployment.Executions("r2"));
  const std::string ticket = RequestTicket(Host("h1"));
  LONGS_EQUAL(
    200, Send(MakeServiceCall(Host("h1"), "order", { { "Ferrytray-Ticket", ticket } })).m_status);
  LONGS_EQUAL(200, Send(MakeServiceCall(Host("h2"), "free")).m_status);
  m_deployment.SetPlatformFaults({ { "down", false } });
  CHECK(WaitFor([&] {
    return Send(MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k3", "r3"))).m_status ==
           200;
  }));
  LONGS_EQUAL(1, m_deployment.Executions("r3"));
}

TEST(Once, ATicketRunsOnceAcrossGates)
{
  StartDeployment(2);
  const std::string ticket = RequestTicket(Host("h1"));
  const auto redeem = [&](const char* aHost, const char* aRequest) {
    return Send(MakeServiceCall(
      Host(aHost), "order", { { "Ferrytray-Ticket", ticket }, { "X-Request-Id", aRequest } }));
  };
  LONGS_EQUAL(200, redeem("h2", "r1").m_status);
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
  LONGS_EQUAL(200, redeem("h1", "r2").m_status);
  LONGS_EQUAL(200, redeem("h2", "r3").m_status);
  const json ledger = Get(m_deployment.At("c1").DirectUrl() + "/ledger").Json();
  LONGS_EQUAL(1, ledger["executions"].size());
  Call foreign = MakeServiceCall(Host("h1"), "order", { { "Ferrytray-Ticket", ticket } });
  foreign.m_headers.back().second = "Bearer bench-key";
  LONGS_EQUAL(5007, Send(foreign).ErrorCode());
}

// The other gates learn of a new incarnation only with the next rounds of the membership protocol.
TEST(Once, RedeemsTicketOfRestartedGateAtAnotherGate)
{
  StartDeployment(2);
  for (int restart = 0; restart < 3; ++restart) {
    Host("h1").m_gate.Kill();
    m_deployment.RestartGate(Host("h1"));
    CHECK(WaitFor([&] { return Get(Host("h1").GateUrl() + "/readyz").m_status == 200; }));
    const std::string request = "r" + std::to_string(restart);
    const Response response = Send(MakeServiceCall(
      Host("h2"),
      "order",
      { { "Ferrytray-Ticket", RequestTicket(Host("h1")) }, { "X-Request-Id", request } }));
    LONGS_EQUAL(200, response.m_status);
    LONGS_EQUAL(1, m_deployment.Executions(request));
  }
}

TEST(Once, ATicketOfAKilledGateIsReportedUnknownAndNotRun)
{
  StartDeployment(2);
  const std::string ticket = RequestTicket(Host("h1"));
  Host("h1").m_gate.Kill();
  const Response response = Send(MakeServiceCall(
    Host("h2"), "order", { { "Ferrytray-Ticket", ticket }, { "X-Request-Id", "r1" } }));
  STRCMP_EQUAL("unknown", response.RunState().c_str());
  LONGS_EQUAL(0, m_deployment.Executions("r1"));
}

TEST(Once, TicketsAreTransferredToAPeerOnGracefulShutdown)
{
  StartDeployment(3);
  const std::string fresh = RequestTicket(Host("h1"));
  const std::string used = RequestTicket(Host("h1"));
  LONGS_EQUAL(200,
              Send(MakeServiceCall(
                     Host("h1"), "one", { { "Ferrytray-Ticket", used }, { "X-Request-Id", "r1" } }))
                .m_status);
  Host("h1").m_gate.Signal(SIGTERM);
  LONGS_EQUAL(0, Host("h1").m_gate.Wait());
  const auto redeem = [&](const std::string& aTicket, const char* aBody, const char* aRequest) {
    return Send(MakeServiceCall(
      Host("h2"), aBody, { { "Ferrytray-Ticket", aTicket }, { "X-Request-Id", aRequest } }));
  };
  CHECK(WaitFor([&] { return redeem(used, "one", "r2").m_status == 200; }));
  LONGS_EQUAL(0, m_deployment.Executions("r2"));
  LONGS_EQUAL(200, redeem(fresh, "two", "r3").m_status);
  LONGS_EQUAL(200, redeem(fresh, "two", "r4").m_status);
  const json executions = Get(m_deployment.At("c1").DirectUrl() + "/ledger").Json()["executions"];
  LONGS_EQUAL(2, executions.size());
}

TEST(Once, AGateKilledDuringAKeyedCallLeavesTheKeyUnknown)
{
  StartDeployment(2, { "--work-time", "1500" });
  const auto responses =
    SendAll({ MakeServiceCall(Host("h1"), "order", IdempotencyHeaders("k4", "r1")) }, [&] {
      WaitFor([&] { return m_deployment.Executions("r1") == 1; });
      Host("h1").m_gate.Kill();
    });
  CHECK(responses.front().m_status != 200);
  const Response again = Send(MakeServiceCall(Host("h2"), "order", IdempotencyHeaders("k4", "r2")));
  STRCMP_EQUAL("unknown", again.RunState().c_str());
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
  LONGS_EQUAL(0, m_deployment.Executions("r2"));
}

TEST(Once, AnEngineKilledMidStreamIsReportedUnknown)
{
  StartDeployment(1);
  const json fields{ { "max_tokens", 400 }, { "stream", true } };
  const auto responses = SendAll(
    { MakeCompletionCall(Host("h1"), "long", fields, { { "X-Request-Id", "r1" } }),
      MakeCompletionCall(Host("h1"),
                         "once",
                         fields,
                         { { "X-Request-Id", "r2" }, { "Ferrytray-Idempotent", "false" } }) },
    [&] { m_deployment.At("w1").m_process.Kill(); });
  for (const Response& response : responses) {
    CHECK(response.m_body.find("\"run\":\"unknown\"") != std::string::npos);
    CHECK(response.m_body.find("[DONE]") == std::string::npos);
  }
}
