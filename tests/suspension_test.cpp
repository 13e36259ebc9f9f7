// Suspension and resumption of a host, such as a virtual machine during a live migration.
//
// The platform may suspend a host for seconds, during which CLOCK_MONOTONIC (the steady clock)
// stands still. With ages, leases and due times taken from it, a resumed host would believe that
// its lease is held, its configuration fresh and its requests in time. These tests replace
// clock_gettime with clocks that differ as after a suspension; they failed with the steady clock.
#include <ctime>         // for clockid_t, timespec
#include <sys/syscall.h> // for SYS_clock_gettime
#include <unistd.h>      // for syscall

#include "ferrytray/base/known_age.hpp"      // for MayBeBehind
#include "ferrytray/base/time.hpp"           // for MonotonicNow
#include "ferrytray/control/order_lease.hpp" // for OrderLease
#include "ferrytray/net/loop.hpp"            // for Loop

#include <CppUTest/TestHarness.h> // for TEST

namespace {

/// Total simulated suspension.
time_t g_suspendedSeconds = 0;

} // namespace

/// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t aClock, timespec* aTime)
{
  const long result = syscall(SYS_clock_gettime, aClock, aTime);
  if (result == 0 && (aClock == CLOCK_BOOTTIME || aClock == CLOCK_REALTIME)) {
    aTime->tv_sec += g_suspendedSeconds;
  }
  return static_cast<int>(result);
}

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(Suspension){ void setup() override{ g_suspendedSeconds = 0;
}
}
;

TEST(Suspension, MonotonicTimeIncludesSuspension)
{
  const base::TimePoint before = base::MonotonicNow();
  g_suspendedSeconds = 5;
  const base::Duration passed = base::MonotonicNow() - before;
  CHECK(passed >= 5s && passed < 60s);
}

TEST(Suspension, LeasesAndKnowledgeExpireDuringSuspension)
{
  control::OrderLease lease("self", {});
  lease.OnRead(0, "", base::MonotonicNow());
  lease.OnAppendSent(base::MonotonicNow());
  lease.OnAppendAccepted(0, base::MonotonicNow());
  const std::optional<base::TimePoint> heardAt = base::MonotonicNow();
  CHECK(lease.MaySendOrder(base::MonotonicNow()));
  CHECK_FALSE(base::MayBeBehind(heardAt, 2s, base::MonotonicNow()));
  g_suspendedSeconds = 5;
  CHECK_FALSE(lease.MaySendOrder(base::MonotonicNow()));
  CHECK(base::MayBeBehind(heardAt, 2s, base::MonotonicNow()));
}

TEST(Suspension, TimersDueDuringSuspensionFireSoonAfterResume)
{
  net::Loop loop;
  bool due = false;
  bool notDue = true;
  int ticks = 0;
  const net::TimerHandle tick = loop.Every(10ms, [&] { ++ticks; });
  const net::TimerHandle timer = loop.After(600s, [&] { due = true; });
  const net::TimerHandle later = loop.After(1200s, [&] { notDue = false; });
  loop.RunFor(30ms);
  CHECK_FALSE(due);
  g_suspendedSeconds = 601;
  const int before = ticks;
  while (ticks < before + 5) {
    loop.RunFor(10ms);
  }
  CHECK(due);
  CHECK(notDue);
}
