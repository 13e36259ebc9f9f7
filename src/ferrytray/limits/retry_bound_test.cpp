// The retry budget of a service over all hosts.
//
// Regression: hosts counted their retries in slots of a second and forgot them when they started
// again. Together they sent more retries in one window than the service's budget allows.
#include <algorithm> // for lower_bound, max
#include <cstdio>    // for printf
#include <random>    // for mt19937_64
#include <vector>    // for vector

#include <rapidcheck.h> // for check

#include "ferrytray/limits/retry_window.hpp" // for RetryWindow

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(50'000'000));
constexpr auto kWindow = 10s;
constexpr double kRatio = 0.2;
constexpr int kMaxSends = 4;

/// A number of hosts that send requests to one service.
class Fleet
{
public:
  Fleet(std::size_t aHosts, std::uint64_t aSeed)
    : m_windows(aHosts, NewWindow(aHosts))
    , m_random(aSeed)
  {
  }

  /// Sends requests of random hosts at a rate until a time.
  /// @param aFailures fraction of the sends that fail
  void RunUntil(base::TimePoint aEnd, double aPerSecond, double aFailures)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    while (m_now < aEnd) {
      const std::size_t host = m_random() % m_windows.size();
      m_requests.push_back(m_now);
      m_windows[host].OnRequest("s", m_now);
      int sends = 1;
      while (Draw() < aFailures && sends < kMaxSends) {
        if (!m_windows[host].TryRetry("s", m_now)) {
          ++m_declined;
          break;
        }
        m_retries.push_back(m_now);
        ++sends;
      }
      m_now += base::FromSeconds(gap(m_random));
    }
  }
  void Restart(double aFraction)
  {
    for (limits::RetryWindow& window : m_windows) {
      if (Draw() < aFraction) {
        window = NewWindow(m_windows.size());
      }
    }
  }
  [[nodiscard]] base::TimePoint Now() const { return m_now; }
  [[nodiscard]] std::size_t Retries() const { return m_retries.size(); }
  [[nodiscard]] std::size_t Declined() const { return m_declined; }

  /// Highest number of retries, in any window, beyond the ratio of the service's requests.
  [[nodiscard]] double MaxExcess() const
  {
    double excess = 0;
    for (const base::TimePoint from : m_retries) {
      std::size_t requests = 0;
      for (const base::Duration earlier :
           { base::Duration(0), base::Duration(5s), base::Duration(10s) }) {
        requests = std::max(requests, CountFrom(m_requests, from - earlier));
      }
      excess = std::max(excess,
                        static_cast<double>(CountFrom(m_retries, from)) -
                          kRatio * static_cast<double>(requests));
    }
    return excess;
  }

private:
  /// The slack is one retry per host.
  static limits::RetryWindow NewWindow(std::size_t aHosts)
  {
    limits::RetryWindow window({ .m_ratio = kRatio, .m_slack = static_cast<double>(aHosts) });
    window.SetHostCount(aHosts);
    return window;
  }
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  static std::size_t CountFrom(const std::vector<base::TimePoint>& aTimes, base::TimePoint aFrom)
  {
    const auto first = std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
    const auto last = std::lower_bound(first, aTimes.end(), aFrom + kWindow);
    return static_cast<std::size_t>(last - first);
  }

  std::vector<limits::RetryWindow> m_windows; ///< by host
  std::mt19937_64 m_random;
  base::TimePoint m_now = kStart;
  std::vector<base::TimePoint> m_requests;
  std::vector<base::TimePoint> m_retries;
  std::size_t m_declined = 0;
};

} // namespace

TEST_GROUP(RetryBound){};

TEST(RetryBound, HoldsIfMostSendsFailAfterCalm)
{
  for (const std::size_t hosts : { 10, 100, 1000 }) {
    Fleet fleet(hosts, hosts);
    fleet.RunUntil(kStart + 25500ms, 1200, 0);
    fleet.RunUntil(kStart + 60s, 1200, 0.9);
    CHECK(fleet.MaxExcess() <= static_cast<double>(hosts));
  }
}

TEST(RetryBound, HoldsIfAllHostsRestartDuringFailures)
{
  for (const std::size_t hosts : { 10, 100, 1000 }) {
    for (const double failures : { 0.3, 0.5, 0.9 }) {
      Fleet fleet(hosts, hosts);
      fleet.RunUntil(kStart + 25s, 1200, 0);
      fleet.RunUntil(kStart + 27500ms, 1200, failures);
      fleet.Restart(1.0);
      fleet.RunUntil(kStart + 45s, 1200, failures);
      CHECK(fleet.MaxExcess() <= static_cast<double>(hosts));
    }
  }
}

TEST(RetryBound, RepeatedRestartsDoNotAddToTheBudget)
{
  Fleet fleet(50, 1);
  fleet.RunUntil(kStart + 25s, 1200, 0);
  while (fleet.Now() < kStart + 45s) {
    fleet.RunUntil(fleet.Now() + 500ms, 1200, 0.9);
    fleet.Restart(0.6);
  }
  CHECK(fleet.MaxExcess() <= 50);
}

TEST(RetryBound, HoldsForAnyLoadFailuresAndRestarts)
{
  const bool held = rc::check([] {
    const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 30));
    Fleet fleet(hosts, *rc::gen::arbitrary<std::uint64_t>());
    for (int period = 0; period < 12; ++period) {
      const int millis = *rc::gen::inRange(100, 6000);
      const int perSecond = *rc::gen::inRange(1, 300);
      const int failures = *rc::gen::element(0, 0, 10, 30, 90);
      fleet.RunUntil(fleet.Now() + std::chrono::milliseconds(millis),
                     perSecond,
                     static_cast<double>(failures) / 100);
      fleet.Restart(*rc::gen::element(0.0, 0.0, 0.5, 1.0));
    }
    RC_ASSERT(fleet.MaxExcess() <= static_cast<double>(hosts));
  });
  CHECK(held);
}

// Callers lose too if hosts retry less than the budget allows.
TEST(RetryBound, PersistentFailuresGetMostOfTheBudget)
{
  for (const std::size_t hosts : { 10, 100, 1000 }) {
    Fleet fleet(hosts, hosts);
    fleet.RunUntil(kStart + 25s, 320, 0);
    fleet.RunUntil(kStart + 65s, 320, 0.3);
    const double budget = kRatio * 320 * 40;
    CHECK(static_cast<double>(fleet.Retries()) >= 0.75 * budget);
  }
}
