#include "ferrytray/routing/choose.hpp"

#include <algorithm> // for max, min

namespace ferrytray::routing {

namespace {

/// Derives a sequence of random numbers from one random seed.
class XorshiftRandom
{
public:
  explicit XorshiftRandom(std::uint64_t aBits)
    : m_bits(aBits | 1U)
  {
  }

  std::size_t Below(std::size_t aBound)
  {
    // xorshift64 is sufficient for a few draws from a random seed.
    m_bits ^= m_bits << 13U;
    m_bits ^= m_bits >> 7U;
    m_bits ^= m_bits << 17U;
    return m_bits % aBound;
  }

private:
  std::uint64_t m_bits;
};

bool AllFresh(std::span<const WorkerView> aWorkers, base::Duration aFresh)
{
  return std::all_of(aWorkers.begin(), aWorkers.end(), [&](const WorkerView& aWorker) {
    return aWorker.m_reportAge <= aFresh;
  });
}

// Up to this many candidates, all plans are computed if the decision log wants them.
constexpr std::size_t kMaxCandidatesWithoutPruning = 64;

/// Lower bound of a worker's cost: its queue wait and the prefill of tokens that are neither cached
/// nor stored.
double CostLowerBound(const RequestShape& aRequest,
                      const WorkerView& aWorker,
                      const StoreView& aStore,
                      const ChooseOptions& aOptions)
{
  const base::Duration wait = QueueWait(aWorker, aOptions.m_maxReportAge) + aWorker.m_roundTrip;
  const std::uint32_t kept = std::max(aWorker.m_cachedBlocks, aStore.m_storedBlocks);
  const std::uint32_t reusable = std::min(kept, aRequest.m_blocks) * aRequest.m_tokensPerBlock;
  const std::uint32_t tokens =
    aRequest.m_promptTokens - std::min(reusable, aRequest.m_promptTokens);
  const double compute = tokens / aWorker.m_tokensPerSecond;
  return aOptions.m_weights.m_firstToken * (base::Seconds(wait) + compute);
}

} // namespace

std::optional<Choice> ChooseWorker(const RequestShape& aRequest,
                                   std::span<const WorkerView> aWorkers,
                                   std::span<const StoreView> aStores,
                                   const ChooseOptions& aOptions,
                                   std::uint64_t aRandom,
                                   std::span<std::optional<Plan>> aPlans)
{
  std::optional<Choice> best;
  const bool prune = aPlans.empty() || aWorkers.size() > kMaxCandidatesWithoutPruning;
  const auto consider = [&](std::size_t aIndex) {
    if (prune && best &&
        CostLowerBound(aRequest, aWorkers[aIndex], aStores[aIndex], aOptions) >=
          best->m_plan.m_cost) {
      return;
    }
    const auto plan = CheapestPlan(
      aRequest, aWorkers[aIndex], aStores[aIndex], aOptions.m_weights, aOptions.m_maxReportAge);
    if (!aPlans.empty()) {
      aPlans[aIndex] = plan;
    }
    if (plan && (!best || plan->m_cost < best->m_plan.m_cost)) {
      best = Choice{ aIndex, *plan };
    }
  };
  const std::size_t homes = std::min(aOptions.m_homeCount, aWorkers.size());
  const std::size_t rest = aWorkers.size() - homes;
  if (AllFresh(aWorkers, aOptions.m_freshReportAge) || rest <= aOptions.m_sampleSize) {
    for (std::size_t i = 0; i < aWorkers.size(); ++i) {
      consider(i);
    }
    return best;
  }
  for (std::size_t i = 0; i < homes; ++i) {
    consider(i);
  }
  XorshiftRandom draws(aRandom);
  for (std::size_t i = 0; i < aOptions.m_sampleSize; ++i) {
    consider(homes + draws.Below(rest));
  }
  // The sample may contain no usable worker.
  for (std::size_t i = homes; !best && i < aWorkers.size(); ++i) {
    consider(i);
  }
  return best;
}

} // namespace ferrytray::routing
