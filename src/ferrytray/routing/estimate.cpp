#include "ferrytray/routing/estimate.hpp"

#include <algorithm> // for clamp, max, min
#include <array>     // for array

namespace ferrytray::routing {

namespace {

double PenalizeLateness(double aSeconds, const CostWeights& aWeights)
{
  const bool over = aWeights.m_targetSeconds > 0 && aSeconds > aWeights.m_targetSeconds;
  const double late = over ? aSeconds - aWeights.m_targetSeconds : 0;
  return aSeconds + late * (CostWeights::kLateFactor - 1);
}

Plan PlanFor(std::uint32_t aReusedBlocks,
             const RequestShape& aRequest,
             const WorkerView& aWorker,
             const StoreView& aStore,
             const CostWeights& aWeights,
             base::Duration aWait)
{
  const std::uint32_t cached = std::min(aWorker.m_cachedBlocks, aRequest.m_blocks);
  Plan plan;
  plan.m_restoreBlocks = aReusedBlocks > cached ? aReusedBlocks - cached : 0;
  const std::uint32_t reused = (cached + plan.m_restoreBlocks) * aRequest.m_tokensPerBlock;
  plan.m_recomputeTokens = aRequest.m_promptTokens - std::min(reused, aRequest.m_promptTokens);
  plan.m_engineTime = base::FromSeconds(plan.m_recomputeTokens / aWorker.m_tokensPerSecond);
  plan.m_linkBytes = plan.m_restoreBlocks * aRequest.m_bytesPerBlock;
  const double linkSeconds = plan.m_linkBytes / aStore.m_bytesPerSecond;
  base::Duration ready = aWait;
  if (plan.m_restoreBlocks > 0) {
    const base::Duration import =
      aStore.m_linkQueue + aStore.m_roundTrip + base::FromSeconds(linkSeconds);
    ready = std::max(aWait, import);
  }
  plan.m_firstToken = aWorker.m_roundTrip + ready + plan.m_engineTime;
  // The recompute weight applies only to tokens that are cached or stored but recomputed anyway.
  const std::uint32_t kept = std::max(cached, std::min(aStore.m_storedBlocks, aRequest.m_blocks));
  const std::uint32_t recomputedReusable =
    (kept - std::min(kept, cached + plan.m_restoreBlocks)) * aRequest.m_tokensPerBlock;
  plan.m_cost =
    aWeights.m_firstToken * PenalizeLateness(base::Seconds(plan.m_firstToken), aWeights) +
    aWeights.m_recompute * recomputedReusable / aWorker.m_tokensPerSecond +
    aWeights.m_link * linkSeconds;
  return plan;
}

/// Number of blocks that can be imported while the request waits in the queue.
std::uint32_t BlocksImportedDuringWait(const RequestShape& aRequest,
                                       const StoreView& aStore,
                                       base::Duration aWait)
{
  const base::Duration spare = aWait - aStore.m_linkQueue - aStore.m_roundTrip;
  if (spare <= base::Duration::zero() || aRequest.m_bytesPerBlock <= 0) {
    return 0;
  }
  const double blocks = base::Seconds(spare) * aStore.m_bytesPerSecond / aRequest.m_bytesPerBlock;
  return static_cast<std::uint32_t>(std::min(blocks, static_cast<double>(aRequest.m_blocks)));
}

/// Maximum number of blocks that can be imported without missing the first-token target.
std::uint32_t BlocksImportedWithinTarget(const RequestShape& aRequest,
                                         const WorkerView& aWorker,
                                         const StoreView& aStore,
                                         const CostWeights& aWeights,
                                         std::uint32_t aCached)
{
  const double importSecondsPerBlock = aRequest.m_bytesPerBlock / aStore.m_bytesPerSecond;
  const double computeSecondsPerBlock = aRequest.m_tokensPerBlock / aWorker.m_tokensPerSecond;
  if (aWeights.m_targetSeconds <= 0 || importSecondsPerBlock <= computeSecondsPerBlock) {
    return 0;
  }
  const double tokens =
    aRequest.m_promptTokens - static_cast<double>(aCached) * aRequest.m_tokensPerBlock;
  const double start = base::Seconds(aWorker.m_roundTrip + aStore.m_linkQueue + aStore.m_roundTrip);
  const double spare = aWeights.m_targetSeconds - start - tokens / aWorker.m_tokensPerSecond;
  const double blocks = spare / (importSecondsPerBlock - computeSecondsPerBlock);
  return blocks <= 0
           ? 0
           : static_cast<std::uint32_t>(std::min(blocks, static_cast<double>(aRequest.m_blocks)));
}

} // namespace

base::Duration QueueWait(const WorkerView& aWorker, base::Duration aMaxReportAge)
{
  const bool trusted = aWorker.m_reportAge <= aMaxReportAge;
  const base::Duration reported = trusted ? aWorker.m_reportedWait : base::Duration::zero();
  // The worker has processed part of the reported queue since. Unanswered requests sent since then
  // are still queued, however old the report is.
  const base::Duration processed = std::max(aWorker.m_reportAge, aWorker.m_completedSinceReport);
  const base::Duration left = std::max(reported - processed, base::Duration::zero());
  return left + aWorker.m_sentSinceReport + aWorker.m_swapWait;
}

std::optional<Plan> CheapestPlan(const RequestShape& aRequest,
                                 const WorkerView& aWorker,
                                 const StoreView& aStore,
                                 const CostWeights& aWeights,
                                 base::Duration aMaxReportAge)
{
  if (!aWorker.m_usable) {
    return std::nullopt;
  }
  const base::Duration wait = QueueWait(aWorker, aMaxReportAge);
  const std::uint32_t cached = std::min(aWorker.m_cachedBlocks, aRequest.m_blocks);
  const std::uint32_t stored = std::min(aStore.m_storedBlocks, aRequest.m_blocks);
  Plan best = PlanFor(cached, aRequest, aWorker, aStore, aWeights, wait);
  if (stored <= cached) {
    return best;
  }
  const std::uint32_t duringWait = BlocksImportedDuringWait(aRequest, aStore, wait);
  const std::uint32_t withinTarget =
    BlocksImportedWithinTarget(aRequest, aWorker, aStore, aWeights, cached);
  for (const std::uint32_t upTo : std::array{ stored,
                                              std::clamp(cached + duringWait, cached, stored),
                                              std::clamp(cached + withinTarget, cached, stored) }) {
    const Plan plan = PlanFor(upTo, aRequest, aWorker, aStore, aWeights, wait);
    if (plan.m_cost < best.m_cost) {
      best = plan;
    }
  }
  return best;
}

} // namespace ferrytray::routing
