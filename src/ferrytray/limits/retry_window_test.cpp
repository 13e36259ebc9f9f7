#include "ferrytray/limits/retry_window.hpp"

#include <algorithm> // for count_if
#include <vector>    // for vector

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(50'000'000));

} // namespace

TEST_GROUP(RetryWindow){};

TEST(RetryWindow, AllowsRetriesUpToTheRatioOfFirstSends)
{
  limits::RetryWindow window({ .m_ratio = 0.2, .m_hostRatioFraction = 1.0, .m_minRetries = 0 });
  for (int i = 0; i < 10; ++i) {
    window.OnFirstSend("s", kStart);
  }
  CHECK(window.TryRetry("s", kStart));
  CHECK(window.TryRetry("s", kStart));
  CHECK_FALSE(window.TryRetry("s", kStart));
}

TEST(RetryWindow, CountsServicesSeparately)
{
  limits::RetryWindow window({ .m_ratio = 1.0, .m_hostRatioFraction = 1.0, .m_minRetries = 0 });
  window.OnFirstSend("a", kStart);
  CHECK_FALSE(window.TryRetry("b", kStart));
}

TEST(RetryWindow, IgnoresFirstSendsOlderThanTheWindow)
{
  limits::RetryWindow window({ .m_ratio = 1.0, .m_hostRatioFraction = 1.0, .m_minRetries = 0 });
  window.OnFirstSend("s", kStart);
  CHECK_FALSE(window.TryRetry("s", kStart + 10s));
}

TEST(RetryWindow, NineSlotsNeverHoldMoreRetriesThanTheWindowAllows)
{
  const bool held = rc::check([] {
    limits::RetryWindow window({ .m_ratio = 0.2, .m_hostRatioFraction = 1.0, .m_minRetries = 1.0 });
    const auto gaps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 300));
    std::vector<base::TimePoint> firstSends;
    std::vector<base::TimePoint> retries;
    base::TimePoint now = kStart;
    for (const int gap : gaps) {
      now += std::chrono::milliseconds(gap);
      window.OnFirstSend("s", now);
      firstSends.push_back(now);
      if (window.TryRetry("s", now)) {
        retries.push_back(now);
      }
      const auto within = [now](const std::vector<base::TimePoint>& aTimes, base::Duration aSpan) {
        return std::count_if(
          aTimes.begin(), aTimes.end(), [&](base::TimePoint aTime) { return aTime > now - aSpan; });
      };
      // A slot is a tenth of the window, so a retry is counted for at least nine tenths of it.
      RC_ASSERT(static_cast<double>(within(retries, 9s)) <=
                1.0 + 0.2 * static_cast<double>(within(firstSends, 10s)) + 1e-9);
    }
  });
  CHECK(held);
}
