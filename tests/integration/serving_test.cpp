#include <arpa/inet.h>  // for inet_pton
#include <csignal>      // for SIGTERM
#include <sys/socket.h> // for socket, connect
#include <thread>       // for sleep_for
#include <unistd.h>     // for write, close

#include "ferrytray/net/address.hpp"        // for ParseAddress
#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

/// A raw connection, for what no well-behaved client sends.
class RawConnection
{
public:
  explicit RawConnection(const std::string& aUrl)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto address = ferrytray::net::ParseAddress(aUrl.substr(7));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address->m_port);
    inet_pton(AF_INET, address->m_ip.c_str(), &to.sin_addr);
    m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
  }
  ~RawConnection() { close(m_socket); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t wrote =
        send(m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (wrote <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(wrote);
    }
  }

  bool m_connected = false;

private:
  int m_socket;
};

std::string MetricLine(const EntryHost& aHost, const std::string& aName)
{
  const std::string metrics = Get(aHost.Gate() + "/metrics").m_body;
  const std::size_t at = metrics.find("ferrytray_" + aName + " ");
  return at == std::string::npos ? "" : metrics.substr(at, metrics.find('\n', at) - at);
}

} // namespace

TEST_GROUP(Serving)
{
  Deployment m_deployment;
  EntryHost* m_host = nullptr;

  void Begin(int aEngines, const std::vector<std::string>& aEngineArguments = {})
  {
    m_host = &m_deployment.AddHost("h1", "z1");
    for (int i = 1; i <= aEngines; ++i) {
      m_deployment.AddEngine("w" + std::to_string(i), aEngineArguments);
    }
    m_deployment.AddService("c1");
    m_deployment.Begin();
  }
};

TEST(Serving, AnswersInEveryShape)
{
  Begin(2);
  const std::string alone = AnswerAlone("what is steel");
  STRCMP_EQUAL(alone.c_str(), Send(Ask(*m_host, "what is steel")).Text().c_str());
  STRCMP_EQUAL(alone.c_str(),
               Send(Ask(*m_host, "what is steel", { { "stream", true } })).Text().c_str());
  const json chat{ { "model", "m" },
                   { "messages", { { { "role", "user" }, { "content", "hi" } } } },
                   { "max_tokens", 8 } };
  const Answer chatted = Send({ "POST",
                                m_host->Gate() + "/v1/chat/completions",
                                chat.dump(),
                                { { "Authorization", "Bearer lab-key" } } });
  STRCMP_EQUAL(AnswerAlone("user: hi\n").c_str(),
               chatted.Json()["choices"][0]["message"]["content"].get<std::string>().c_str());
  STRCMP_EQUAL("bolts",
               Send(CallService(*m_host, "bolts")).Json()["echo"].get<std::string>().c_str());
}

TEST(Serving, BadInputGetsANumberedErrorAndServingGoesOn)
{
  Begin(1);
  Call call = Ask(*m_host, "x");
  call.m_body = "{\"model\": ";
  LONGS_EQUAL(1001, Send(call).Code());
  call.m_body = "[1]";
  LONGS_EQUAL(1001, Send(call).Code());
  call.m_body = "{\"prompt\": \"x\"}";
  LONGS_EQUAL(1002, Send(call).Code());
  LONGS_EQUAL(1003, Send(Ask(*m_host, "x", { { "max_tokens", -4 } })).Code());
  LONGS_EQUAL(1003, Send(Ask(*m_host, "x", { { "stream", "yes" } })).Code());
  LONGS_EQUAL(1003, Send(Ask(*m_host, "x", {}, { { "Ferrytray-Deadline-Ms", "soon" } })).Code());
  LONGS_EQUAL(2003, Send(Ask(*m_host, "x", { { "model", "nobody" } })).Code());
  LONGS_EQUAL(1004, Send(Ask(*m_host, std::string(9U << 20U, 'x'))).Code());
  LONGS_EQUAL(1005, Send(Ask(*m_host, "x", {}, { { "X-Long", std::string(40000, 'x') } })).Code());
  call = Ask(*m_host, "x");
  call.m_headers = {};
  LONGS_EQUAL(2001, Send(call).Code());
  call.m_headers = { { "Authorization", "Bearer wrong" } };
  LONGS_EQUAL(2002, Send(call).Code());
  call = Ask(*m_host, "x");
  call.m_url = m_host->Gate() + "/nowhere";
  LONGS_EQUAL(1006, Send(call).Code());
  STRCMP_EQUAL("not_run", Send(call).Run().c_str());
  LONGS_EQUAL(200, Send(Ask(*m_host, "x")).m_status);
}

TEST(Serving, HostileConnectionsDoNotStopOthers)
{
  Begin(1);
  std::vector<std::unique_ptr<RawConnection>> slow;
  for (int i = 0; i < 50; ++i) {
    slow.push_back(std::make_unique<RawConnection>(m_host->Gate()));
    CHECK(slow.back()->m_connected);
    slow.back()->Write("POST /v1/completions HTTP/1.1\r\nContent-Length: 1000\r\n\r\n{");
  }
  const RawConnection huge(m_host->Gate());
  huge.Write("GET / HTTP/1.1\r\nX-Long: " + std::string(10U << 20U, 'x') + "\r\n\r\n");
  const RawConnection binary(m_host->Gate());
  binary.Write(std::string("\0\xff\x01\n\n", 5));
  LONGS_EQUAL(200, Send(Ask(*m_host, "x")).m_status);
  CHECK(WaitFor([&] {
    return MetricLine(*m_host, "connections_without_request_total").find(" 0") == std::string::npos;
  }));
}

TEST(Serving, GoesOnWithoutItsKeeper)
{
  Begin(1);
  m_host->m_keeper.Kill();
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(200, Send(Ask(*m_host, "x" + std::to_string(i))).m_status);
  }
}

TEST(Serving, AnUnreachableDeadlineIsRefusedAtOnce)
{
  Begin(1, { "--tokens-per-second", "100" });
  const std::string prompt(4000, 'x');
  const Answer refused = Send(
    Ask(*m_host, prompt, {}, { { "Ferrytray-Deadline-Ms", "500" }, { "X-Request-Id", "late" } }));
  LONGS_EQUAL(3003, refused.Code());
  STRCMP_EQUAL("not_run", refused.Run().c_str());
  CHECK(refused.Json()["error"]["retry_after_ms"].get<int>() > 0);
  LONGS_EQUAL(0, m_deployment.Executions("late"));
}

TEST(Serving, ACallerThatLeavesFreesTheEngine)
{
  Begin(1, { "--token-time", "5" });
  {
    ferrytray::net::Loop loop;
    const auto http = ferrytray::net::HttpClient::Create(loop);
    const Call call = Ask(*m_host, "x", { { "max_tokens", 100000 }, { "stream", true } });
    ferrytray::net::ClientRequest request{ call.m_method, call.m_url, call.m_headers, call.m_body };
    ferrytray::net::ClientEvents events;
    events.m_onData = [&](std::string_view) { loop.Stop(); };
    http->Start(request, std::move(events));
    loop.Run();
    LONGS_EQUAL(1, Get(m_deployment.At("w1").Direct() + "/load").Json()["running"].get<int>());
  }
  CHECK(
    WaitFor([&] { return Get(m_deployment.At("w1").Direct() + "/load").Json()["running"] == 0; }));
  CHECK(
    WaitFor([&] { return MetricLine(*m_host, "open_requests") == "ferrytray_open_requests 0"; }));
}

TEST(Serving, ALeavingEndpointGetsNoNewWork)
{
  Begin(2);
  m_deployment.At("w1").Faults({ { "leaving", true } });
  int refusedThere = 0;
  for (int i = 0; i < 30; ++i) {
    LONGS_EQUAL(
      200,
      Send(
        Ask(*m_host, "q" + std::to_string(i), {}, { { "X-Request-Id", "q" + std::to_string(i) } }))
        .m_status);
    refusedThere +=
      Get(m_deployment.At("w1").Direct() + "/ledger").Json()["executions"].size() > 0 ? 1 : 0;
  }
  LONGS_EQUAL(0, refusedThere);
  const json status = json::parse(m_deployment.Operate({ "status", "--json" }).m_output);
  for (const json& endpoint : status["endpoints"]) {
    CHECK_EQUAL(endpoint["name"] == "w1", endpoint["leaving"].get<bool>());
  }
}

TEST(Serving, AnOperatorsDrainAndTheHostListKeepWorkAway)
{
  Begin(3);
  LONGS_EQUAL(0, m_deployment.Operate({ "drain", "w1" }).m_exitCode);
  m_deployment.SetState("w2", "leaving");
  CHECK(WaitFor([&] {
    const json status =
      json::parse(m_deployment.Operate({ "status", "--json" }).m_output, nullptr, false);
    int leaving = 0;
    for (const json& endpoint : status.value("endpoints", json::array())) {
      leaving += endpoint["leaving"].get<bool>() ? 1 : 0;
    }
    return leaving == 2;
  }));
  // The gate is told within its keeper's next push.
  CHECK(WaitFor([&] {
    const Answer answer = Send(Ask(*m_host, "probe", {}, { { "X-Request-Id", "probe" } }));
    return json::parse(Get(m_host->Gate() + "/explain/probe").m_body).back()["worker"] == "w3";
  }));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "drained" + std::to_string(i);
    Send(Ask(*m_host, id, {}, { { "X-Request-Id", id } }));
    LONGS_EQUAL(1,
                Get(m_deployment.At("w3").Direct() + "/ledger").Json()["executions"].value(id, 0));
  }
}

TEST(Serving, APlannedStopCutsNothingOff)
{
  Begin(2, { "--token-time", "10" });
  std::vector<Call> calls;
  for (int i = 0; i < 60; ++i) {
    calls.push_back(Ask(*m_host,
                        "stop" + std::to_string(i % 5),
                        { { "max_tokens", 300 }, { "stream", i % 2 == 0 } }));
  }
  const auto answers = SendAll(calls, [&] { m_host->m_gate.Signal(SIGTERM); });
  std::vector<std::string> alone;
  for (int i = 0; i < 5; ++i) {
    alone.push_back(AnswerAlone("stop" + std::to_string(i), "lab", "1", 300));
  }
  for (std::size_t i = 0; i < answers.size(); ++i) {
    LONGS_EQUAL(200, answers[i].m_status);
    STRCMP_EQUAL(alone[i % 5].c_str(), answers[i].Text().c_str());
  }
  LONGS_EQUAL(0, m_host->m_gate.Wait());
}

TEST(Serving, ExplainShowsEveryCandidate)
{
  Begin(2);
  Send(Ask(*m_host, "why", {}, { { "X-Request-Id", "why" } }));
  const Finished explained = m_deployment.Operate({ "explain", "why", "--json" });
  const json decisions = json::parse(explained.m_output);
  LONGS_EQUAL(2, decisions[0]["candidates"].size());
  CHECK(m_deployment.Operate({ "explain", "nobody" }).m_exitCode != 0);
}

// Seen with hosts on the users' platform: one request, which came again at any host, ended each
// endpoint that ran it. A gate knew its own request's sends only, as well. Proved by this test: all
// services were gone.
TEST(Serving, ARequestThatEndsItsServicesIsKeptFromTheRestAtAllGates)
{
  EntryHost& other = m_deployment.AddHost("h2", "z1");
  for (const char* name : { "c2", "c3", "c4", "c5" }) {
    m_deployment.AddService(name);
  }
  Begin(1);
  std::vector<EntryHost*> gates{ m_host, &other };
  bool keptAway = false;
  for (int i = 0; i < 12 && !keptAway; ++i) {
    const Answer answer =
      Send(CallService(*gates[static_cast<std::size_t>(i % 2)], "ends its service"));
    keptAway = answer.Code() == 3007;
    if (keptAway) {
      LONGS_EQUAL(503, answer.m_status);
      STRCMP_EQUAL("not_run", answer.Run().c_str());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // callers come back later
  }
  CHECK(keptAway);
  for (EntryHost* gate : gates) {
    CHECK(WaitFor([&] { return Send(CallService(*gate, "ends its service")).Code() == 3007; }));
    CHECK(WaitFor([&] { return Send(CallService(*gate, "bolts")).m_status == 200; }));
  }
}
