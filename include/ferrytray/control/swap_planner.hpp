#pragma once

#include <cstdint> // for uint32_t
#include <map>     // for map
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

/// @brief A worker as its last report shows it.
struct WorkerVersion
{
  std::string m_worker;
  std::string m_incarnation;
  std::string m_version; ///< loaded now; empty while it swaps
  bool m_swapping = false;
  bool m_leaving = false;
  std::uint32_t m_queuedMillis = 0;
};

/// @brief "Run this version": absolute, so that repeating it is harmless.
struct SwapOrder
{
  std::string m_worker;
  std::string m_incarnation;
  std::string m_version;
};

struct SwapPlannerOptions
{
  std::uint32_t m_maxConcurrent = 1;
  base::Duration m_confirmTimeout =
    std::chrono::seconds(30); ///< after which an order is sent again
};

/// @brief Decides which workers of a fleet are ordered to swap next.
///
/// A worker counts as swapping from its order until a report shows it swapped or failed, so lag
/// in the reports cannot let too many swap at once.
class SwapPlanner
{
public:
  explicit SwapPlanner(SwapPlannerOptions aOptions)
    : m_options(aOptions)
  {
  }

  void SetMaxConcurrent(std::uint32_t aMax) { m_options.m_maxConcurrent = aMax; }

  /// @brief Level-triggered: compares what should run with what does. Workers with the least queued
  /// go first; of like ones, those that come first in the list.
  /// @param aWorkers the fleet's workers in every availability zone
  std::vector<SwapOrder> Plan(const std::string& aVersion,
                              std::span<const WorkerVersion> aWorkers,
                              base::TimePoint aNow);
  /// @brief Forgets orders sent (a new holder reads the actual state instead).
  void Reset() { m_pendingOrders.clear(); }
  /// @brief An order that was planned names another version when it is sent.
  void Retarget(const std::string& aWorker, const std::string& aVersion);
  /// @brief Whether a worker was ordered and has not been seen to have swapped.
  [[nodiscard]] bool HasPendingOrder(const std::string& aWorker) const
  {
    return m_pendingOrders.contains(aWorker);
  }

private:
  struct PendingOrder
  {
    std::string m_version;
    std::string m_incarnation;
    base::TimePoint m_plannedAt;
  };

  void RemoveSettledOrders(std::span<const WorkerVersion> aWorkers, base::TimePoint aNow);

  SwapPlannerOptions m_options;
  std::map<std::string, PendingOrder> m_pendingOrders;
};

} // namespace ferrytray::control
