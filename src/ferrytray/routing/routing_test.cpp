#include "ferrytray/routing/choose.hpp"
#include "ferrytray/routing/rendezvous.hpp"
#include "ferrytray/routing/retention.hpp"

#include <algorithm> // for find

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using routing::RequestShape;
using routing::StoreView;
using routing::WorkerView;

namespace {

const RequestShape kLongRequest{ 25600, 100, 256, 1e6 };
const routing::CostWeights kFirstTokenOnly{ 1, 0, 0 };

WorkerView IdleWorker()
{
  WorkerView worker;
  worker.m_tokensPerSecond = 10000;
  return worker;
}

StoreView StoreWithBlocks(std::uint32_t aBlocks, double aBytesPerSecond)
{
  return { aBlocks, 0s, aBytesPerSecond, 1ms };
}

/// Reference implementation: evaluates the cost formula for every number of restored blocks.
double BruteForceFirstToken(const RequestShape& aRequest,
                            const WorkerView& aWorker,
                            const StoreView& aStore)
{
  const double reported =
    base::Seconds(aWorker.m_reportedWait) - base::Seconds(aWorker.m_reportAge);
  const double wait = std::max(0.0, reported) + base::Seconds(aWorker.m_sentSinceReport);
  double best = 1e18;
  const std::uint32_t cached = std::min(aWorker.m_cachedBlocks, aRequest.m_blocks);
  for (std::uint32_t upTo = cached;
       upTo <= std::max(cached, std::min(aStore.m_storedBlocks, aRequest.m_blocks));
       ++upTo) {
    const double import =
      upTo == cached ? 0
                     : base::Seconds(aStore.m_linkQueue + aStore.m_roundTrip) +
                         (upTo - cached) * aRequest.m_bytesPerBlock / aStore.m_bytesPerSecond;
    const double compute =
      (aRequest.m_promptTokens - upTo * aRequest.m_tokensPerBlock) / aWorker.m_tokensPerSecond;
    best = std::min(best, std::max(wait, import) + compute);
  }
  return best;
}

} // namespace

TEST_GROUP(Estimate){};

TEST(Estimate, RestoresOverAFastLinkAndRecomputesOverASlowOne)
{
  const auto fast = routing::CheapestPlan(
    kLongRequest, IdleWorker(), StoreWithBlocks(100, 1e9), kFirstTokenOnly, 10s);
  LONGS_EQUAL(100, fast->m_restoreBlocks);
  LONGS_EQUAL(0, fast->m_recomputeTokens);
  const auto slow = routing::CheapestPlan(
    kLongRequest, IdleWorker(), StoreWithBlocks(100, 1e6), kFirstTokenOnly, 10s);
  LONGS_EQUAL(0, slow->m_restoreBlocks);
  LONGS_EQUAL(25600, slow->m_recomputeTokens);
}

TEST(Estimate, ImportsBlocksWhileTheRequestIsQueued)
{
  WorkerView busy = IdleWorker();
  busy.m_reportedWait = 1s;
  // 30 blocks take 1 s on this link, and recomputing a block is faster than importing it.
  const auto plan =
    routing::CheapestPlan(kLongRequest, busy, StoreWithBlocks(100, 3e7), kFirstTokenOnly, 10s);
  LONGS_EQUAL(29, plan->m_restoreBlocks);
}

TEST(Estimate, DoesNotImportCachedBlocks)
{
  WorkerView warm = IdleWorker();
  warm.m_cachedBlocks = 60;
  const auto plan =
    routing::CheapestPlan(kLongRequest, warm, StoreWithBlocks(100, 1e9), kFirstTokenOnly, 10s);
  LONGS_EQUAL(40, plan->m_restoreBlocks);
}

TEST(Estimate, RecomputeWeightFavorsRestoring)
{
  const StoreView slow = StoreWithBlocks(100, 3.5e7);
  LONGS_EQUAL(
    0, routing::CheapestPlan(kLongRequest, IdleWorker(), slow, { 1, 0, 0 }, 10s)->m_restoreBlocks);
  LONGS_EQUAL(
    100,
    routing::CheapestPlan(kLongRequest, IdleWorker(), slow, { 1, 2, 0 }, 10s)->m_restoreBlocks);
}

TEST(Estimate, FirstTokenTargetLimitsTheEffectOfTheRecomputeWeight)
{
  // A block takes 28.6 ms to import and 25.6 ms to compute; without a target, the recompute weight
  // causes a full restore.
  const StoreView slow = StoreWithBlocks(100, 3.5e7);
  const auto withoutTarget =
    routing::CheapestPlan(kLongRequest, IdleWorker(), slow, { 1, 0.3, 0, 0 }, 10s);
  CHECK(base::Seconds(withoutTarget->m_firstToken) > 2.8);
  const auto withTarget =
    routing::CheapestPlan(kLongRequest, IdleWorker(), slow, { 1, 0.3, 0, 2.7 }, 10s);
  CHECK(withTarget->m_restoreBlocks > 0);
  CHECK(base::Seconds(withTarget->m_firstToken) <= 2.7);
}

TEST(Estimate, QueueWaitSubtractsReportAgeAndAddsSentWork)
{
  WorkerView worker = IdleWorker();
  worker.m_reportedWait = 4s;
  worker.m_reportAge = 1s;
  worker.m_sentSinceReport = 500ms;
  CHECK(routing::QueueWait(worker, 10s) == 3500ms);
  CHECK(routing::QueueWait(worker, 500ms) == 500ms);
}

TEST(Estimate, SentWorkCountsWhenTheReportIsTooOld)
{
  WorkerView stale = IdleWorker();
  stale.m_reportAge = 1h;
  stale.m_sentSinceReport = 2s;
  CHECK(routing::QueueWait(stale, 10s) == 2s);
}

TEST(Estimate, MatchesBruteForceSearch)
{
  const bool holds = rc::check("plan", [] {
    const RequestShape request{ 256 * 64 + 100, 64, 256, 1e6 };
    WorkerView worker = IdleWorker();
    worker.m_tokensPerSecond = *rc::gen::inRange(1000, 100000);
    worker.m_cachedBlocks = *rc::gen::inRange(0U, 65U);
    worker.m_reportedWait = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    worker.m_reportAge = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    worker.m_sentSinceReport = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    StoreView store =
      StoreWithBlocks(*rc::gen::inRange(0U, 80U), *rc::gen::inRange(1000000, 1000000000));
    store.m_linkQueue = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    const auto plan = routing::CheapestPlan(request, worker, store, kFirstTokenOnly, 10s);
    const double naive = BruteForceFirstToken(request, worker, store);
    // The break point is rounded down to a whole block, which costs up to one block's time.
    const double oneBlock = std::max(256 / worker.m_tokensPerSecond, 1e6 / store.m_bytesPerSecond);
    RC_ASSERT(base::Seconds(plan->m_firstToken) >= naive - 1e-5);
    RC_ASSERT(base::Seconds(plan->m_firstToken) <= naive + oneBlock + 1e-5);
  });
  CHECK(holds);
}

TEST_GROUP(ChooseWorker)
{
  std::vector<WorkerView> m_workers{ 20, IdleWorker() };
  std::vector<StoreView> m_stores{ 20, StoreView{} };
  routing::ChooseOptions m_options;
};

TEST(ChooseWorker, TakesTheShortestQueueWhenNothingIsCached)
{
  for (auto& worker : m_workers) {
    worker.m_reportedWait = 2s;
  }
  m_workers[13].m_reportedWait = 1s;
  LONGS_EQUAL(13, routing::ChooseWorker(kLongRequest, m_workers, m_stores, m_options, 1)->m_worker);
}

TEST(ChooseWorker, WeighsCachedBlocksAgainstQueueWait)
{
  m_workers[4].m_cachedBlocks = 100;
  m_workers[4].m_reportedWait = 1s;
  LONGS_EQUAL(4, routing::ChooseWorker(kLongRequest, m_workers, m_stores, m_options, 1)->m_worker);
  m_workers[4].m_reportedWait = 10s;
  CHECK(routing::ChooseWorker(kLongRequest, m_workers, m_stores, m_options, 1)->m_worker != 4);
}

TEST(ChooseWorker, SkipsUnusableWorkersAndReturnsEmptyWhenNoneIsUsable)
{
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    m_workers[i].m_usable = i == 19;
    m_workers[i].m_reportAge = 5s;
  }
  for (std::uint64_t random = 0; random < 50; ++random) {
    LONGS_EQUAL(
      19, routing::ChooseWorker(kLongRequest, m_workers, m_stores, m_options, random)->m_worker);
  }
  m_workers[19].m_usable = false;
  CHECK_FALSE(routing::ChooseWorker(kLongRequest, m_workers, m_stores, m_options, 1).has_value());
}

TEST(ChooseWorker, StaleReportsDoNotCauseHerding)
{
  for (auto& worker : m_workers) {
    worker.m_reportedWait = 9s;
    worker.m_reportAge = 2s;
  }
  m_workers[10].m_reportedWait = 1s;
  int shortestQueueChoices = 0;
  for (std::uint64_t gate = 0; gate < 200; ++gate) {
    const auto choice = routing::ChooseWorker(
      kLongRequest, m_workers, m_stores, m_options, base::Hash64("g", std::to_string(gate)));
    shortestQueueChoices += choice->m_worker == 10 ? 1 : 0;
  }
  CHECK(shortestQueueChoices > 0);
  CHECK(shortestQueueChoices < 80);
}

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, RemovingAHostMovesOnlyItsKeys)
{
  std::vector<std::string> names;
  for (int i = 0; i < 10; ++i) {
    names.push_back("w" + std::to_string(i));
  }
  const std::vector<std::string> fewer(names.begin(), names.end() - 1);
  int moved = 0;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const auto before = routing::RendezvousHomes({ key, key }, names, 1).front();
    const auto after = routing::RendezvousHomes({ key, key }, fewer, 1).front();
    CHECK(before == 9 || before == after);
    moved += before == 9 ? 1 : 0;
  }
  CHECK(moved > 50 && moved < 150);
}

TEST_GROUP(Retention){};

TEST(Retention, LearnsReturnIntervals)
{
  routing::ReturnHistogram returns;
  for (int i = 0; i < 200; ++i) {
    returns.OnReturn(1h);
  }
  CHECK(returns.ReturnProbability(0s, 2h) > 0.7);
  CHECK(returns.ReturnProbability(0s, 5min) < 0.1);
  CHECK(returns.ReturnProbability(3h, 2h) < 0.2);
}

TEST(Retention, PrefersExpensiveContextsThatAreLikelyToReturn)
{
  routing::ReturnHistogram regular;
  routing::ReturnHistogram neverReturning;
  for (int i = 0; i < 100; ++i) {
    regular.OnReturn(10min);
    neverReturning.OnNotReturned();
  }
  const routing::RetentionCandidate context{ 1e8, 3, 1min };
  CHECK(routing::RetentionValue(context, regular) >
        3 * routing::RetentionValue(context, neverReturning));
  CHECK(routing::RetentionValue({ 1e8, 6, 1min }, regular) >
        routing::RetentionValue(context, regular));
}

TEST(Retention, ExportYieldsToImportsAndToMoreValuableContexts)
{
  routing::ReturnHistogram returns;
  const routing::RetentionCandidate context{ 1e8, 3, 0s };
  CHECK(routing::ShouldExport(context, returns, { 1e9, 0, 0ms }, {}));
  CHECK_FALSE(routing::ShouldExport(context, returns, { 1e9, 0, 300ms }, {}));
  CHECK_FALSE(routing::ShouldExport(context, returns, { 0, 1, 0ms }, {}));
}
