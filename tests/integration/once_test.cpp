#include <csignal> // for SIGTERM, SIGSTOP

#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

ferrytray::net::Headers Keyed(const std::string& aKey, const std::string& aRequest)
{
  return { { "Idempotency-Key", aKey }, { "X-Request-Id", aRequest } };
}

std::string TakeTicket(const EntryHost& aHost)
{
  const Answer answer =
    Send({ "POST", aHost.Gate() + "/v1/tickets", "", { { "Authorization", "Bearer lab-key" } } });
  return answer.Json().at("ticket").get<std::string>();
}

} // namespace

TEST_GROUP(Once)
{
  Deployment m_deployment;

  EntryHost& Host(const std::string& aName)
  {
    return m_deployment.Hosts().at(aName);
  }

  void Begin(int aHosts, const std::vector<std::string>& aServiceArguments = {})
  {
    for (int i = 1; i <= aHosts; ++i) {
      m_deployment.AddHost("h" + std::to_string(i), "z1");
    }
    m_deployment.AddEngine("w1", { "--token-time", "5" }, true);
    m_deployment.AddService("c1", aServiceArguments, true);
    m_deployment.Begin();
  }
};

TEST(Once, ALostReplyIsUnknownAndNeverRepeated)
{
  Begin(1);
  // The first call leaves a connection that a later one could reuse (and libcurl resend on).
  LONGS_EQUAL(
    200, Send(CallService(Host("h1"), "warm", { { "Ferrytray-Idempotent", "true" } })).m_status);
  m_deployment.At("c1").ProxyFaults({ { "drop_replies", 1 } });
  const Answer lost = Send(CallService(Host("h1"), "order", { { "X-Request-Id", "order" } }));
  LONGS_EQUAL(4004, lost.Code());
  STRCMP_EQUAL("unknown", lost.Run().c_str());
  LONGS_EQUAL(1, m_deployment.Executions("order"));
}

// The log answers what it is asked, but no read that it holds open. A gate that has its own claim
// acknowledged need not wait to hear of it.
TEST(Once, AKeyedCallIsServedWhileReadsThatAreHeldOpenHearNothing)
{
  Begin(1);
  m_deployment.PlatformFaults({ { "answer_held_reads", false } });
  for (int i = 0; i < 3; ++i) {
    const std::string name = "order" + std::to_string(i);
    const Answer answer = Send(CallService(Host("h1"), name, Keyed("key" + name, name)));
    LONGS_EQUAL(200, answer.m_status);
    LONGS_EQUAL(1, m_deployment.Executions(name));
  }
}

TEST(Once, AnIdempotentCallIsTriedAgain)
{
  Begin(1);
  m_deployment.AddService("c2");
  m_deployment.List();
  m_deployment.WaitReady();
  m_deployment.At("c1").ProxyFaults({ { "drop_replies", 100 } });
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(
      200, Send(CallService(Host("h1"), "look", { { "Ferrytray-Idempotent", "true" } })).m_status);
  }
}

TEST(Once, AnEndpointThatCannotBeReachedRanNothing)
{
  Begin(1);
  m_deployment.At("c1").m_process.Kill();
  m_deployment.At("c1").m_proxy.Kill();
  const Answer refused = Send(CallService(Host("h1"), "order"));
  STRCMP_EQUAL("not_run", refused.Run().c_str());
}

TEST(Once, AKeyRunsOnceOverTwoGatesAndIsReplayed)
{
  Begin(2, { "--work-time", "200" });
  const std::vector<Call> race{ CallService(Host("h1"), "order", Keyed("k1", "r1")),
                                CallService(Host("h2"), "order", Keyed("k1", "r2")),
                                CallService(Host("h1"), "order", Keyed("k1", "r3")),
                                CallService(Host("h2"), "order", Keyed("k1", "r4")) };
  int answered = 0;
  for (const Answer& answer : SendAll(race)) {
    answered += answer.m_status == 200 ? 1 : 0;
    CHECK(answer.m_status == 200 || answer.Run() == "unknown");
  }
  CHECK(answered >= 1);
  int executions = 0;
  for (const char* request : { "r1", "r2", "r3", "r4" }) {
    executions += m_deployment.Executions(request);
  }
  LONGS_EQUAL(1, executions);
  for (const char* host : { "h1", "h2" }) {
    const Answer again = Send(CallService(Host(host), "order", Keyed("k1", "r5")));
    LONGS_EQUAL(200, again.m_status);
    LONGS_EQUAL(0, m_deployment.Executions("r5"));
  }
  LONGS_EQUAL(5006, Send(CallService(Host("h1"), "another", Keyed("k1", "r6"))).Code());
}

TEST(Once, AKeySurvivesALostAppendReply)
{
  Begin(1);
  m_deployment.PlatformFaults({ { "lose_replies", 2 } });
  const Answer answer = Send(CallService(Host("h1"), "order", Keyed("k2", "r1")));
  LONGS_EQUAL(200, answer.m_status);
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
}

TEST(Once, WithoutTheLogKeysAreRefusedAndTicketsGoOn)
{
  Begin(2);
  m_deployment.PlatformFaults({ { "down", true } });
  CHECK(WaitFor(
    [&] { return Send(CallService(Host("h1"), "order", Keyed("k3", "r1"))).Code() == 5004; }));
  const Answer refused = Send(CallService(Host("h1"), "order", Keyed("k3", "r2")));
  STRCMP_EQUAL("not_run", refused.Run().c_str());
  LONGS_EQUAL(0, m_deployment.Executions("r1") + m_deployment.Executions("r2"));
  const std::string ticket = TakeTicket(Host("h1"));
  LONGS_EQUAL(200,
              Send(CallService(Host("h1"), "order", { { "Ferrytray-Ticket", ticket } })).m_status);
  LONGS_EQUAL(200, Send(CallService(Host("h2"), "free")).m_status);
  m_deployment.PlatformFaults({ { "down", false } });
  CHECK(WaitFor(
    [&] { return Send(CallService(Host("h1"), "order", Keyed("k3", "r3"))).m_status == 200; }));
  LONGS_EQUAL(1, m_deployment.Executions("r3"));
}

TEST(Once, ATicketRunsOnceWhicheverGateIsAsked)
{
  Begin(2);
  const std::string ticket = TakeTicket(Host("h1"));
  const auto redeem = [&](const char* aHost, const char* aRequest) {
    return Send(CallService(
      Host(aHost), "order", { { "Ferrytray-Ticket", ticket }, { "X-Request-Id", aRequest } }));
  };
  LONGS_EQUAL(200, redeem("h2", "r1").m_status);
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
  LONGS_EQUAL(200, redeem("h1", "r2").m_status);
  LONGS_EQUAL(200, redeem("h2", "r3").m_status);
  const json ledger = Get(m_deployment.At("c1").Direct() + "/ledger").Json();
  LONGS_EQUAL(1, ledger["executions"].size());
  Call foreign = CallService(Host("h1"), "order", { { "Ferrytray-Ticket", ticket } });
  foreign.m_headers.back().second = "Bearer bench-key";
  LONGS_EQUAL(5007, Send(foreign).Code());
}

TEST(Once, ATicketWhoseGateDiedIsUnknownAndNotRun)
{
  Begin(2);
  const std::string ticket = TakeTicket(Host("h1"));
  Host("h1").m_gate.Kill();
  const Answer answer = Send(
    CallService(Host("h2"), "order", { { "Ferrytray-Ticket", ticket }, { "X-Request-Id", "r1" } }));
  STRCMP_EQUAL("unknown", answer.Run().c_str());
  LONGS_EQUAL(0, m_deployment.Executions("r1"));
}

TEST(Once, TicketsOfAStoppingGateMoveToAPeer)
{
  Begin(3);
  const std::string fresh = TakeTicket(Host("h1"));
  const std::string used = TakeTicket(Host("h1"));
  LONGS_EQUAL(
    200,
    Send(CallService(Host("h1"), "one", { { "Ferrytray-Ticket", used }, { "X-Request-Id", "r1" } }))
      .m_status);
  Host("h1").m_gate.Signal(SIGTERM);
  LONGS_EQUAL(0, Host("h1").m_gate.Wait());
  const auto redeem = [&](const std::string& aTicket, const char* aBody, const char* aRequest) {
    return Send(CallService(
      Host("h2"), aBody, { { "Ferrytray-Ticket", aTicket }, { "X-Request-Id", aRequest } }));
  };
  CHECK(WaitFor([&] { return redeem(used, "one", "r2").m_status == 200; }));
  LONGS_EQUAL(0, m_deployment.Executions("r2"));
  LONGS_EQUAL(200, redeem(fresh, "two", "r3").m_status);
  LONGS_EQUAL(200, redeem(fresh, "two", "r4").m_status);
  const json executions = Get(m_deployment.At("c1").Direct() + "/ledger").Json()["executions"];
  LONGS_EQUAL(2, executions.size());
}

TEST(Once, AGateKilledWhileItRunsAKeyLeavesItUnknown)
{
  Begin(2, { "--work-time", "1500" });
  const auto answers = SendAll({ CallService(Host("h1"), "order", Keyed("k4", "r1")) }, [&] {
    WaitFor([&] { return m_deployment.Executions("r1") == 1; });
    Host("h1").m_gate.Kill();
  });
  CHECK(answers.front().m_status != 200);
  const Answer again = Send(CallService(Host("h2"), "order", Keyed("k4", "r2")));
  STRCMP_EQUAL("unknown", again.Run().c_str());
  LONGS_EQUAL(1, m_deployment.Executions("r1"));
  LONGS_EQUAL(0, m_deployment.Executions("r2"));
}

TEST(Once, AnEngineKilledInMidStreamIsToldTruthfully)
{
  Begin(1);
  const json fields{ { "max_tokens", 400 }, { "stream", true } };
  const auto answers =
    SendAll({ Ask(Host("h1"), "long", fields, { { "X-Request-Id", "r1" } }),
              Ask(Host("h1"),
                  "once",
                  fields,
                  { { "X-Request-Id", "r2" }, { "Ferrytray-Idempotent", "false" } }) },
            [&] { m_deployment.At("w1").m_process.Kill(); });
  for (const Answer& answer : answers) {
    CHECK(answer.m_body.find("\"run\":\"unknown\"") != std::string::npos);
    CHECK(answer.m_body.find("[DONE]") == std::string::npos);
  }
}
