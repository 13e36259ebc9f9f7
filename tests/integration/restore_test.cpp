#include "tests/integration/deployment.hpp" // for Deployment

#include <CppUTest/TestHarness.h> // for TEST

using namespace integration;

namespace {

std::string Context(int aNumber)
{
  std::string text;
  for (int i = 0; text.size() < 20U * 1024; ++i) {
    text +=
      "line " + std::to_string(i * 7 + aNumber) + " of context " + std::to_string(aNumber) + "\n";
  }
  return text;
}

json Details(const Answer& aAnswer)
{
  return aAnswer.Json()["usage"]["prompt_tokens_details"];
}

} // namespace

TEST_GROUP(Restore)
{
  Deployment m_deployment;
  EntryHost* m_host = nullptr;

  void Begin(const std::vector<std::string>& aStoreArguments = {},
             const std::string& aFleetExtra = "")
  {
    m_host = &m_deployment.AddHost("h1", "z1", { "--lease", "1500" });
    m_deployment.AddEngine("w1", {}, true);
    m_deployment.AddStore("s1", aStoreArguments, true);
    m_deployment.Begin(aFleetExtra);
  }

  int Stored()
  {
    return Get(m_deployment.At("s1").Direct() + "/stat").Json()["blocks"].get<int>();
  }

  /// Runs a context once, waits until it is kept and evicts it from the engine.
  void RunAndEvict(const std::string& aContext, int aStoredAfter)
  {
    LONGS_EQUAL(200, Send(Ask(*m_host, aContext + "first")).m_status);
    CHECK(WaitFor([&] { return Stored() >= aStoredAfter; }));
    Evict();
  }

  /// Evicts everything from the engine and waits until the gate has heard of it.
  void Evict()
  {
    m_deployment.At("w1").Faults({ { "evict", true } });
    const auto polls = [&] {
      return Get(m_deployment.At("w1").Direct() + "/ledger").Json()["event_polls"].get<int>();
    };
    const int before = polls();
    CHECK(WaitFor([&] { return polls() >= before + 2; }));
  }
};

TEST(Restore, AReturningPromptIsRestoredAndAnsweredAsIfComputed)
{
  Begin();
  const std::string context = Context(1);
  RunAndEvict(context, 20);
  const Answer answer = Send(Ask(*m_host, context + "second"));
  LONGS_EQUAL(20 * 256, Details(answer)["restored_tokens"].get<int>());
  STRCMP_EQUAL(AnswerAlone(context + "second").c_str(), answer.Text().c_str());
}

TEST(Restore, TruncatedBlocksAreNotUsed)
{
  Begin();
  const std::string context = Context(2);
  RunAndEvict(context, 20);
  m_deployment.At("s1").Faults({ { "truncate", true } });
  for (int i = 0; i < 3; ++i) {
    const std::string prompt = context + "again" + std::to_string(i);
    const Answer answer = Send(Ask(*m_host, prompt));
    LONGS_EQUAL(0, Details(answer)["restored_tokens"].get<int>());
    STRCMP_EQUAL(AnswerAlone(prompt).c_str(), answer.Text().c_str());
    Evict();
  }
}

TEST(Restore, BlocksFreedAndReusedDuringAnImportAreNotUsed)
{
  Begin();
  const std::string context = Context(3);
  RunAndEvict(context, 20);
  m_deployment.At("s1").Faults({ { "free_on_read", true } });
  CHECK(WaitFor([&] {
    const Answer answer = Send(Ask(*m_host, context + "again"));
    STRCMP_EQUAL(AnswerAlone(context + "again").c_str(), answer.Text().c_str());
    Evict();
    return Get(m_host->Gate() + "/metrics").m_body.find("ferrytray_imports_dropped_total") !=
           std::string::npos;
  }));
}

TEST(Restore, AnotherAccountGetsNothingOfIt)
{
  Begin();
  const std::string context = Context(4);
  LONGS_EQUAL(200, Send(Ask(*m_host, context)).m_status);
  CHECK(WaitFor([&] { return Stored() >= 20; }));
  Call other = Ask(*m_host, context);
  other.m_headers.back().second = "Bearer bench-key";
  const Answer answer = Send(other);
  LONGS_EQUAL(0, Details(answer)["cached_tokens"].get<int>());
  STRCMP_EQUAL(AnswerAlone(context, "bench").c_str(), answer.Text().c_str());
}

TEST(Restore, ANewWeightVersionUsesNoOldBlocks)
{
  Begin();
  const std::string context = Context(5);
  LONGS_EQUAL(200, Send(Ask(*m_host, context)).m_status);
  CHECK(WaitFor([&] { return Stored() >= 20; }));
  LONGS_EQUAL(0, m_deployment.Apply(StandardFile("2")).m_exitCode);
  Answer answer;
  CHECK(WaitFor([&] {
    answer = Send(Ask(*m_host, context));
    return answer.m_status == 200;
  }));
  LONGS_EQUAL(0, Details(answer)["cached_tokens"].get<int>());
  STRCMP_EQUAL(AnswerAlone(context, "lab", "2").c_str(), answer.Text().c_str());
}

TEST(Restore, ARunGoesOnAcrossASwapWithItsOwnVersion)
{
  m_host = &m_deployment.AddHost("h1", "z1");
  m_deployment.AddEngine("w1", { "--token-time", "10", "--swap-time", "100" });
  m_deployment.Begin("    checks_fencing: true\n");
  const Call call = Ask(*m_host, "across", { { "max_tokens", 300 }, { "stream", true } });
  const auto answers = SendAll({ call }, [&] {
    LONGS_EQUAL(0, m_deployment.Apply(StandardFile("2", "    checks_fencing: true\n")).m_exitCode);
  });
  STRCMP_EQUAL(AnswerAlone("across", "lab", "1", 300).c_str(), answers.front().Text().c_str());
  CHECK(answers.front().m_body.find("[DONE]") != std::string::npos);
}

TEST(Restore, ACutStreamIsResumedWhole)
{
  Begin();
  m_deployment.At("w1").ProxyFaults({ { "cut_reply_after", 700 } });
  const Answer answer =
    Send(Ask(*m_host, "resume me", { { "max_tokens", 100 }, { "stream", true } }));
  STRCMP_EQUAL(AnswerAlone("resume me", "lab", "1", 100).c_str(), answer.Text().c_str());
  CHECK(answer.m_body.find("[DONE]") != std::string::npos);
  CHECK(Get(m_host->Gate() + "/metrics").m_body.find("ferrytray_stream_resumes_total") !=
        std::string::npos);
}

TEST(Restore, ADeadStoreCostsAMissAndNothingElse)
{
  Begin();
  const std::string context = Context(6);
  RunAndEvict(context, 20);
  m_deployment.At("s1").m_process.Kill();
  const Answer answer = Send(Ask(*m_host, context + "again"));
  STRCMP_EQUAL(AnswerAlone(context + "again").c_str(), answer.Text().c_str());
}

TEST(Restore, AStoreKilledDuringAnImportCostsAMiss)
{
  // Slow link: the import lasts long enough to be cut.
  Begin({ "--link-bytes-per-second", "20000000", "--bytes-per-block", "1024000" });
  const std::string context = Context(7);
  RunAndEvict(context, 20);
  const auto answers =
    SendAll({ Ask(*m_host, context + "again") }, [&] { m_deployment.At("s1").m_process.Kill(); });
  STRCMP_EQUAL(AnswerAlone(context + "again").c_str(), answers.front().Text().c_str());
}

TEST(Restore, MissingCacheEventsAreNoticed)
{
  Begin();
  m_deployment.At("w1").Faults({ { "hide_events", 5 } });
  const std::string context = Context(8);
  LONGS_EQUAL(200, Send(Ask(*m_host, context)).m_status);
  CHECK(WaitFor([&] {
    return Get(m_host->Gate() + "/metrics").m_body.find("ferrytray_cache_event_gaps_total") !=
           std::string::npos;
  }));
  const Answer answer = Send(Ask(*m_host, context + "more"));
  STRCMP_EQUAL(AnswerAlone(context + "more").c_str(), answer.Text().c_str());
}

TEST(Restore, AnAnswerOfAnotherVersionIsDroppedBeforeItsFirstToken)
{
  Begin();
  m_deployment.At("w1").Faults({ { "answer_version", "9" } });
  const json stream{ { "stream", true } };
  const Answer answer =
    Send(Ask(*m_host, "swapped between", stream, { { "Ferrytray-Idempotent", "false" } }));
  LONGS_EQUAL(4006, answer.Code());
  STRCMP_EQUAL("unknown", answer.Run().c_str());
  CHECK(answer.Text().empty());
}

// Found by the soak: an import begins after the blocks that the engine is thought to have. When
// those have gone since, what follows them must not be used.
TEST(Restore, AnImportWhosePrefixWasEvictedIsNotUsed)
{
  Begin();
  const std::string context = Context(9);
  RunAndEvict(context, 20);
  LONGS_EQUAL(200, Send(Ask(*m_host, context.substr(0, 10U * 1024))).m_status);
  m_deployment.At("w1").Faults({ { "evict", true } });
  const Answer answer = Send(Ask(*m_host, context + "again"));
  STRCMP_EQUAL(AnswerAlone(context + "again").c_str(), answer.Text().c_str());
}
