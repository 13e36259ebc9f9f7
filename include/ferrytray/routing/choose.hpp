#pragma once

#include <cstddef>  // for size_t
#include <optional> // for optional
#include <span>     // for span

#include "ferrytray/routing/estimate.hpp" // for Plan

namespace ferrytray::routing {

struct ChooseOptions
{
  CostWeights m_weights;
  base::Duration m_maxReportAge =
    std::chrono::seconds(10); ///< age past which a load report says nothing
  /// When reports are older than this, only m_sampleSize candidates are compared, so that gates
  /// with the same stale report do not all pick the same worker.
  base::Duration m_freshReportAge = std::chrono::milliseconds(500);
  std::size_t m_sampleSize = 3;
  std::size_t m_homeCount = 2; ///< the first candidates are the context's homes and always compared
};

/// @brief The chosen candidate and its plan.
struct Choice
{
  std::size_t m_worker = 0; ///< index into the candidates
  Plan m_plan;
};

/// @brief Chooses the worker and the plan with the lowest weighted cost.
/// @param aWorkers candidates, the context's home workers first; no allocation is made
/// @param aStores the view of the store that each candidate would import from
/// @param aRandom random bits for sampling
/// @param aPlans if not empty, gets each candidate's plan for the decision log (same size)
/// @return empty when no candidate can be used
std::optional<Choice> ChooseWorker(const RequestShape& aRequest,
                                   std::span<const WorkerView> aWorkers,
                                   std::span<const StoreView> aStores,
                                   const ChooseOptions& aOptions,
                                   std::uint64_t aRandom,
                                   std::span<std::optional<Plan>> aPlans = {});

} // namespace ferrytray::routing
