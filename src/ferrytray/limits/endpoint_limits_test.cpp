#include "ferrytray/limits/endpoint_limits.hpp"

#include <limits> // for numeric_limits

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using limits::LimitChange;

namespace {

constexpr limits::EndpointKey kEndpoint = 7;
const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(EndpointLimits)
{
  limits::EndpointLimits m_limits;

  LimitChange Answer(std::optional<double> aLimit, base::Duration aAt, base::Duration aSentAt)
  {
    return m_limits.OnAnswer(kEndpoint, aLimit, kStart + aSentAt, kStart + aAt);
  }
  LimitChange Answer(std::optional<double> aLimit, base::Duration aAt)
  {
    return Answer(aLimit, aAt, aAt);
  }
  void CheckLimit(double aExpected)
  {
    CHECK(m_limits.Limit(kEndpoint).has_value());
    DOUBLES_EQUAL(aExpected, m_limits.Limit(kEndpoint).value_or(-1), 1e-9);
  }
};

TEST(EndpointLimits, ReportsEachChangeOnce)
{
  CHECK(Answer({}, 0ms) == LimitChange::None);
  CHECK(Answer(2.5, 1ms) == LimitChange::Named);
  CHECK(Answer(2.5, 2ms) == LimitChange::None);
  CHECK(Answer(1.5, 3ms) == LimitChange::Changed);
  CHECK(Answer({}, 5ms) == LimitChange::Lifted);
  CHECK(Answer({}, 6ms) == LimitChange::None);
  CHECK(Answer(1.5, 7ms) == LimitChange::Changed);
}

// Answers overtake each other on different connections.
TEST(EndpointLimits, AnswerToEarlierRequestDoesNotLiftTheLimit)
{
  Answer(2.5, 100ms);
  CHECK(Answer({}, 200ms, 50ms) == LimitChange::None);
  CHECK(Answer({}, 200ms, 150ms) == LimitChange::Lifted);
}

TEST(EndpointLimits, LowestValueAppliesWhileValuesAlternate)
{
  for (int i = 0; i < 50; ++i) {
    Answer(i % 2 == 0 ? 2.0 : 40.0, i * 100ms);
    CheckLimit(2);
  }
}

TEST(EndpointLimits, HigherValueAppliesAfterTheRaiseDelay)
{
  Answer(2, 0ms);
  Answer(3, 900ms);
  CheckLimit(2);
  Answer(3, 1000ms);
  CheckLimit(3);
}

TEST(EndpointLimits, ForgetsLimitsThatAreNoLongerNamed)
{
  Answer(2, 0ms);
  m_limits.Expire(kStart + 29'999ms);
  CheckLimit(2);
  m_limits.Expire(kStart + 30s);
  CHECK_FALSE(m_limits.Limit(kEndpoint).has_value());
}

TEST(EndpointLimits, AcceptsFiniteNonNegativeLimits)
{
  CHECK(limits::IsRequestLimit(0));
  CHECK(limits::IsRequestLimit(1e300));
  CHECK_FALSE(limits::IsRequestLimit(-0.1));
  CHECK_FALSE(limits::IsRequestLimit(std::numeric_limits<double>::quiet_NaN()));
  CHECK_FALSE(limits::IsRequestLimit(std::numeric_limits<double>::infinity()));
}

TEST(EndpointLimits, BoundsTheNumberOfEntries)
{
  limits::EndpointLimitOptions options;
  options.m_maxEntries = 100;
  m_limits = limits::EndpointLimits(options);
  for (limits::EndpointKey key = 0; key < 1000; ++key) {
    m_limits.OnAnswer(key, 1.0, kStart, kStart);
  }
  LONGS_EQUAL(100, m_limits.Count());
}

TEST(EndpointLimits, ReportOfAnotherHostMakesTheEndpointLimited)
{
  CHECK(m_limits.OnReport({ kEndpoint, 2.5, 400, false }, kStart));
  CheckLimit(2.5);
  LONGS_EQUAL(900, m_limits.ReportOf(kEndpoint, kStart + 500ms)->m_namedAgeMillis);
}

TEST(EndpointLimits, LatestNamingApplies)
{
  Answer(2.5, 0ms);
  CHECK_FALSE(m_limits.OnReport({ kEndpoint, 1.5, 500, false }, kStart)); // older
  CheckLimit(2.5);
  CHECK_FALSE(m_limits.OnReport({ kEndpoint, 1.5, 0, false }, kStart + 1s));
  CheckLimit(1.5);
}

// The hosts learn at different times that answers no longer name the limit.
TEST(EndpointLimits, LiftedLimitIsReportedUntilItIsNamedAgain)
{
  Answer(2.5, 0ms);
  CHECK(Answer({}, 100ms) == LimitChange::Lifted);
  CHECK(m_limits.ReportOf(kEndpoint, kStart + 200ms)->m_lifted);
  limits::EndpointLimits other;
  other.OnReport({ kEndpoint, 2.5, 0, false }, kStart + 1ms);
  other.OnReport(*m_limits.ReportOf(kEndpoint, kStart + 200ms), kStart + 200ms);
  CHECK(other.ReportOf(kEndpoint, kStart + 200ms)->m_lifted);
  other.OnReport({ kEndpoint, 2.5, 0, false }, kStart + 1s);
  CHECK_FALSE(other.ReportOf(kEndpoint, kStart + 1s)->m_lifted);
}

TEST(EndpointLimits, IgnoresImplausibleReports)
{
  const double notANumber = std::numeric_limits<double>::quiet_NaN();
  for (const limits::LimitReport& report : { limits::LimitReport{ 1, notANumber, 0, false },
                                             limits::LimitReport{ 2, -1, 0, false },
                                             limits::LimitReport{ 3, 1, -5, false },
                                             limits::LimitReport{ 4, 1, 30'000, false } }) {
    CHECK_FALSE(m_limits.OnReport(report, kStart));
  }
  LONGS_EQUAL(0, m_limits.Count());
}

TEST(EndpointLimits, ReportsOnlyRecentLimitsAndABoundedNumber)
{
  for (limits::EndpointKey key = 0; key < 1000; ++key) {
    m_limits.OnAnswer(key, 1.0, kStart, kStart + std::chrono::milliseconds(key));
  }
  const limits::LimitReports reports = m_limits.Reports(kStart + 1s);
  LONGS_EQUAL(256, reports.size());
  for (const limits::LimitReport& report : reports) {
    CHECK(report.m_endpoint >= 1000 - 256);
  }
  CHECK(m_limits.Reports(kStart + 4s).empty());
}
