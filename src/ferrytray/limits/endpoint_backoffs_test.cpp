#include "ferrytray/limits/endpoint_backoffs.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using limits::BackoffChange;

namespace {

constexpr limits::EndpointKey kEndpoint = 7;
const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(EndpointBackoffs)
{
  limits::EndpointBackoffs m_backoffs;

  BackoffChange Refuse(base::Duration aDelay, base::Duration aAt)
  {
    return m_backoffs.OnRefused(kEndpoint, aDelay, kStart + aAt);
  }
  bool IsInBackoff(base::Duration aAt)
  {
    return m_backoffs.EndsAt(kEndpoint, kStart + aAt).has_value();
  }
  bool IsWindowFull(std::uint32_t aOpenRequests, base::Duration aAt)
  {
    return m_backoffs.IsWindowFull(kEndpoint, aOpenRequests, kStart + aAt);
  }
};

TEST(EndpointBackoffs, BackoffLastsAsLongAsRequested)
{
  CHECK_FALSE(IsInBackoff(0s));
  CHECK(Refuse(3s, 0s) == BackoffChange::Begun);
  CHECK(IsInBackoff(1ms));
  CHECK(IsInBackoff(2999ms));
  CHECK_FALSE(IsInBackoff(3s));
  CHECK(m_backoffs.EndsAt(kEndpoint, kStart) == kStart + 3s);
}

TEST(EndpointBackoffs, LatestEndApplies)
{
  Refuse(3s, 0s);
  CHECK(Refuse(1s, 500ms) == BackoffChange::None);
  CHECK(IsInBackoff(2s));
  CHECK(Refuse(3s, 1s) == BackoffChange::Extended);
  CHECK(IsInBackoff(3500ms));
  CHECK_FALSE(IsInBackoff(4s));
  CHECK(Refuse(3s, 5s) == BackoffChange::Begun);
}

TEST(EndpointBackoffs, ZeroDelayIsNoBackoff)
{
  CHECK(Refuse(0s, 0s) == BackoffChange::None);
  CHECK_FALSE(IsInBackoff(0s));
  CHECK(m_backoffs.Empty());
}

TEST(EndpointBackoffs, LongDelaysAreShortened)
{
  Refuse(24h, 0s);
  CHECK(m_backoffs.EndsAt(kEndpoint, kStart) == kStart + 1h);
  Refuse(base::Duration::max(), 1s);
  CHECK(m_backoffs.EndsAt(kEndpoint, kStart + 1s) == kStart + 1h + 1s);
}

TEST(EndpointBackoffs, WindowGrowsWithAnswers)
{
  Refuse(1s, 0s);
  CHECK_FALSE(IsWindowFull(1, 1s));
  CHECK(IsWindowFull(2, 1s));
  m_backoffs.OnAnswered(kEndpoint, kStart + 1s);
  CHECK_FALSE(IsWindowFull(2, 1100ms));
  CHECK(IsWindowFull(3, 1100ms));
  for (int answers = 0; answers < 13; ++answers) {
    m_backoffs.OnAnswered(kEndpoint, kStart + 1s);
  }
  CHECK_FALSE(IsWindowFull(1000, 1200ms));
  CHECK(m_backoffs.Empty());
}

// Answers overtake each other on different connections.
TEST(EndpointBackoffs, AnswerToEarlierRequestDoesNotWidenTheWindow)
{
  Refuse(1s, 0s);
  for (int answers = 0; answers < 100; ++answers) {
    m_backoffs.OnAnswered(kEndpoint, kStart + 999ms);
  }
  CHECK(IsInBackoff(999ms));
  CHECK(IsWindowFull(2, 1s));
}

TEST(EndpointBackoffs, NewBackoffRestartsTheSlowStart)
{
  Refuse(1s, 0s);
  m_backoffs.OnAnswered(kEndpoint, kStart + 1s);
  CHECK_FALSE(IsWindowFull(2, 1100ms));
  Refuse(1s, 2s);
  CHECK(IsWindowFull(2, 3s));
}

TEST(EndpointBackoffs, SlowStartEndsAfterSomeTime)
{
  Refuse(1s, 0s);
  CHECK(IsWindowFull(2, 5999ms));
  CHECK_FALSE(IsWindowFull(1000, 6s));
  m_backoffs.Expire(kStart + 5999ms);
  CHECK_FALSE(m_backoffs.Empty());
  m_backoffs.Expire(kStart + 6s);
  CHECK(m_backoffs.Empty());
}

TEST(EndpointBackoffs, CountsEndpointsInBackoff)
{
  m_backoffs.OnRefused(1, 1s, kStart);
  m_backoffs.OnRefused(2, 2s, kStart);
  LONGS_EQUAL(2, m_backoffs.Count(kStart));
  LONGS_EQUAL(1, m_backoffs.Count(kStart + 1s));
}

TEST(EndpointBackoffs, BoundsTheNumberOfEntries)
{
  limits::EndpointBackoffOptions options;
  options.m_maxEntries = 100;
  m_backoffs = limits::EndpointBackoffs(options);
  for (limits::EndpointKey key = 0; key < 1000; ++key) {
    m_backoffs.OnRefused(key, 1s, kStart);
  }
  LONGS_EQUAL(100, m_backoffs.Count(kStart));
  CHECK(m_backoffs.OnRefused(0, 2s, kStart) == BackoffChange::Extended);
}

// Every host learns of the delay by a refusal of its own; the number of refusals must not grow with
// the requests.
TEST(EndpointBackoffs, EachHostIsRefusedOncePerDelay)
{
  constexpr auto kRunTime = 30s;
  constexpr auto kDelay = 3s;
  for (const int hosts : { 10, 100, 1000 }) {
    int refusals = 0;
    for (int host = 0; host < hosts; ++host) {
      limits::EndpointBackoffs backoffs;
      for (base::Duration at{}; at < kRunTime; at += 10ms) {
        const base::TimePoint now = kStart + at;
        if (!backoffs.EndsAt(kEndpoint, now)) {
          backoffs.OnRefused(kEndpoint, kDelay, now);
          ++refusals;
        }
      }
    }
    LONGS_EQUAL(hosts * (kRunTime / kDelay), refusals);
  }
}
