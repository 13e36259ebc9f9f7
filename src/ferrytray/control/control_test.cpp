#include "ferrytray/control/half_rule.hpp"
#include "ferrytray/control/lease.hpp"
#include "ferrytray/control/leaving_set.hpp"
#include "ferrytray/control/swap_planner.hpp"

#include <algorithm> // for count_if

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using control::LeaseRecord;

namespace {

const base::TimePoint kStart{ 1000s };

LeaseRecord MakeLeaseRecord(const char* aHolder)
{
  return { aHolder, { "swap/lab" }, 9s };
}

} // namespace

TEST_GROUP(Lease)
{
  control::LeaseTable m_table;
};

TEST(Lease, FirstRecordTakesTheLeaseAndRenewalsKeepItsFencingToken)
{
  m_table.Apply(5, 0s, MakeLeaseRecord("a"));
  m_table.Apply(6, 1s, MakeLeaseRecord("b"));
  m_table.Apply(7, 3s, MakeLeaseRecord("a"));
  const auto held = m_table.Find("swap/lab");
  STRCMP_EQUAL("a", held->m_holder.c_str());
  LONGS_EQUAL(5, held->m_fencingToken);
  CHECK(held->m_expires == base::Duration(12s));
}

TEST(Lease, ExpiredLeaseGoesToTheNextHolderWithAHigherFencingToken)
{
  m_table.Apply(5, 0s, MakeLeaseRecord("a"));
  m_table.Apply(8, 9s, MakeLeaseRecord("b"));
  m_table.Apply(9, 10s, MakeLeaseRecord("a"));
  LONGS_EQUAL(8, m_table.Find("swap/lab")->m_fencingToken);
  STRCMP_EQUAL("b", m_table.Find("swap/lab")->m_holder.c_str());
}

TEST(Lease, PausedHolderSendsNoOrdersAfterResuming)
{
  control::LeaseHolder holder("a", {});
  holder.OnAppendSent(kStart);
  m_table.Apply(5, 0s, MakeLeaseRecord("a"));
  holder.OnReadBack(m_table.Find("swap/lab"), kStart + 1s);
  CHECK(holder.MaySendOrder(true, kStart + 1s));
  CHECK_FALSE(holder.MaySendOrder(true, kStart + 7s));
  CHECK_FALSE(holder.MaySendOrder(true, kStart + 60s));
}

TEST(Lease, WaitsBeforeOrderingAnEndpointThatIgnoresFencing)
{
  control::LeaseHolder holder("a", {});
  m_table.Apply(5, 0s, MakeLeaseRecord("a"));
  for (int second = 0; second <= 12; second += 3) {
    holder.OnAppendSent(kStart + std::chrono::seconds(second));
    m_table.Apply(6 + second, std::chrono::seconds(second), MakeLeaseRecord("a"));
    holder.OnReadBack(m_table.Find("swap/lab"), kStart + std::chrono::seconds(second));
    const bool settled = second >= 11;
    CHECK_EQUAL(settled, holder.MaySendOrder(false, kStart + std::chrono::seconds(second)));
    CHECK(holder.MaySendOrder(true, kStart + std::chrono::seconds(second)));
  }
}

TEST(Lease, LosingTheLeaseStopsOrders)
{
  control::LeaseHolder holder("a", {});
  holder.OnAppendSent(kStart);
  m_table.Apply(5, 0s, MakeLeaseRecord("a"));
  holder.OnReadBack(m_table.Find("swap/lab"), kStart);
  m_table.Apply(8, 20s, MakeLeaseRecord("b"));
  holder.OnReadBack(m_table.Find("swap/lab"), kStart + 1s);
  CHECK_FALSE(holder.MaySendOrder(true, kStart + 1s));
}

// Two hosts with clocks of equal rate and any interleaving of appends, reads, pauses and orders:
// the times at which they may order an endpoint that ignores fencing tokens never overlap.
TEST(Lease, OrdersOfTwoHoldersNeverOverlapWithoutFencing)
{
  const bool holds = rc::check("lease exclusion", [] {
    control::LeaseTable log;
    control::LeaseHolder holders[2] = { { "a", {} }, { "b", {} } };
    base::Duration now{};
    std::uint64_t offset = 0;
    base::Duration lastOrder[2] = { -1h, -1h };
    const auto steps =
      *rc::gen::resize(100, rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 4000)));
    for (const int step : steps) {
      now += std::chrono::milliseconds(step);
      const int who = step % 2;
      const base::TimePoint at = kStart + now;
      const auto held = log.Find("swap/lab");
      if (holders[who].ShouldAppend(held, now, at)) {
        holders[who].OnAppendSent(at);
        log.Apply(++offset, now, MakeLeaseRecord(who == 0 ? "a" : "b"));
        holders[who].OnReadBack(log.Find("swap/lab"), at);
      }
      if (step % 3 != 0 && holders[who].MaySendOrder(false, at)) {
        // An order may take effect up to the maximum send time later.
        RC_ASSERT(lastOrder[1 - who] + 2s < now);
        lastOrder[who] = now;
      }
    }
  });
  CHECK(holds);
}

TEST_GROUP(SwapPlanner)
{
  std::vector<control::WorkerVersion> m_workers;
  void setup() override
  {
    for (int i = 0; i < 6; ++i) {
      m_workers.push_back(
        { "w" + std::to_string(i), "1", "old", false, false, static_cast<std::uint32_t>(i) });
    }
  }
};

TEST(SwapPlanner, RespectsTheSwapLimitWhileReportsLag)
{
  control::SwapPlanner planner({ 2, 30s });
  LONGS_EQUAL(2, planner.Plan("new", m_workers, kStart).size());
  LONGS_EQUAL(0, planner.Plan("new", m_workers, kStart + 1s).size());
  m_workers[0].m_version = "new";
  const auto next = planner.Plan("new", m_workers, kStart + 2s);
  LONGS_EQUAL(1, next.size());
  STRCMP_EQUAL("w2", next.front().m_worker.c_str());
}

TEST(SwapPlanner, CountsSwapsStartedByAnotherHolder)
{
  control::SwapPlanner planner({ 2, 30s });
  m_workers[4].m_swapping = true;
  LONGS_EQUAL(1, planner.Plan("new", m_workers, kStart).size());
}

TEST(SwapPlanner, ResendsUnconfirmedOrdersAndSkipsLeavingWorkers)
{
  control::SwapPlanner planner({ 1, 30s });
  STRCMP_EQUAL("w0", planner.Plan("new", m_workers, kStart).front().m_worker.c_str());
  STRCMP_EQUAL("w0", planner.Plan("new", m_workers, kStart + 30s).front().m_worker.c_str());
  m_workers[0].m_leaving = true;
  STRCMP_EQUAL("w1", planner.Plan("new", m_workers, kStart + 60s).front().m_worker.c_str());
}

TEST(SwapPlanner, ReplacedWorkerReleasesItsSwapSlot)
{
  control::SwapPlanner planner({ 1, 30s });
  planner.Plan("new", m_workers, kStart);
  m_workers[0].m_incarnation = "2";
  LONGS_EQUAL(1, planner.Plan("new", m_workers, kStart + 1s).size());
}

TEST_GROUP(LeavingSet){};

TEST(LeavingSet, LeavingIsPermanentForAnIncarnation)
{
  control::LeavingSet leaving;
  leaving.Add("w1", "1");
  leaving.Prune({ { "w1", "1" } });
  CHECK(leaving.Contains("w1", "1"));
  CHECK_FALSE(leaving.Contains("w1", "2"));
  leaving.Prune({ { "w1", "2" } });
  LONGS_EQUAL(0, leaving.All().size());
}

TEST_GROUP(HalfRule){};

TEST(HalfRule, NeverServesAnEndedEpoch)
{
  using control::DesiredOwner;
  CHECK(control::MayServe({ DesiredOwner::Here, 1, 0, 0 }));
  CHECK_FALSE(control::MayServe({ DesiredOwner::Here, 1, 1, 0 }));
  CHECK_FALSE(control::MayServe({ DesiredOwner::HandingOver, 1, 0, 0 }));
  // The half that ended epoch 1 cannot own epoch 2, but owns epoch 3 once the other has ended 2.
  CHECK_FALSE(control::MayServe({ DesiredOwner::Here, 2, 1, 0 }));
  CHECK(control::MayServe({ DesiredOwner::Here, 3, 1, 2 }));
  CHECK(control::MustQueryOtherHalf({ DesiredOwner::Here, 2, 0, 0 }));
}

// Operators change the configured owner at any time, gates apply it late, and records reach the
// other half late or never: both halves must never serve at the same time.
TEST(HalfRule, HalvesNeverServeAtTheSameTime)
{
  const bool holds = rc::check("one half serves", [] {
    struct Half
    {
      control::HalfView m_log;      // the state according to the log
      control::HalfView m_gates[2]; // the state applied by each gate
    };
    Half halves[2];
    halves[1].m_log.m_desiredOwner = control::DesiredOwner::There;
    for (auto& gate : halves[1].m_gates) {
      gate.m_desiredOwner = control::DesiredOwner::There;
    }
    const auto steps =
      *rc::gen::resize(100, rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 1000)));
    for (const int step : steps) {
      const int who = step % 2;
      Half& half = halves[who];
      Half& other = halves[1 - who];
      control::HalfView& gate = half.m_gates[(step / 2) % 2];
      switch ((step / 4) % 5) {
        case 0: {
          // Operators follow the epoch order: a half that takes over requests the next one only.
          const bool take = half.m_log.m_desiredOwner == control::DesiredOwner::There;
          const std::uint64_t epoch =
            std::max(half.m_log.m_lastEndedEpoch, other.m_log.m_lastEndedEpoch);
          half.m_log.m_epoch =
            take ? std::max(epoch + 1, half.m_log.m_epoch + 1) : half.m_log.m_epoch;
          half.m_log.m_desiredOwner =
            take ? control::DesiredOwner::Here : control::DesiredOwner::HandingOver;
          break;
        }
        case 1:
          gate = half.m_log;
          break;
        case 2: {
          const bool drained =
            std::all_of(std::begin(half.m_gates), std::end(half.m_gates), [&](const auto& aGate) {
              return aGate.m_desiredOwner == control::DesiredOwner::HandingOver &&
                     aGate.m_epoch == half.m_log.m_epoch;
            });
          if (control::MayRecordEpochEnd(half.m_log, drained)) {
            half.m_log.m_lastEndedEpoch = half.m_log.m_epoch;
            half.m_log.m_desiredOwner = control::DesiredOwner::There;
          }
          break;
        }
        case 3:
          if (control::MustQueryOtherHalf(half.m_log) &&
              other.m_log.m_lastEndedEpoch + 1 >= half.m_log.m_epoch) {
            half.m_log.m_otherLastEndedEpoch = half.m_log.m_epoch - 1;
          }
          break;
        default:
          gate.m_lastEndedEpoch = half.m_log.m_lastEndedEpoch;
          gate.m_otherLastEndedEpoch = half.m_log.m_otherLastEndedEpoch;
      }
      int serving = 0;
      for (const Half& each : halves) {
        serving +=
          std::any_of(std::begin(each.m_gates), std::end(each.m_gates), control::MayServe) ? 1 : 0;
      }
      RC_ASSERT(serving <= 1);
    }
  });
  CHECK(holds);
}
