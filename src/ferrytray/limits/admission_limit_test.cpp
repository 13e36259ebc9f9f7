#include "ferrytray/limits/admission_limit.hpp"

#include <deque>  // for deque
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));
constexpr base::Duration kTarget = 400ms;

/// Simulates endpoints that run m_slots requests at a time and queue the others.
struct EndpointPool
{
  std::size_t m_slots;
  base::Duration m_serviceTime = 200ms;
  std::deque<std::pair<std::uint64_t, base::TimePoint>> m_waiting;  ///< id, arrival
  std::vector<std::pair<std::uint64_t, base::TimePoint>> m_running; ///< id, end
};

struct Outcome
{
  int m_onTime = 0;
  int m_late = 0;
  int m_refused = 0;
};

/// Sends one request every aGap for aSpan.
Outcome SimulateLoad(limits::AdmissionLimit& aLimit,
                     EndpointPool& aPool,
                     base::Duration aGap,
                     base::Duration aSpan)
{
  Outcome outcome;
  base::Duration next{};
  for (base::Duration t{}; t < aSpan; t += 1ms) {
    const base::TimePoint now = kStart + t;
    std::erase_if(aPool.m_running, [&](const auto& aPair) {
      const bool done = aPair.second <= now;
      if (done) {
        aLimit.OnEnded(aPair.first);
      }
      return done;
    });
    while (!aPool.m_waiting.empty() && aPool.m_running.size() < aPool.m_slots) {
      const auto [id, arrival] = aPool.m_waiting.front();
      aPool.m_waiting.pop_front();
      aLimit.OnAnswerStarted(id, now);
      ++(now - arrival <= kTarget ? outcome.m_onTime : outcome.m_late);
      aPool.m_running.emplace_back(id, now + aPool.m_serviceTime);
    }
    if (t < next) {
      continue;
    }
    next += aGap;
    const auto id = aLimit.Admit(kTarget, now);
    if (id) {
      aPool.m_waiting.emplace_back(*id, now);
    } else {
      ++outcome.m_refused;
    }
  }
  return outcome;
}

} // namespace

TEST_GROUP(AdmissionLimit)
{
  limits::AdmissionLimit m_limit;
};

TEST(AdmissionLimit, AdmitsEverythingWithinCapacity)
{
  EndpointPool pool{ 10, 200ms, {}, {} };
  const Outcome outcome = SimulateLoad(m_limit, pool, 25ms, 20s); // uses 8 of 10 slots
  LONGS_EQUAL(0, outcome.m_refused);
  LONGS_EQUAL(0, outcome.m_late);
  CHECK_FALSE(m_limit.Limit().has_value());
}

TEST(AdmissionLimit, EarlyReactionKeepsMostAdmittedRequestsOnTimeUnderOverload)
{
  // Reacts well before targets are missed.
  limits::AdmissionLimit reactive({ .m_slowTargetFraction = 0.6,
                                    .m_maxSlowFraction = 0.3,
                                    .m_decreaseFactor = 0.85,
                                    .m_increaseFactor = 1.04 });
  EndpointPool pool{ 10, 200ms, {}, {} };
  const Outcome outcome = SimulateLoad(reactive, pool, 14ms, 20s); // needs 14 of 10 slots
  const int answered = outcome.m_onTime + outcome.m_late;
  CHECK(outcome.m_onTime > answered * 9 / 10);
  CHECK(answered > 800); // capacity: 1,000
  CHECK(outcome.m_refused > 300);
}

TEST(AdmissionLimit, DefaultOptionsKeepMostAdmittedRequestsOnTimeUnderOverload)
{
  EndpointPool pool{ 10, 200ms, {}, {} };
  const Outcome outcome = SimulateLoad(m_limit, pool, 14ms, 20s);
  const int answered = outcome.m_onTime + outcome.m_late;
  CHECK(outcome.m_onTime > answered * 6 / 10);
  CHECK(answered > 900);
  CHECK(outcome.m_refused > 300);
}

TEST(AdmissionLimit, MostRequestsAreLateUnderOverloadWithoutALimit)
{
  limits::AdmissionLimit unlimited({ .m_maxSlowFraction = 2.0 });
  EndpointPool pool{ 10, 200ms, {}, {} };
  const Outcome outcome = SimulateLoad(unlimited, pool, 14ms, 20s);
  CHECK(outcome.m_late > outcome.m_onTime * 5);
}

TEST(AdmissionLimit, RemovesTheLimitWhenCapacityReturns)
{
  EndpointPool pool{ 10, 200ms, {}, {} };
  SimulateLoad(m_limit, pool, 14ms, 5s);
  CHECK(m_limit.Limit().has_value());
  pool.m_slots = 40;
  const Outcome outcome = SimulateLoad(m_limit, pool, 25ms, 20s);
  CHECK(outcome.m_refused < 20);
}

TEST(AdmissionLimit, IgnoresWindowsWithTooFewSamples)
{
  for (int i = 0; i < 3; ++i) {
    CHECK(m_limit.Admit(kTarget, kStart).has_value());
  }
  CHECK(m_limit.Admit(kTarget, kStart + 5s).has_value());
  CHECK_FALSE(m_limit.Limit().has_value());
}
