#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

std::string MakeContext(int aNumber)
{
  std::string text;
  for (int i = 0; text.size() < 20U * 1024; ++i) {
    text +=
      "line " + std::to_string(i * 7 + aNumber) + " of context " + std::to_string(aNumber) + "\n";
  }
  return text;
}

json PromptTokenDetails(const Response& aResponse)
{
  return aResponse.Json()["usage"]["prompt_tokens_details"];
}

} // namespace

TEST_GROUP(Restore)
{
  Deployment m_deployment;
  EntryHost* m_host = nullptr;

  void StartDeployment(const std::vector<std::string>& aStoreArguments = {},
                       const std::string& aFleetExtra = "")
  {
    m_host = &m_deployment.AddHost("h1", "z1", { "--lease", "1500" });
    m_deployment.AddEngine("w1", {}, true);
    m_deployment.AddStore("s1", aStoreArguments, true);
    m_deployment.StartDeployment(aFleetExtra);
  }

  int StoredBlocks()
  {
    return Get(m_deployment.At("s1").DirectUrl() + "/stat").Json()["blocks"].get<int>();
  }

  /// Runs a context once, waits until the store has its blocks and evicts them from the engine.
  void RunAndEvict(const std::string& aContext, int aMinStoredBlocks)
  {
    LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, aContext + "first")).m_status);
    CHECK(WaitFor([&] { return StoredBlocks() >= aMinStoredBlocks; }));
    Evict();
  }

  /// Evicts all blocks from the engine and waits until the cache events were polled.
  void Evict()
  {
    m_deployment.At("w1").SetFaults({ { "evict", true } });
    const auto polls = [&] {
      return Get(m_deployment.At("w1").DirectUrl() + "/ledger").Json()["event_polls"].get<int>();
    };
    const int before = polls();
    CHECK(WaitFor([&] { return polls() >= before + 2; }));
  }
};

TEST(Restore, ARepeatedPromptIsRestoredWithTheSameTextAsComputed)
{
  StartDeployment();
  const std::string context = MakeContext(1);
  RunAndEvict(context, 20);
  const Response response = Send(MakeCompletionCall(*m_host, context + "second"));
  LONGS_EQUAL(20 * 256, PromptTokenDetails(response)["restored_tokens"].get<int>());
  STRCMP_EQUAL(ReferenceText(context + "second").c_str(), response.Text().c_str());
}

TEST(Restore, TruncatedBlocksAreNotUsed)
{
  StartDeployment();
  const std::string context = MakeContext(2);
  RunAndEvict(context, 20);
  m_deployment.At("s1").SetFaults({ { "truncate", true } });
  for (int i = 0; i < 3; ++i) {
    const std::string prompt = context + "again" + std::to_string(i);
    const Response response = Send(MakeCompletionCall(*m_host, prompt));
    LONGS_EQUAL(0, PromptTokenDetails(response)["restored_tokens"].get<int>());
    STRCMP_EQUAL(ReferenceText(prompt).c_str(), response.Text().c_str());
    Evict();
  }
}

TEST(Restore, BlocksFreedAndReusedDuringAnImportAreNotUsed)
{
  StartDeployment();
  const std::string context = MakeContext(3);
  RunAndEvict(context, 20);
  m_deployment.At("s1").SetFaults({ { "free_on_read", true } });
  CHECK(WaitFor([&] {
    const Response response = Send(MakeCompletionCall(*m_host, context + "again"));
    STRCMP_EQUAL(ReferenceText(context + "again").c_str(), response.Text().c_str());
    Evict();
    return Get(m_host->GateUrl() + "/metrics").m_body.find("ferrytray_imports_dropped_total") !=
           std::string::npos;
  }));
}

TEST(Restore, CachedBlocksAreNotSharedAcrossAccounts)
{
  StartDeployment();
  const std::string context = MakeContext(4);
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, context)).m_status);
  CHECK(WaitFor([&] { return StoredBlocks() >= 20; }));
  Call other = MakeCompletionCall(*m_host, context);
  other.m_headers.back().second = "Bearer bench-key";
  const Response response = Send(other);
  LONGS_EQUAL(0, PromptTokenDetails(response)["cached_tokens"].get<int>());
  STRCMP_EQUAL(ReferenceText(context, "bench").c_str(), response.Text().c_str());
}

TEST(Restore, BlocksOfAnOldWeightVersionAreNotUsed)
{
  StartDeployment();
  const std::string context = MakeContext(5);
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, context)).m_status);
  CHECK(WaitFor([&] { return StoredBlocks() >= 20; }));
  LONGS_EQUAL(0, m_deployment.Apply(StandardFile("2")).m_exitCode);
  Response response;
  CHECK(WaitFor([&] {
    response = Send(MakeCompletionCall(*m_host, context));
    return response.m_status == 200;
  }));
  LONGS_EQUAL(0, PromptTokenDetails(response)["cached_tokens"].get<int>());
  STRCMP_EQUAL(ReferenceText(context, "lab", "2").c_str(), response.Text().c_str());
}

TEST(Restore, ARunKeepsItsVersionAcrossAWeightSwap)
{
  m_host = &m_deployment.AddHost("h1", "z1");
  m_deployment.AddEngine("w1", { "--token-time", "10", "--swap-time", "100" });
  m_deployment.StartDeployment("    checks_fencing: true\n");
  const Call call =
    MakeCompletionCall(*m_host, "across", { { "max_tokens", 300 }, { "stream", true } });
  const auto responses = SendAll({ call }, [&] {
    LONGS_EQUAL(0, m_deployment.Apply(StandardFile("2", "    checks_fencing: true\n")).m_exitCode);
  });
  STRCMP_EQUAL(ReferenceText("across", "lab", "1", 300).c_str(), responses.front().Text().c_str());
  CHECK(responses.front().m_body.find("[DONE]") != std::string::npos);
}

TEST(Restore, AnInterruptedStreamIsResumedWithoutGaps)
{
  StartDeployment();
  m_deployment.At("w1").SetProxyFaults({ { "cut_reply_after", 700 } });
  const Response response =
    Send(MakeCompletionCall(*m_host, "resume me", { { "max_tokens", 100 }, { "stream", true } }));
  STRCMP_EQUAL(ReferenceText("resume me", "lab", "1", 100).c_str(), response.Text().c_str());
  CHECK(response.m_body.find("[DONE]") != std::string::npos);
  CHECK(Get(m_host->GateUrl() + "/metrics").m_body.find("ferrytray_stream_resumes_total") !=
        std::string::npos);
}

TEST(Restore, AnUnreachableStoreIsTreatedAsACacheMiss)
{
  StartDeployment();
  const std::string context = MakeContext(6);
  RunAndEvict(context, 20);
  m_deployment.At("s1").m_process.Kill();
  const Response response = Send(MakeCompletionCall(*m_host, context + "again"));
  STRCMP_EQUAL(ReferenceText(context + "again").c_str(), response.Text().c_str());
}

TEST(Restore, AStoreKilledDuringAnImportIsTreatedAsACacheMiss)
{
  // Slow link: the import must last long enough for the store to be killed during it.
  StartDeployment({ "--link-bytes-per-second", "20000000", "--bytes-per-block", "1024000" });
  const std::string context = MakeContext(7);
  RunAndEvict(context, 20);
  const auto responses = SendAll({ MakeCompletionCall(*m_host, context + "again") },
                                 [&] { m_deployment.At("s1").m_process.Kill(); });
  STRCMP_EQUAL(ReferenceText(context + "again").c_str(), responses.front().Text().c_str());
}

TEST(Restore, MissingCacheEventsAreDetected)
{
  StartDeployment();
  m_deployment.At("w1").SetFaults({ { "hide_events", 5 } });
  const std::string context = MakeContext(8);
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, context)).m_status);
  CHECK(WaitFor([&] {
    return Get(m_host->GateUrl() + "/metrics").m_body.find("ferrytray_cache_event_gaps_total") !=
           std::string::npos;
  }));
  const Response response = Send(MakeCompletionCall(*m_host, context + "more"));
  STRCMP_EQUAL(ReferenceText(context + "more").c_str(), response.Text().c_str());
}

TEST(Restore, AReplyOfAnotherVersionIsDroppedBeforeItsFirstToken)
{
  StartDeployment();
  m_deployment.At("w1").SetFaults({ { "answer_version", "9" } });
  const json stream{ { "stream", true } };
  const Response response = Send(MakeCompletionCall(
    *m_host, "swapped between", stream, { { "Ferrytray-Idempotent", "false" } }));
  LONGS_EQUAL(4006, response.ErrorCode());
  STRCMP_EQUAL("unknown", response.RunState().c_str());
  CHECK(response.Text().empty());
}

// An import starts after the blocks that the gate believes to be in the engine's cache. Guards
// against using the imported blocks when those before them were evicted since. Found by the soak.
TEST(Restore, AnImportWhosePrefixWasEvictedIsNotUsed)
{
  StartDeployment();
  const std::string context = MakeContext(9);
  RunAndEvict(context, 20);
  LONGS_EQUAL(200, Send(MakeCompletionCall(*m_host, context.substr(0, 10U * 1024))).m_status);
  m_deployment.At("w1").SetFaults({ { "evict", true } });
  const Response response = Send(MakeCompletionCall(*m_host, context + "again"));
  STRCMP_EQUAL(ReferenceText(context + "again").c_str(), response.Text().c_str());
}
