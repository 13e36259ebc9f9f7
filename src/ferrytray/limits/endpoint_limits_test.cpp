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
  m_limits.Expire(kStart + 9999ms);
  CheckLimit(2);
  m_limits.Expire(kStart + 10s);
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
  m_limits = limits::EndpointLimits({ 1s, 10s, 100 });
  for (limits::EndpointKey key = 0; key < 1000; ++key) {
    m_limits.OnAnswer(key, 1.0, kStart, kStart);
  }
  LONGS_EQUAL(100, m_limits.Count());
}
