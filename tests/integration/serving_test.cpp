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

/// A raw TCP connection, to send malformed or incomplete requests.
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
      const ssize_t written =
        send(m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (written <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(written);
    }
  }

  bool m_connected = false;

private:
  int m_socket;
};

std::string MetricLine(const EntryHost& aHost, const std::string& aName)
{
  const std::string metrics = Get(aHost.GateUrl() + "/metrics").m_body;
  const std::size_t at = metrics.find("ferrytray_" + aName + " ");
  return at == std::string::npos ? "" : metrics.substr(at, metrics.find('\n', at) - at);
}

} // namespace

TEST_GROUP(Serving)
{
  Deployment m_deployment;
  EntryHost* m_host = nullptr;

  void StartDeployment(int aEngines, const std::vector<std::string>& aEngineArguments = {})
  {
    m_host = &m_deployment.AddHost("h1", "z1");
    for (int i = 1; i <= aEngines; ++i) {
      m_deployment.AddEngine("w" + std::to_string(i), aEngineArguments);
    }
    m_deployment.AddService("c1");
    m_deployment.StartDeployment();
  }
};

TEST(Serving, ServesCompletionsStreamsChatAndServiceCalls)
{
  StartDeployment(2);
  const std::string expected = ReferenceText("what is steel");
  STRCMP_EQUAL(expected.c_str(), Send(MakeCompletionCall(*m_host, "what is steel")).Text().c_str());
  STRCMP_EQUAL(
    expected.c_str(),
    Send(MakeCompletionCall(*m_host, "what is steel", { { "stream", true } })).Text().c_str());
  const json chat{ { "model", "m" },
                   { "messages", { { { "role", "user" }, { "content", "hi" } } } },
                   { "max_tokens", 8 } };
  const Response chatResponse = Send({ "POST",
                                       m_host->GateUrl() + "/v1/chat/completions",
                                       chat.dump(),
                                       { { "Authorization", "Bearer lab-key" } } });
  STRCMP_EQUAL(ReferenceText("user: hi\n").c_str(),
               chatResponse.Json()["choices"][0]["message"]["content"].get<std::string>().c_str());
  STRCMP_EQUAL("bolts",
               Send(MakeServiceCall(*m_host, "bolts")).Json()["echo"].get<std::string>().c_str());
}

TEST(Serving, InvalidRequestsGetErrorCodesAndServingContinues)
{
  StartDeployment(1);
  Call call = MakeCompletionCall(*m_host, "x");
  call.m_body = "{\"model\": ";
  LONGS_EQUAL(1001, Send(call).ErrorCode());
  call.m_body = "[1]";
  LONGS_EQUAL(1001, Send(call).ErrorCode());
  call.m_body = "{\"prompt\": \"x\"}";
  LONGS_EQUAL(1002, Send(call).ErrorCode());
  LONGS_EQUAL(1003, Send(MakeCompletionCall(*m_host, "x", { { "max_tokens", -4 } })).ErrorCode());
  LONGS_EQUAL(1003, Send(MakeCompletionCall(*m_host, "x", { { "stream", "yes" } })).ErrorCode());
  LONGS_EQUAL(1003,
              Send(MakeCompletionCall(*m_host, "x", {}, { { "Ferrytray-Deadline-Ms", "soon" } }))
                .ErrorCode());
  LONGS_EQUAL(2003, Send(MakeCompletionCall(*m_host, "x", { { "model", "nobody" } })).ErrorCode());
  LONGS_EQUAL(1004, Send(MakeCompletionCall(*m_host, std::string(9U << 20U, 'x'))).ErrorCode());
  LONGS_EQUAL(1005,
              Send(MakeCompletionCall(*m_host, "x", {}, { { "X-Long", std::string(40000, 'x') } }))
                .ErrorCode());
  call = MakeCompletionCall(*m_host, "x");
  call.m_headers = {};
  LONGS_EQUAL(2001, Send(call).ErrorCode());
  call.m_headers = { { "Authorization", "Bearer wrong" } };
  LONGS_EQUAL(2002, Send(call).ErrorCode());
  call = MakeCompletionCall(*m_host, "x");
  call.m_url = m_host->GateUrl() + "/nowhere";
  LONGS_EQUAL(1006, Send(call).ErrorCode());
  STRCMP_EQUAL("not_run", Send(call).RunState().c_str());
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, "x")).m_status);
}

TEST(Serving, MalformedConnectionsDoNotBlockOtherClients)
{
  StartDeployment(1);
  std::vector<std::unique_ptr<RawConnection>> slow;
  for (int i = 0; i < 50; ++i) {
    slow.push_back(std::make_unique<RawConnection>(m_host->GateUrl()));
    CHECK(slow.back()->m_connected);
    slow.back()->Write("POST /v1/completions HTTP/1.1\r\nContent-Length: 1000\r\n\r\n{");
  }
  const RawConnection huge(m_host->GateUrl());
  huge.Write("GET / HTTP/1.1\r\nX-Long: " + std::string(10U << 20U, 'x') + "\r\n\r\n");
  const RawConnection binary(m_host->GateUrl());
  binary.Write(std::string("\0\xff\x01\n\n", 5));
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, "x")).m_status);
  CHECK(WaitFor([&] {
    return MetricLine(*m_host, "connections_without_request_total").find(" 0") == std::string::npos;
  }));
}

TEST(Serving, KeepsServingWithoutItsKeeper)
{
  StartDeployment(1);
  m_host->m_keeper.Kill();
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, "x" + std::to_string(i))).m_status);
  }
}

TEST(Serving, AnInfeasibleDeadlineIsRejectedImmediately)
{
  StartDeployment(1, { "--tokens-per-second", "100" });
  const std::string prompt(4000, 'x');
  const Response refused = Send(MakeCompletionCall(
    *m_host, prompt, {}, { { "Ferrytray-Deadline-Ms", "500" }, { "X-Request-Id", "late" } }));
  LONGS_EQUAL(3003, refused.ErrorCode());
  STRCMP_EQUAL("not_run", refused.RunState().c_str());
  CHECK(refused.Json()["error"]["retry_after_ms"].get<int>() > 0);
  LONGS_EQUAL(0, m_deployment.Executions("late"));
}

TEST(Serving, ADisconnectedCallerCancelsItsEngineRun)
{
  StartDeployment(1, { "--token-time", "5" });
  {
    ferrytray::net::Loop loop;
    const auto http = ferrytray::net::HttpClient::Create(loop);
    const Call call =
      MakeCompletionCall(*m_host, "x", { { "max_tokens", 100000 }, { "stream", true } });
    ferrytray::net::ClientRequest request{ call.m_method, call.m_url, call.m_headers, call.m_body };
    ferrytray::net::ClientEvents events;
    events.m_onData = [&](std::string_view) { loop.Stop(); };
    http->Start(request, std::move(events));
    loop.Run();
    LONGS_EQUAL(1, Get(m_deployment.At("w1").DirectUrl() + "/load").Json()["running"].get<int>());
  }
  CHECK(WaitFor(
    [&] { return Get(m_deployment.At("w1").DirectUrl() + "/load").Json()["running"] == 0; }));
  CHECK(
    WaitFor([&] { return MetricLine(*m_host, "open_requests") == "ferrytray_open_requests 0"; }));
}

TEST(Serving, ALeavingEndpointGetsNoNewRequests)
{
  StartDeployment(2);
  m_deployment.At("w1").SetFaults({ { "leaving", true } });
  int executionsOnLeaving = 0;
  for (int i = 0; i < 30; ++i) {
    LONGS_EQUAL(
      200,
      Send(MakeCompletionCall(
             *m_host, "q" + std::to_string(i), {}, { { "X-Request-Id", "q" + std::to_string(i) } }))
        .m_status);
    executionsOnLeaving +=
      Get(m_deployment.At("w1").DirectUrl() + "/ledger").Json()["executions"].size() > 0 ? 1 : 0;
  }
  LONGS_EQUAL(0, executionsOnLeaving);
  const json status = json::parse(m_deployment.RunCli({ "status", "--json" }).m_output);
  for (const json& endpoint : status["endpoints"]) {
    CHECK_EQUAL(endpoint["name"] == "w1", endpoint["leaving"].get<bool>());
  }
}

// A gate took any refusal for a shutdown, so an endpoint that was only busy got no requests again.
TEST(Serving, EndpointsThatNameADelayGetRequestsAgainAfterIt)
{
  m_deployment.AddService("c2");
  StartDeployment(2);
  const std::vector<std::string> endpoints{ "w1", "c1" };
  for (const std::string& name : endpoints) {
    m_deployment.At(name).SetFaults({ { "retry_after", "1.5" } });
  }
  const auto sendBoth = [&](const std::string& aId) {
    const ferrytray::net::Headers id{ { "X-Request-Id", aId } };
    LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, aId, {}, id)).m_status);
    LONGS_EQUAL(200, Send(MakeServiceCall(*m_host, aId, id)).m_status);
  };
  const auto ledgerOf = [&](const std::string& aName) {
    return Get(m_deployment.At(aName).DirectUrl() + "/ledger").Json();
  };
  for (int i = 0; i < 20; ++i) {
    sendBoth("busy" + std::to_string(i));
  }
  for (const std::string& name : endpoints) {
    LONGS_EQUAL(1, ledgerOf(name)["refusals"].get<int>());
    m_deployment.At(name).SetFaults({ { "retry_after", "" } });
  }
  int sent = 0;
  CHECK(WaitFor([&] {
    sendBoth("later" + std::to_string(++sent));
    return !ledgerOf("w1")["executions"].empty() && !ledgerOf("c1")["executions"].empty();
  }));
}

TEST(Serving, RequestsAreRefusedUntilTheDelayOfTheOnlyEndpointEnds)
{
  StartDeployment(1);
  m_deployment.At("w1").SetFaults({ { "retry_after", "30" } });
  Send(MakeCompletionCall(*m_host, "first"));
  const Response second = Send(MakeCompletionCall(*m_host, "second"));
  LONGS_EQUAL(503, second.m_status);
  LONGS_EQUAL(3009, second.ErrorCode());
  STRCMP_EQUAL("not_run", second.RunState().c_str());
  LONGS_EQUAL(1, Get(m_deployment.At("w1").DirectUrl() + "/ledger").Json()["refusals"].get<int>());
}

TEST(Serving, OperatorAndHostListDrainsStopNewRequests)
{
  StartDeployment(3);
  LONGS_EQUAL(0, m_deployment.RunCli({ "drain", "w1" }).m_exitCode);
  m_deployment.SetState("w2", "leaving");
  CHECK(WaitFor([&] {
    const json status =
      json::parse(m_deployment.RunCli({ "status", "--json" }).m_output, nullptr, false);
    int leaving = 0;
    for (const json& endpoint : status.value("endpoints", json::array())) {
      leaving += endpoint["leaving"].get<bool>() ? 1 : 0;
    }
    return leaving == 2;
  }));
  // The gate learns of the change with its keeper's next push.
  CHECK(WaitFor([&] {
    const Response response =
      Send(MakeCompletionCall(*m_host, "probe", {}, { { "X-Request-Id", "probe" } }));
    return json::parse(Get(m_host->GateUrl() + "/explain/probe").m_body).back()["worker"] == "w3";
  }));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "drained" + std::to_string(i);
    Send(MakeCompletionCall(*m_host, id, {}, { { "X-Request-Id", id } }));
    LONGS_EQUAL(
      1, Get(m_deployment.At("w3").DirectUrl() + "/ledger").Json()["executions"].value(id, 0));
  }
}

TEST(Serving, GracefulShutdownCompletesOpenRequests)
{
  StartDeployment(2, { "--token-time", "10" });
  std::vector<Call> calls;
  for (int i = 0; i < 60; ++i) {
    calls.push_back(MakeCompletionCall(*m_host,
                                       "stop" + std::to_string(i % 5),
                                       { { "max_tokens", 300 }, { "stream", i % 2 == 0 } }));
  }
  const auto responses = SendAll(calls, [&] { m_host->m_gate.Signal(SIGTERM); });
  std::vector<std::string> expected;
  for (int i = 0; i < 5; ++i) {
    expected.push_back(ReferenceText("stop" + std::to_string(i), "lab", "1", 300));
  }
  for (std::size_t i = 0; i < responses.size(); ++i) {
    LONGS_EQUAL(200, responses[i].m_status);
    STRCMP_EQUAL(expected[i % 5].c_str(), responses[i].Text().c_str());
  }
  LONGS_EQUAL(0, m_host->m_gate.Wait());
}

TEST(Serving, ExplainShowsEveryCandidate)
{
  StartDeployment(2);
  Send(MakeCompletionCall(*m_host, "why", {}, { { "X-Request-Id", "why" } }));
  const ProcessResult explained = m_deployment.RunCli({ "explain", "why", "--json" });
  const json decisions = json::parse(explained.m_output);
  LONGS_EQUAL(2, decisions[0]["candidates"].size());
  CHECK(m_deployment.RunCli({ "explain", "nobody" }).m_exitCode != 0);
}

// Guards against one request that crashes every endpoint, seen on the users' platform: its caller
// retries at any gate, and a gate that counts only its own sends of the request never stops it.
// Without the quarantine this test lost all services.
TEST(Serving, ARequestThatCrashesServicesIsQuarantinedAtAllGates)
{
  EntryHost& other = m_deployment.AddHost("h2", "z1");
  for (const char* name : { "c2", "c3", "c4", "c5" }) {
    m_deployment.AddService(name);
  }
  StartDeployment(1);
  std::vector<EntryHost*> gates{ m_host, &other };
  bool isQuarantined = false;
  for (int i = 0; i < 12 && !isQuarantined; ++i) {
    const Response response =
      Send(MakeServiceCall(*gates[static_cast<std::size_t>(i % 2)], "ends its service"));
    isQuarantined = response.ErrorCode() == 3007;
    if (isQuarantined) {
      LONGS_EQUAL(503, response.m_status);
      STRCMP_EQUAL("not_run", response.RunState().c_str());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // callers retry later
  }
  CHECK(isQuarantined);
  for (EntryHost* gate : gates) {
    CHECK(WaitFor(
      [&] { return Send(MakeServiceCall(*gate, "ends its service")).ErrorCode() == 3007; }));
    CHECK(WaitFor([&] { return Send(MakeServiceCall(*gate, "bolts")).m_status == 200; }));
  }
}
