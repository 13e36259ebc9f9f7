#include "ferrytray/relay/crash_reporter.hpp"

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "tests/support/exchange_fixture.hpp"    // for ExchangeFixture, MakeEndpoint

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;
const quarantine::EndpointKey kBroken = peers::KeyOf("a");
const quarantine::EndpointKey kOther = peers::KeyOf("b");
const quarantine::ContentKey kContent{ 7, 7 };

} // namespace

TEST_GROUP_BASE(CrashReporter, support::ExchangeFixture)
{
  relay::CrashReporter m_reporter{ m_core };

  void setup() override
  {
    ExchangeFixture::setup();
    m_reporter.OnConnectionBroken({ "a", { kContent }, kStart - 1s, kStart });
  }
  [[nodiscard]] bool IsReported() const
  {
    return m_core.m_crashes.HasCrashed(kBroken);
  }
  void FailConnects(base::TimePoint aNow)
  {
    m_core.m_reachability.OnConnectFailed("a", "", { 2, 1 }, aNow);
    m_core.m_reachability.OnConnectFailed("b", "", { 2, 1 }, aNow);
  }
  /// The directory lists the endpoint's id with a later start time.
  void RestartBrokenEndpoint()
  {
    fleet::Endpoint next = support::MakeEndpoint("a");
    next.m_startTime = 1;
    next.m_incarnation = fleet::IncarnationOf("a", 1);
    m_core.m_directory.Upsert(next, base::MonotonicNow());
  }
};

TEST(CrashReporter, ReportsOnceAnotherEndpointAnswers)
{
  CHECK_FALSE(IsReported());
  m_reporter.OnEndpointAlive(kOther, kStart + 20ms);
  CHECK(IsReported());
  CHECK_FALSE(m_reporter.HasPending());
}

TEST(CrashReporter, AnswerReceivedBeforeTheBreakConfirmsNothing)
{
  m_reporter.OnEndpointAlive(kOther, kStart + 1ms);
  CHECK_FALSE(IsReported());
  CHECK(m_reporter.HasPending());
}

TEST(CrashReporter, SameEndpointConfirmsNothing)
{
  m_reporter.OnEndpointAlive(kBroken, kStart + 20ms);
  CHECK_FALSE(IsReported());
}

// A partition reset the connections of all requests; endpoints and requests were reported to all
// hosts as crashed.
TEST(CrashReporter, PartitionDiscardsReports)
{
  FailConnects(kStart + 300ms);
  m_reporter.Check(kStart + 310ms);
  m_core.m_reachability.OnConnected(kStart + 5s);
  m_reporter.OnEndpointAlive(kOther, kStart + 5s);
  m_reporter.Check(kStart + 5999ms);
  CHECK_FALSE(IsReported());
  m_reporter.Check(kStart + 6s);
  CHECK_FALSE(m_reporter.HasPending());
  CHECK_FALSE(IsReported());
}

// One request crashed all three endpoints of a service. The host took the failed connects for a
// partition of its own and discarded the reports, so the request was forwarded without end.
TEST(CrashReporter, ReportsCrashedEndpointsAlthoughAllConnectsFail)
{
  FailConnects(kStart + 300ms);
  m_reporter.Check(kStart + 310ms);
  CHECK_FALSE(IsReported());
  RestartBrokenEndpoint();
  m_reporter.Check(kStart + 2s);
  CHECK(IsReported());
}

TEST(CrashReporter, ReportsAfterDelayWithoutConfirmation)
{
  m_reporter.Check(kStart + 999ms);
  CHECK_FALSE(IsReported());
  m_reporter.Check(kStart + 1s);
  CHECK(IsReported());
}

TEST(CrashReporter, ReplyIsVerifiedByALaterReadOfTheDirectory)
{
  m_reporter.OnEndpointAlive(kOther, kStart + 20ms);
  m_reporter.OnReply("a", kStart + 100ms, kStart + 200ms);
  m_core.m_directoryReadAt = kStart + 700ms;
  m_reporter.Check(kStart + 1s);
  CHECK(IsReported());
  m_core.m_directoryReadAt = kStart + 701ms;
  m_reporter.Check(kStart + 1s);
  CHECK_FALSE(IsReported());
}

// An endpoint that restarted under its id answered before its new entry was read. The reply revoked
// the crash, so a request that crashed endpoints was never quarantined.
TEST(CrashReporter, ReplyOfNextIncarnationRevokesNothing)
{
  m_reporter.OnEndpointAlive(kOther, kStart + 20ms);
  m_reporter.OnReply("a", kStart + 100ms, kStart + 200ms);
  RestartBrokenEndpoint();
  m_core.m_directoryReadAt = kStart + 2s;
  m_reporter.Check(kStart + 2s);
  CHECK(IsReported());
}

TEST(CrashReporter, ReplyToARequestInProgressShowsThatTheEndpointIsAlive)
{
  m_reporter.OnReply("a", kStart - 1s, kStart + 5ms); // may have been received before the break
  CHECK(m_reporter.HasPending());
  m_reporter.OnReply("a", kStart - 1s, kStart + 10ms);
  CHECK_FALSE(m_reporter.HasPending());
}

TEST(CrashReporter, ReplyDuringAPartitionIsVerified)
{
  FailConnects(kStart + 300ms);
  m_reporter.Check(kStart + 310ms);
  m_reporter.OnReply("a", kStart + 1s, kStart + 1100ms);
  m_core.m_directoryReadAt = kStart + 2s;
  m_reporter.Check(kStart + 2s);
  CHECK_FALSE(m_reporter.HasPending());
  CHECK_FALSE(IsReported());
}

TEST_GROUP_BASE(ClosedAnswer, support::ExchangeFixture)
{
  relay::CrashReporter m_reporter{ m_core };

  void setup() override
  {
    ExchangeFixture::setup();
    m_core.m_crashes.OnConnectionBroken(kContent, 1, kStart - 10s, kStart - 10s);
    m_reporter.OnClosedAnswer({ "a", { kContent }, kStart - 1s, kStart });
  }
  [[nodiscard]] std::size_t Crashes() const
  {
    const auto suspicion = m_core.m_crashes.Find(kContent);
    return suspicion ? suspicion->m_crashedEndpoints.size() : 0;
  }
};

TEST(ClosedAnswer, CountsAsCompleteOnceAReplyIsVerified)
{
  m_reporter.OnReply("a", kStart + 100ms, kStart + 200ms);
  m_reporter.Check(kStart + 300ms);
  LONGS_EQUAL(1, Crashes());
  m_core.m_directoryReadAt = kStart + 1s;
  m_reporter.Check(kStart + 1s);
  LONGS_EQUAL(0, Crashes());
}

TEST(ClosedAnswer, CountsAsCompleteWithAReplyToARequestInProgress)
{
  m_reporter.OnReply("a", kStart - 1s, kStart + 10ms);
  LONGS_EQUAL(0, Crashes());
}

TEST(ClosedAnswer, CountsAsCompleteIfItsEndpointStaysListed)
{
  m_core.m_directoryReadAt = kStart + 5s;
  m_reporter.Check(kStart + 5500ms);
  LONGS_EQUAL(1, Crashes());
  m_core.m_directoryReadAt = kStart + 5001ms;
  m_reporter.Check(kStart + 5500ms);
  LONGS_EQUAL(0, Crashes());
}

TEST(ClosedAnswer, CountsAsCompleteAtALeavingEndpoint)
{
  m_core.m_directory.MarkLeaving("a");
  m_reporter.Check(kStart + 100ms);
  LONGS_EQUAL(0, Crashes());
}

TEST(ClosedAnswer, DecidesNothingWithoutTheDirectory)
{
  m_reporter.Check(kStart + 6s);
  m_core.m_directoryReadAt = kStart + 10s;
  m_reporter.Check(kStart + 10s);
  LONGS_EQUAL(1, Crashes());
}

// A stream without a length whose endpoint crashed after an event looked complete, so the part of
// the prompt that crashed the endpoint was never suspected.
TEST(ClosedAnswer, CountsAsCrashIfOtherConnectionsOfItsEndpointBroke)
{
  m_core.m_crashes.OnConnectionBroken({ 9, 9 }, kBroken, kStart - 1s, kStart + 5ms);
  m_reporter.Check(kStart + 100ms);
  LONGS_EQUAL(2, Crashes());
}

TEST(ClosedAnswer, CountsAsCrashIfItsEndpointLeavesTheDirectory)
{
  m_core.m_directory.MarkGone("a");
  m_reporter.Check(kStart + 2s);
  LONGS_EQUAL(2, Crashes());
}

TEST(ClosedAnswer, AnEarlierCrashOfItsEndpointDoesNotCount)
{
  m_core.m_crashes.OnConnectionBroken({ 9, 9 }, kBroken, kStart - 2s, kStart - 1s);
  m_reporter.Check(kStart + 100ms);
  LONGS_EQUAL(1, Crashes());
}
