#include "ferrytray/experiment/model.hpp"

#include <algorithm> // for min
#include <map>       // for map

#include "ferrytray/experiment/simulation.hpp" // for Simulation
#include "ferrytray/routing/choose.hpp"        // for ChooseWorker

namespace ferrytray::experiment {

namespace {

class Placer
{
public:
  Placement Place(Simulation& aSim, std::size_t aIndex, const EstimatedCost& aPolicy)
  {
    return Choose(aSim, aIndex, aPolicy.m_weights, true);
  }

  Placement Place(Simulation& aSim, std::size_t aIndex, const AlwaysRecompute&)
  {
    return Choose(aSim, aIndex, {}, false);
  }

  Placement Place(Simulation& aSim, std::size_t, const RoundRobin&)
  {
    // Each gate has its own counter: a shared one would coordinate the gates.
    return { m_turns[aSim.Gate()]++ % aSim.Workers(), 0 };
  }

  Placement Place(Simulation& aSim, std::size_t aIndex, const LeastLoad&)
  {
    return { LeastLoaded(aSim, aSim.ArrivalAt(aIndex)), 0 };
  }

  Placement Place(Simulation& aSim, std::size_t aIndex, const AffinityHash&)
  {
    return { aSim.Homes(aSim.ArrivalAt(aIndex), 1).front(), 0 };
  }

  Placement Place(Simulation& aSim, std::size_t aIndex, const AlwaysRestore&)
  {
    const Arrival& arrival = aSim.ArrivalAt(aIndex);
    const std::size_t worker = LeastLoaded(aSim, arrival);
    const std::uint32_t cached = aSim.View(worker, arrival).m_cachedBlocks;
    const std::uint32_t stored = aSim.StoreOf(arrival).m_storedBlocks;
    return { worker, stored > cached ? stored - cached : 0 };
  }

private:
  static std::size_t LeastLoaded(Simulation& aSim, const Arrival& aArrival)
  {
    std::size_t best = aSim.Random() % aSim.Workers();
    for (std::size_t i = 0; i < aSim.Workers(); ++i) {
      const bool usable = aSim.View(i, aArrival).m_usable;
      if (usable && aSim.ReportedQueueSeconds(i) < aSim.ReportedQueueSeconds(best)) {
        best = i;
      }
    }
    return best;
  }

  Placement Choose(Simulation& aSim,
                   std::size_t aIndex,
                   const routing::CostWeights& aWeights,
                   bool aRestore)
  {
    const Arrival& arrival = aSim.ArrivalAt(aIndex);
    std::vector<std::size_t> order = aSim.Homes(arrival, aSim.Workers());
    m_views.clear();
    for (const std::size_t worker : order) {
      m_views.push_back(aSim.View(worker, arrival));
    }
    const routing::StoreView store = aRestore ? aSim.StoreOf(arrival) : routing::StoreView{};
    m_stores.assign(m_views.size(), store);
    const routing::RequestShape shape{ arrival.m_blocks * aSim.Options().m_tokensPerBlock +
                                         arrival.m_suffixTokens,
                                       arrival.m_blocks,
                                       aSim.Options().m_tokensPerBlock,
                                       aSim.Options().m_bytesPerBlock };
    routing::ChooseOptions options;
    options.m_weights = aWeights;
    const auto choice = routing::ChooseWorker(shape, m_views, m_stores, options, aSim.Random());
    if (!choice) {
      return { order.front(), 0 };
    }
    return { order[choice->m_worker], choice->m_plan.m_restoreBlocks };
  }

  std::map<std::size_t, std::size_t> m_turns;
  std::vector<routing::WorkerView> m_views;
  std::vector<routing::StoreView> m_stores;
};

} // namespace

double Outcome::Quantile(double aShare) const
{
  if (m_timesToFirstToken.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(m_timesToFirstToken.size() - 1);
  return m_timesToFirstToken[static_cast<std::size_t>(aShare * last)];
}

Outcome Simulate(const std::vector<Arrival>& aTrace,
                 const Policy& aPolicy,
                 const ModelOptions& aOptions)
{
  Simulation simulation(aTrace, aOptions);
  Placer placer;
  return simulation.Run([&](Simulation& aSim, std::size_t aIndex) {
    return std::visit([&](const auto& aKind) { return placer.Place(aSim, aIndex, aKind); },
                      aPolicy);
  });
}

double OfflineBestMean(const std::vector<Arrival>& aTrace, const ModelOptions& aOptions)
{
  // Tries every worker, with and without a full import, for every arrival.
  const std::size_t options = aOptions.m_workers * 2;
  std::size_t combinations = 1;
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    combinations *= options;
  }
  double best = kNever;
  for (std::size_t combination = 0; combination < combinations; ++combination) {
    std::size_t rest = combination;
    Simulation simulation(aTrace, aOptions);
    const Outcome outcome = simulation.Run([&](Simulation& aSim, std::size_t aIndex) {
      const std::size_t option = rest % options;
      rest /= options;
      const Arrival& arrival = aSim.ArrivalAt(aIndex);
      const std::uint32_t cached = aSim.View(option / 2, arrival).m_cachedBlocks;
      const std::uint32_t stored = aSim.StoreOf(arrival).m_storedBlocks;
      const bool restore = option % 2 == 1 && stored > cached;
      return Placement{ option / 2, restore ? stored - cached : 0 };
    });
    double sum = 0;
    for (const double firstToken : outcome.m_timesToFirstToken) {
      sum += firstToken;
    }
    best = std::min(best, sum / static_cast<double>(aTrace.size()));
  }
  return best;
}

} // namespace ferrytray::experiment
