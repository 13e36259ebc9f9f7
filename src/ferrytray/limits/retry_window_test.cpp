#include "ferrytray/limits/retry_window.hpp"

#include <algorithm> // for count_if
#include <vector>    // for vector

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(50'000'000));
constexpr limits::RetryWindowOptions kOptions{ .m_ratio = 0.2, .m_usedFraction = 1.0 };
constexpr int kPerSecond = 40;
constexpr auto kGap = 1000ms / kPerSecond;

/// Counts requests at a constant rate. @return the end of the period
base::TimePoint CountRequests(limits::RetryWindow& aWindow,
                              base::TimePoint aFrom,
                              base::Duration aSpan)
{
  for (base::TimePoint now = aFrom; now < aFrom + aSpan; now += kGap) {
    aWindow.OnRequest("s", now);
  }
  return aFrom + aSpan;
}

int TakeAll(limits::RetryWindow& aWindow, base::TimePoint aNow)
{
  int taken = 0;
  while (aWindow.TryRetry("s", aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

TEST_GROUP(RetryWindow){};

TEST(RetryWindow, HalfOfTheBudgetOfTheLastWindowIsAvailableAtOnce)
{
  limits::RetryWindow window(kOptions);
  const base::TimePoint now = CountRequests(window, kStart, 30s);
  constexpr int kHalf = kPerSecond * 10 / 5 / 2;
  const int taken = TakeAll(window, now);
  CHECK(taken <= kHalf + 1);
  CHECK(taken >= kHalf - 1); // the oldest and the newest slot may count in part only
}

TEST(RetryWindow, PersistentFailuresGetTheWholeRatio)
{
  limits::RetryWindow window(kOptions);
  base::TimePoint now = CountRequests(window, kStart, 30s);
  int retries = 0;
  int requests = 0;
  for (const base::TimePoint end = now + 60s; now < end; now += kGap) {
    window.OnRequest("s", now);
    ++requests;
    retries += TakeAll(window, now);
  }
  CHECK(retries <= requests / 5 + kPerSecond);
  CHECK(retries >= requests * 19 / 100);
}

TEST(RetryWindow, NewHostEarnsHalfOfTheRatioDuringItsFirstWindow)
{
  limits::RetryWindow window(kOptions);
  LONGS_EQUAL(0, TakeAll(window, kStart));
  const base::TimePoint now = CountRequests(window, kStart, 9s);
  constexpr int kHalf = kPerSecond * 9 / 5 / 2;
  const int taken = TakeAll(window, now);
  CHECK(taken <= kHalf);
  CHECK(taken >= kHalf - 2);
}

// Regression: a process that started anew had an allowance of its own, so that hosts which restart
// often added up to any number of retries.
TEST(RetryWindow, NewHostHasNoAllowanceDuringItsFirstWindow)
{
  limits::RetryWindow window(kOptions);
  for (int i = 0; i < 4; ++i) {
    window.OnRequest("s", kStart + i * 300ms);
  }
  for (base::TimePoint now = kStart; now < kStart + 10s; now += 100ms) {
    CHECK_FALSE(window.TryRetry("s", now));
  }
  CHECK(window.TryRetry("s", kStart + 11s));
}

TEST(RetryWindow, AllowanceOfAHostLetsRareRequestsBeRetried)
{
  limits::RetryWindow window(kOptions);
  base::TimePoint now = kStart;
  for (int i = 0; i < 40; ++i) {
    window.OnRequest("s", now);
    now += 3s; // earns two thirds of a retry in a window
  }
  CHECK(window.TryRetry("s", now));
  CHECK_FALSE(window.TryRetry("s", now));

  window.SetHostCount(3); // shares a slack of one retry
  CHECK_FALSE(window.TryRetry("s", now + 11s));
  window.SetHostCount(1);
  CHECK(window.TryRetry("s", now + 11s));
}

TEST(RetryWindow, CountsServicesSeparately)
{
  limits::RetryWindow window(kOptions);
  const base::TimePoint now = CountRequests(window, kStart, 30s);
  CHECK_FALSE(window.TryRetry("t", now));
  CHECK(window.TryRetry("s", now));
}

TEST(RetryWindow, ForgetsRequestsAfterTwoWindows)
{
  limits::RetryWindow window(kOptions);
  const base::TimePoint now = CountRequests(window, kStart, 30s);
  CHECK(window.Remaining("s", now + 9s) > 1.5);
  CHECK(window.Remaining("s", now + 21s) <= 1);
}

TEST(RetryWindow, KeepsTheBoundInAnyWindow)
{
  const bool held = rc::check([] {
    limits::RetryWindow window(kOptions);
    const auto gaps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 300));
    std::vector<base::TimePoint> requests;
    std::vector<base::TimePoint> retries;
    base::TimePoint now = kStart;
    const auto count = [](const std::vector<base::TimePoint>& aTimes, base::TimePoint aFrom) {
      return static_cast<double>(std::count_if(aTimes.begin(), aTimes.end(), [&](auto aTime) {
        return aTime >= aFrom && aTime < aFrom + 10s;
      }));
    };
    for (std::size_t i = 0; i < gaps.size(); ++i) {
      now += std::chrono::milliseconds(gaps[i] * (i % 100 < 50 ? 1 : 3));
      window.OnRequest("s", now);
      requests.push_back(now);
      if (gaps[i] % 3 == 0) {
        const auto taken = static_cast<std::size_t>(TakeAll(window, now));
        retries.insert(retries.end(), taken, now);
      }
    }
    for (const base::TimePoint from : retries) {
      const double allowed =
        0.2 * (0.5 * count(requests, from) + 0.5 * count(requests, from - 10s));
      RC_ASSERT(count(retries, from) <= allowed + 1 + 1e-9);
    }
  });
  CHECK(held);
}
