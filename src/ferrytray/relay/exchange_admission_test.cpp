// Admission and refusal when engines are full or unreachable.
#include <vector> // for vector

#include "tests/support/exchange_fixture.hpp" // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;
using support::kEngineMemoryTokens;
using support::kLongPromptTokens;

TEST_GROUP_BASE(ExchangeAdmission, support::ExchangeFixture){};

// A partitioned zone makes a quarter of all sends fail to connect. Retrying them must neither
// consume the retry budget nor be refused when the budget is exhausted.
TEST(ExchangeAdmission, UnsentAttemptIsRetriedDespiteExhaustedRetryBudget)
{
  while (m_core.m_retryWindow.TryRetry("s", base::MonotonicNow())) {
  }
  const auto reply = SendRequest("/once/x");
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete); // arrived, so a retry would need the budget
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
}

TEST(ExchangeAdmission, RefusesLongPromptWhenEngineMemoryIsFull)
{
  const auto taken = static_cast<std::uint16_t>(kEngineMemoryTokens / routing::kTokensPerWork);
  m_core.m_peerLoads.OnReport("other",
                              peers::LoadScope::Own,
                              { { peers::TagOf("a"), taken }, { peers::TagOf("b"), taken } },
                              base::MonotonicNow());
  const auto refused = SendRequest("/stream/x", "k", "long");
  LONGS_EQUAL(503, refused->m_status);
  STRCMP_EQUAL("not_run", refused->Header("run").c_str());
  STRCMP_EQUAL("yes", refused->Header("come-back").c_str());
  LONGS_EQUAL(0, m_client.m_calls.size());
  SendRequest("/stream/x", "k", "m");
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(ExchangeAdmission, ShortPromptsRankBeforeLongOnesOfEqualPriority)
{
  SendRequest("/stream/x", "k", "m");
  STRCMP_EQUAL("0", SentHeader("rank").c_str());
  SendRequest("/stream/x", "k", "long");
  STRCMP_EQUAL("1", SentHeader("rank").c_str());
  SendRequest("/once/x");
  STRCMP_EQUAL("", SentHeader("rank").c_str());
}

// A burst of long prompts exceeds the memory of the remaining engines. Those that fit are sent; the
// others are refused before any send.
TEST(ExchangeAdmission, LongPromptBurstIsLimitedByEngineMemory)
{
  constexpr int kBurst = 40;
  int refused = 0;
  std::vector<std::shared_ptr<support::FakeReply>> replies;
  for (int i = 0; i < kBurst; ++i) {
    replies.push_back(SendRequest("/stream/x", "k", "long"));
    refused += replies.back()->m_status == 503 ? 1 : 0;
  }
  const auto sent = static_cast<int>(m_client.m_calls.size());
  LONGS_EQUAL(kBurst, sent + refused);
  CHECK(sent >= 2 * 5); // two engines, five prompts each
  CHECK(static_cast<std::uint64_t>(sent) * kLongPromptTokens <= 2 * kEngineMemoryTokens);
}
