#pragma once

#include <optional> // for optional

#include "ferrytray/routing/candidate.hpp" // for WorkerView, StoreView

namespace ferrytray::routing {

/// @brief How a worker obtains the context of a prompt, and the expected cost.
struct Plan
{
  std::uint32_t m_restoreBlocks = 0; ///< imported from the store, after the cached ones
  std::uint32_t m_recomputeTokens = 0;
  base::Duration m_firstToken{}; ///< time to first token
  base::Duration m_engineTime{}; ///< prefill time on the worker
  double m_linkBytes = 0;
  double m_cost = 0; ///< weighted sum; lower is better
};

/// @brief Estimates a worker's current queue wait from its last load report.
///
/// Subtracts the work done since the report and adds what this gate has sent since.
/// @param aMaxReportAge older reports are ignored; only the work sent since then counts
base::Duration QueueWait(const WorkerView& aWorker, base::Duration aMaxReportAge);

/// @brief Finds the cheapest way for a worker to obtain the context: recompute it, restore it, or
/// restore a prefix and recompute the rest.
///
/// The import overlaps with the wait in the worker's queue, so the first token waits for the longer
/// of the two. The cost is piecewise linear in the number of restored blocks, so it suffices to
/// compare both ends and the break points: where the import takes as long as the queue, and where
/// the first token just meets its target.
/// @return empty if the worker is not usable
std::optional<Plan> CheapestPlan(const RequestShape& aRequest,
                                 const WorkerView& aWorker,
                                 const StoreView& aStore,
                                 const CostWeights& aWeights,
                                 base::Duration aMaxReportAge);

} // namespace ferrytray::routing
