#pragma once

#include <optional> // for optional

#include "ferrytray/routing/candidate.hpp" // for WorkerView, StoreView

namespace ferrytray::routing {

/// @brief How a worker comes by the context, and what that is expected to cost.
struct Plan
{
  std::uint32_t m_restoreBlocks = 0; ///< blocks from the store, after those the worker has
  std::uint32_t m_recomputeTokens = 0;
  base::Duration m_firstToken{}; ///< from now until the first token
  base::Duration m_engineTime{}; ///< prefill that the request puts on the worker
  double m_linkBytes = 0;
  double m_cost = 0; ///< weighted; the lowest wins
};

/// @brief How long a worker's queue is now, by a report that lags.
///
/// The queue in the report has been worked on since, and what this gate sent since is not in it.
/// @param aMaxReportAge reports older than this say nothing; the queue is then what was sent since
base::Duration QueueWait(const WorkerView& aWorker, base::Duration aMaxReportAge);

/// @brief The cheapest way for a worker to come by the context: recompute it, restore it, or
/// restore a prefix and recompute the rest.
///
/// An import runs while the request waits in the worker's queue, so the first token waits for the
/// longer of the two. The cost is piecewise linear in the restored blocks, so only the ends
/// and the break point (where the import lasts just as long as the queue) are looked at.
/// @return empty when the worker cannot be used
std::optional<Plan> CheapestPlan(const RequestShape& aRequest,
                                 const WorkerView& aWorker,
                                 const StoreView& aStore,
                                 const CostWeights& aWeights,
                                 base::Duration aMaxReportAge);

} // namespace ferrytray::routing
