#include "ferrytray/routing/choose.hpp"

#include <algorithm> // for max, min

namespace ferrytray::routing {

namespace {

/// Splits random bits into one small draw after another.
class Draws
{
public:
  explicit Draws(std::uint64_t aBits)
    : m_bits(aBits | 1U)
  {
  }

  std::size_t Below(std::size_t aBound)
  {
    // xorshift: a few draws from bits that the caller made random.
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

} // namespace

std::optional<Choice> Choose(const RequestShape& aRequest,
                             std::span<const WorkerView> aWorkers,
                             std::span<const StoreView> aStores,
                             const ChooseOptions& aOptions,
                             std::uint64_t aRandom,
                             std::span<std::optional<Plan>> aPlans)
{
  std::optional<Choice> best;
  const auto consider = [&](std::size_t aIndex) {
    const auto plan = CheapestPlan(
      aRequest, aWorkers[aIndex], aStores[aIndex], aOptions.m_weights, aOptions.m_trust);
    if (!aPlans.empty()) {
      aPlans[aIndex] = plan;
    }
    if (plan && (!best || plan->m_cost < best->m_plan.m_cost)) {
      best = Choice{ aIndex, *plan };
    }
  };
  const std::size_t homes = std::min(aOptions.m_homes, aWorkers.size());
  const std::size_t rest = aWorkers.size() - homes;
  if (AllFresh(aWorkers, aOptions.m_fresh) || rest <= aOptions.m_sampled) {
    for (std::size_t i = 0; i < aWorkers.size(); ++i) {
      consider(i);
    }
    return best;
  }
  for (std::size_t i = 0; i < homes; ++i) {
    consider(i);
  }
  Draws draws(aRandom);
  for (std::size_t i = 0; i < aOptions.m_sampled; ++i) {
    consider(homes + draws.Below(rest));
  }
  // The sample may have met only workers that cannot be used.
  for (std::size_t i = homes; !best && i < aWorkers.size(); ++i) {
    consider(i);
  }
  return best;
}

} // namespace ferrytray::routing
