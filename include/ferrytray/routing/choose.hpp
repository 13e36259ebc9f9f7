#pragma once

#include <cstddef>  // for size_t
#include <optional> // for optional
#include <span>     // for span

#include "ferrytray/routing/estimate.hpp" // for Plan

namespace ferrytray::routing {

struct ChooseOptions
{
  CostWeights m_weights;
  base::Duration m_maxReportAge = std::chrono::seconds(10); ///< older load reports are ignored
  /// If any report is older than this, only the homes and m_sampleSize random candidates are
  /// compared, so that gates with the same stale reports don't all pick the same worker.
  base::Duration m_freshReportAge = std::chrono::milliseconds(500);
  std::size_t m_sampleSize = 3;
  std::size_t m_homeCount = 2; ///< leading candidates that are the context's homes; always compared
};

/// @brief The selected worker and its plan.
struct Choice
{
  std::size_t m_worker = 0; ///< index into the candidates
  Plan m_plan;
};

/// @brief Selects the worker and the plan with the lowest weighted cost. Doesn't allocate.
/// @param aWorkers candidates, the context's home workers first
/// @param aStores for each candidate, the store that it would import from
/// @param aRandom random bits for sampling
/// @param aPlans if not empty, receives the plans for the decision log; same size as aWorkers
/// @return empty if no candidate is usable
std::optional<Choice> ChooseWorker(const RequestShape& aRequest,
                                   std::span<const WorkerView> aWorkers,
                                   std::span<const StoreView> aStores,
                                   const ChooseOptions& aOptions,
                                   std::uint64_t aRandom,
                                   std::span<std::optional<Plan>> aPlans = {});

} // namespace ferrytray::routing
