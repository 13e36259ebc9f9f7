#include "ferrytray/control/order_lease.hpp"

#include <optional> // for optional
#include <vector>   // for vector

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using control::OrderLease;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

/// Appends the lease's record successfully at aOffset.
void TakeLease(OrderLease& aLease, std::uint64_t aOffset, base::TimePoint aNow)
{
  aLease.OnAppendSent(aNow);
  aLease.OnAppendAccepted(aOffset, aNow);
}

} // namespace

TEST_GROUP(OrderLease){};

TEST(OrderLease, EmptyTopicMayBeTakenAfterItIsRead)
{
  OrderLease lease("a", {});
  CHECK(lease.NeedsRead());
  CHECK_FALSE(lease.ShouldAppend(kStart));
  lease.OnRead(0, "", kStart);
  CHECK(lease.ShouldAppend(kStart));
  CHECK_FALSE(lease.MaySendOrder(kStart));
  TakeLease(lease, 0, kStart);
  CHECK(lease.MaySendOrder(kStart));
  LONGS_EQUAL(1, lease.CurrentFencingToken());
}

TEST(OrderLease, StopsOrdersAMarginBeforeTheLeaseExpires)
{
  OrderLease lease("a", {});
  lease.OnRead(0, "", kStart);
  TakeLease(lease, 0, kStart);
  CHECK(lease.MaySendOrder(kStart + 599ms));
  CHECK_FALSE(lease.MaySendOrder(kStart + 600ms));
}

TEST(OrderLease, DurationStartsWhenTheAppendIsSent)
{
  OrderLease lease("a", {});
  lease.OnRead(0, "", kStart);
  lease.OnAppendSent(kStart);
  lease.OnAppendAccepted(0, kStart + 500ms); // a slow reply
  CHECK_FALSE(lease.MaySendOrder(kStart + 600ms));
}

TEST(OrderLease, WaitsForAnotherHoldersLeaseAndTheHandoverGap)
{
  OrderLease lease("b", {});
  lease.OnRead(1, "a", kStart);
  CHECK_FALSE(lease.ShouldAppend(kStart + 3999ms));
  CHECK(lease.ShouldAppend(kStart + 4000ms));
  lease.OnRead(2, "a", kStart + 3900ms); // renewed
  CHECK_FALSE(lease.ShouldAppend(kStart + 4000ms));
}

TEST(OrderLease, RereadingTheSameRecordDoesNotRestartTheWait)
{
  OrderLease lease("b", {});
  lease.OnRead(1, "a", kStart);
  lease.OnRead(1, "a", kStart + 3s);
  CHECK(lease.ShouldAppend(kStart + 4000ms));
}

TEST(OrderLease, UncertainAppendCountsOnlyIfItIsTheNewestRecord)
{
  OrderLease lease("a", {});
  lease.OnRead(0, "", kStart);
  TakeLease(lease, 0, kStart);
  lease.OnAppendSent(kStart + 350ms);
  lease.OnAppendUncertain();
  CHECK(lease.NeedsRead());
  // The append was refused: the first record is still the newest and is not extended.
  lease.OnRead(1, "a", kStart + 400ms);
  CHECK_FALSE(lease.MaySendOrder(kStart + 600ms));
  lease.OnAppendSent(kStart + 450ms);
  lease.OnAppendUncertain();
  lease.OnRead(2, "a", kStart + 500ms);
  CHECK(lease.MaySendOrder(kStart + 600ms));
  LONGS_EQUAL(2, lease.CurrentFencingToken());
}

TEST(OrderLease, SuspendedProcessWaitsForItsOwnRecordToExpire)
{
  OrderLease lease("a", {});
  lease.OnRead(0, "", kStart);
  TakeLease(lease, 0, kStart);
  lease.Drop();
  CHECK_FALSE(lease.MaySendOrder(kStart));
  lease.OnRead(1, "a", kStart + 100ms);
  CHECK_FALSE(lease.MaySendOrder(kStart + 100ms));
  CHECK_FALSE(lease.ShouldAppend(kStart + 3900ms));
}

namespace {

/// Simulates hosts that share one topic with conditional appends.
struct LeaseSimulation
{
  struct Host
  {
    OrderLease m_lease;
    std::optional<std::uint64_t> m_delayedAppendEnd; ///< expected end of a delayed append
    explicit Host(const std::string& aName)
      : m_lease(aName, {})
    {
    }
  };
  std::vector<Host> m_hosts;
  std::vector<std::string> m_topic;

  void Read(std::size_t aHost, base::TimePoint aNow)
  {
    m_hosts[aHost].m_lease.OnRead(m_topic.size(), m_topic.empty() ? "" : m_topic.back(), aNow);
  }

  void Append(std::size_t aHost, int aOutcome, base::TimePoint aNow)
  {
    Host& host = m_hosts[aHost];
    host.m_lease.OnAppendSent(aNow);
    const bool holds = host.m_lease.End() == m_topic.size();
    if (aOutcome == 0 && holds) {
      m_topic.push_back("h" + std::to_string(aHost));
      host.m_lease.OnAppendAccepted(m_topic.size() - 1, aNow);
    } else {
      if (aOutcome == 1 && holds) {
        m_topic.push_back("h" + std::to_string(aHost)); // appended, but the reply is lost
      } else if (aOutcome == 2) {
        host.m_delayedAppendEnd = host.m_lease.End();
      }
      host.m_lease.OnAppendUncertain();
    }
  }

  void DeliverDelayedAppend(std::size_t aHost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_delayedAppendEnd && *host.m_delayedAppendEnd == m_topic.size()) {
      m_topic.push_back("h" + std::to_string(aHost));
    }
    host.m_delayedAppendEnd.reset();
  }
};

} // namespace

TEST(OrderLease, OrdersOfTwoHoldersAreSeparatedByTheHandoverGap)
{
  const bool held = rc::check([] {
    LeaseSimulation simulation;
    for (int i = 0; i < 3; ++i) {
      simulation.m_hosts.emplace_back("h" + std::to_string(i));
    }
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      400,
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 400)));
    base::TimePoint now = kStart;
    std::optional<std::pair<std::size_t, base::TimePoint>> last;
    std::uint64_t lastFencingToken = 0;
    for (const auto& [index, action, gap] : steps) {
      now += std::chrono::milliseconds(gap);
      const auto host = static_cast<std::size_t>(index);
      OrderLease& lease = simulation.m_hosts[host].m_lease;
      simulation.DeliverDelayedAppend(host);
      if (lease.NeedsRead() || action == 3) {
        simulation.Read(host, now);
      } else if (lease.ShouldAppend(now)) {
        simulation.Append(host, action, now);
      }
      if (!lease.MaySendOrder(now)) {
        continue;
      }
      if (last && last->first != host) {
        RC_ASSERT(now - last->second >= 3s);
      }
      RC_ASSERT(lease.CurrentFencingToken() >= lastFencingToken);
      last = { host, now };
      lastFencingToken = lease.CurrentFencingToken();
    }
  });
  CHECK(held);
}
