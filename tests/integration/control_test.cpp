#include <csignal> // for SIGSTOP, SIGCONT, SIGTERM
#include <thread>  // for thread

#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

std::string AccountFile(const std::string& aScope, double aRate)
{
  return "schema: 1\nscope: " + aScope + "\naccounts:\n  - name: " + aScope +
         "\n    key_digests: [" + std::string(62, 'a') +
         std::to_string(10 + static_cast<int>(aScope.size())) +
         "]\n    requests_per_second: " + std::to_string(aRate) + "\n";
}

json StatusOf(const EntryHost& aHost)
{
  return Get(aHost.KeeperUrl() + "/status").Json();
}

} // namespace

TEST_GROUP(Control)
{
  Deployment m_deployment;

  EntryHost& Host(const std::string& aName)
  {
    return m_deployment.Hosts().at(aName);
  }

  void AddHosts(int aCount, const std::vector<std::string>& aKeeperArguments = {})
  {
    for (int i = 1; i <= aCount; ++i) {
      m_deployment.AddHost("h" + std::to_string(i), "z" + std::to_string(i % 2), aKeeperArguments);
    }
  }

  /// Calls the plain service with another API key.
  Response SendWithKey(const std::string& aKey)
  {
    Call call = MakeServiceCall(Host("h1"), "look");
    call.m_headers = { { "Authorization", "Bearer " + aKey } };
    return Send(call);
  }

  std::uint64_t ScopeOffsetOn(const std::string& aHost, const std::string& aScope)
  {
    const json status = StatusOf(Host(aHost));
    const json scopes =
      status.is_object() ? status.value("scopes", json::object()) : json::object();
    return scopes.contains(aScope) ? scopes[aScope]["offset"].get<std::uint64_t>() : 0;
  }
};

TEST(Control, ConcurrentAppliesAreSerializedAndHostsConverge)
{
  AddHosts(3);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  int accepted = 0;
  int rejected = 0;
  std::vector<std::thread> operators;
  std::vector<ProcessResult> results(12);
  for (std::size_t i = 0; i < results.size(); ++i) {
    operators.emplace_back([&, i] {
      results[i] = m_deployment.Apply(AccountFile("race", 1.0 + static_cast<double>(i)),
                                      "race" + std::to_string(i) + ".yaml");
    });
  }
  for (std::thread& operatorThread : operators) {
    operatorThread.join();
  }
  for (const ProcessResult& result : results) {
    accepted += result.m_output.find("accepted at offset") != std::string::npos ? 1 : 0;
    rejected += result.m_output.find("error 7008") != std::string::npos ? 1 : 0;
  }
  CHECK(accepted >= 1);
  LONGS_EQUAL(12, accepted + rejected);
  const std::uint64_t offset = ScopeOffsetOn("h1", "race");
  CHECK(WaitFor([&] {
    return ScopeOffsetOn("h2", "race") == offset && ScopeOffsetOn("h3", "race") == offset;
  }));
}

TEST(Control, ApplySucceedsWhenAnAppendReplyIsLost)
{
  AddHosts(2);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  m_deployment.SetPlatformFaults({ { "lose_replies", 1 } });
  const ProcessResult applied = m_deployment.Apply(AccountFile("lost", 3));
  CHECK(applied.m_output.find("accepted at offset") != std::string::npos);
  CHECK(applied.m_output.find("in force on 2 of 2 hosts") != std::string::npos);
}

TEST(Control, ANewHostLoadsConfigurationFromAPeerDuringALogOutage)
{
  AddHosts(2);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  const std::uint64_t offset = ScopeOffsetOn("h1", "standard");
  m_deployment.SetPlatformFaults({ { "down", true } });
  m_deployment.AddHost("h3", "z1", { "--seeds", Host("h1").m_keeper.At("gossip") });
  CHECK(WaitFor([&] { return ScopeOffsetOn("h3", "standard") == offset; }));
  CHECK(Get(Host("h3").KeeperUrl() + "/readyz").m_status == 200);
  LONGS_EQUAL(200, Send(MakeCompletionCall(Host("h1"), "still served")).m_status);
  const ProcessResult refused = m_deployment.Apply(AccountFile("late", 3));
  CHECK(refused.m_exitCode != 0);
}

// An unknown key may belong to a configuration file that has not reached this gate yet, so a gate
// whose knowledge may be stale must answer 503 instead of 401. Guards against a gate that takes any
// silence of its keeper for "no change", and a keeper that does not report its knowledge's age.
TEST(Control, AGateWithASuspendedKeeperAnswers503ToUnknownKeysAndKeepsServing)
{
  AddHosts(1);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  LONGS_EQUAL(401, SendWithKey("no-key").m_status);
  Host("h1").m_keeper.Signal(SIGSTOP);
  CHECK(WaitFor([&] { return SendWithKey("no-key").m_status == 503; }));
  LONGS_EQUAL(200, Send(MakeCompletionCall(Host("h1"), "still served")).m_status);
  Host("h1").m_keeper.Signal(SIGCONT);
  CHECK(WaitFor([&] { return SendWithKey("no-key").m_status == 401; }));
}

TEST(Control, UnknownKeysGet503DuringALogOutage)
{
  AddHosts(1);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  m_deployment.SetPlatformFaults({ { "down", true } });
  CHECK(WaitFor([&] { return SendWithKey("no-key").m_status == 503; }));
  LONGS_EQUAL(200, Send(MakeCompletionCall(Host("h1"), "still served")).m_status);
  m_deployment.SetPlatformFaults({ { "down", false } });
  CHECK(WaitFor([&] { return SendWithKey("no-key").m_status == 401; }));
}

TEST(Control, ConfigurationIsReappendedBeforeItsRetentionEnds)
{
  AddHosts(1, { "--renew-age", "300" });
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  const std::uint64_t offset = ScopeOffsetOn("h1", "standard");
  m_deployment.SetPlatformFaults({ { "retained_records", 2 } });
  CHECK(WaitFor([&] {
    const json page = Get(m_deployment.PlatformDirectUrl() + "/log/config?from=1&wait_ms=0").Json();
    return page["first"].get<std::uint64_t>() > offset;
  }));
  m_deployment.AddHost("h2", "z1");
  CHECK(WaitFor([&] { return ScopeOffsetOn("h2", "standard") == offset; }));
  LONGS_EQUAL(offset, ScopeOffsetOn("h1", "standard"));
}

TEST(Control, ConcurrentSwapsAreLimitedAndStaleOrdersAreRejected)
{
  AddHosts(3, { "--lease", "1500" });
  for (int i = 1; i <= 4; ++i) {
    m_deployment.AddEngine("w" + std::to_string(i), { "--checks-fencing", "--swap-time", "300" });
  }
  const std::string extra = "    max_concurrent_swaps: 2\n    checks_fencing: true\n";
  m_deployment.StartDeployment(extra);
  LONGS_EQUAL(0, m_deployment.Apply(StandardFile("2", extra)).m_exitCode);
  int maxSwapping = 0;
  CHECK(WaitFor([&] {
    int swapping = 0;
    int done = 0;
    for (int i = 1; i <= 4; ++i) {
      const json load = Get(m_deployment.At("w" + std::to_string(i)).DirectUrl() + "/load").Json();
      swapping += load["swapping"].get<bool>() ? 1 : 0;
      done += load["version"] == "2" ? 1 : 0;
    }
    maxSwapping = std::max(maxSwapping, swapping);
    return done == 4;
  }));
  CHECK(maxSwapping <= 2);
  const Response staleOrder =
    Post(m_deployment.At("w1").DirectUrl() + "/orders", { { "version", "1" }, { "fence", 0 } });
  LONGS_EQUAL(409, staleOrder.m_status);
}

TEST(Control, APausedLeaseHolderIsReplacedAndSendsNoStaleOrderAfterResuming)
{
  AddHosts(2, { "--lease", "1500" });
  m_deployment.AddEngine("w1", { "--swap-time", "50" });
  m_deployment.StartDeployment();
  const auto holder = [&] {
    const json records =
      Get(m_deployment.PlatformDirectUrl() + "/log/leases?from=1&wait_ms=0").Json()["records"];
    const std::string last = records.empty() ? "" : records.back()["body"].get<std::string>();
    const json lease = json::parse(last, nullptr, false);
    return lease.is_object() ? lease["holder"].get<std::string>().substr(0, 2) : std::string();
  };
  CHECK(WaitFor([&] { return !holder().empty(); }));
  const std::string first = holder();
  const std::string second = first == "h1" ? "h2" : "h1";
  Host(first).m_keeper.Signal(SIGSTOP);
  CHECK(WaitFor([&] { return holder() == second; }));
  // The standard fleet does not check fencing numbers, so the resumed holder itself must not send.
  Host(first).m_keeper.Signal(SIGCONT);
  m_deployment.Apply(StandardFile("2"));
  CHECK(WaitFor(
    [&] { return Get(m_deployment.At("w1").DirectUrl() + "/load").Json()["version"] == "2"; }));
  std::uint64_t highest = 0;
  for (const json& order : Get(m_deployment.At("w1").DirectUrl() + "/ledger").Json()["orders"]) {
    CHECK(order["fence"].get<std::uint64_t>() >= highest);
    highest = order["fence"].get<std::uint64_t>();
  }
}

TEST(Control, RollingHostReplacementUnderLoadLosesNoRequest)
{
  AddHosts(3);
  m_deployment.AddEngine("w1");
  m_deployment.AddEngine("w2");
  m_deployment.StartDeployment();
  const std::uint64_t offset = ScopeOffsetOn("h1", "standard");
  for (const char* name : { "h1", "h2", "h3" }) {
    const std::string other = std::string(name) == "h1" ? "h2" : "h1";
    std::vector<Call> calls;
    for (int i = 0; i < 20; ++i) {
      calls.push_back(MakeCompletionCall(Host(other), "replace" + std::to_string(i)));
    }
    const auto responses = SendAll(calls, [&] {
      Host(name).m_gate.Signal(SIGTERM);
      LONGS_EQUAL(0, Host(name).m_gate.Wait());
      Host(name).m_keeper.Signal(SIGTERM);
      LONGS_EQUAL(0, Host(name).m_keeper.Wait());
    });
    for (const Response& response : responses) {
      LONGS_EQUAL(200, response.m_status);
    }
    m_deployment.AddHost(name, Host(name).m_zone);
    m_deployment.PublishHostList();
    CHECK(WaitFor([&] { return ScopeOffsetOn(name, "standard") == offset; }));
    m_deployment.WaitReady();
  }
}

TEST(Control, InvalidFilesAreRejectedWithLineAndColumn)
{
  AddHosts(1);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  const ProcessResult bad =
    m_deployment.Apply("schema: 1\nscope: x\naccounts:\n  - name: y\n", "bad.yaml");
  CHECK(bad.m_exitCode != 0);
  CHECK(bad.m_output.find("bad.yaml:4:5") != std::string::npos);
  CHECK(m_deployment.Apply(std::string("\0\1\2", 3), "binary.yaml").m_exitCode != 0);
  LONGS_EQUAL(200, Send(MakeCompletionCall(Host("h1"), "still served")).m_status);
}

TEST(Control, FleetHandoverWaitsUntilDrainedAndRecorded)
{
  // Two halves, each with its own platform.
  AddHosts(2);
  m_deployment.AddEngine("w1", { "--token-time", "10" });
  m_deployment.StartDeployment();
  Deployment other;
  other.AddHost("o1", "z1");
  other.AddEngine("w9");
  other.StartDeployment();
  EntryHost& otherHost = other.Hosts().at("o1");
  const auto rule = [](const std::string& aOwner, int aEpoch, const std::string& aOther) {
    return StandardFile() + "rules:\n  - name: move\n    fleet: f\n    owner: " + aOwner +
           "\n    epoch: " + std::to_string(aEpoch) + "\n    other_half: " + aOther + "\n";
  };
  LONGS_EQUAL(0, m_deployment.Apply(rule("here", 1, otherHost.GateUrl())).m_exitCode);
  // The receiving half is configured early; it must not serve before the handover is recorded.
  LONGS_EQUAL(0, other.Apply(rule("here", 2, Host("h1").GateUrl())).m_exitCode);
  LONGS_EQUAL(200, Send(MakeCompletionCall(Host("h1"), "mine")).m_status);
  LONGS_EQUAL(6003, Send(MakeCompletionCall(otherHost, "not yet")).ErrorCode());
  const Call running =
    MakeCompletionCall(Host("h1"), "long", { { "max_tokens", 200 }, { "stream", true } });
  const auto responses = SendAll({ running }, [&] {
    LONGS_EQUAL(0, m_deployment.Apply(rule("handing-over", 1, otherHost.GateUrl())).m_exitCode);
    const Response refused = Send(MakeCompletionCall(Host("h2"), "new work"));
    LONGS_EQUAL(6003, refused.ErrorCode());
    STRCMP_EQUAL("not_run", refused.RunState().c_str());
    LONGS_EQUAL(6003, Send(MakeCompletionCall(otherHost, "still not")).ErrorCode());
  });
  CHECK(responses.front().m_body.find("[DONE]") != std::string::npos);
  CHECK(WaitFor([&] { return Send(MakeCompletionCall(otherHost, "now")).m_status == 200; }));
  LONGS_EQUAL(6003, Send(MakeCompletionCall(Host("h1"), "gone")).ErrorCode());
  // Applying a rule of a past epoch again has no effect.
  LONGS_EQUAL(0, m_deployment.Apply(rule("here", 1, otherHost.GateUrl())).m_exitCode);
  LONGS_EQUAL(6003, Send(MakeCompletionCall(Host("h1"), "still gone")).ErrorCode());
}

// Guards against a keeper that sends the first configuration only to a gate that connects after the
// log was read to its end. Found by the soak.
TEST(Control, AGateConnectedBeforeTheFirstConfigurationReceivesIt)
{
  AddHosts(1);
  m_deployment.AddEngine("w1");
  m_deployment.StartDeployment();
  m_deployment.SetPlatformFaults({ { "down", true } });
  EntryHost& late = m_deployment.AddHost("h2", "z1");
  CHECK(WaitFor([&] {
    return Get(late.GateUrl() + "/metrics").m_body.find("ferrytray_keeper_connected 1") !=
           std::string::npos;
  }));
  m_deployment.SetPlatformFaults({ { "down", false } });
  m_deployment.PublishHostList();
  CHECK(WaitFor([&] { return Get(late.GateUrl() + "/readyz").m_status == 200; }));
}
