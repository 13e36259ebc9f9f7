#pragma once

#include <cstdint> // for uint32_t
#include <map>     // for map
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::control {

/// @brief State of a worker according to its last report.
struct WorkerVersion
{
  std::string m_worker;
  std::string m_incarnation;
  std::string m_version; ///< currently loaded; empty during a swap
  bool m_swapping = false;
  bool m_leaving = false;
  std::uint32_t m_queuedMillis = 0;
  bool m_inBackoff = false; ///< has requested a backoff: gets no order
};

/// @brief Order to run a version. Idempotent, since it names the target version.
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
    std::chrono::seconds(30); ///< an unconfirmed order is planned again after this time
};

/// @brief Selects the workers of a fleet to swap next.
///
/// A worker counts as swapping from its order until a report shows the new version or a new
/// incarnation, or until the confirm timeout, so that delayed reports cannot cause too many
/// concurrent swaps.
class SwapPlanner
{
public:
  explicit SwapPlanner(SwapPlannerOptions aOptions)
    : m_options(aOptions)
  {
  }

  void SetMaxConcurrent(std::uint32_t aMax) { m_options.m_maxConcurrent = aMax; }

  /// @brief Compares the target version with the loaded ones and returns the next orders. Workers
  /// with the shortest queue come first; ties keep the order of aWorkers.
  /// @param aWorkers the fleet's workers in all availability zones
  std::vector<SwapOrder> Plan(const std::string& aVersion,
                              std::span<const WorkerVersion> aWorkers,
                              base::TimePoint aNow);
  /// @brief Discards pending orders; a new lease holder starts from the reported state.
  void Reset() { m_pendingOrders.clear(); }
  /// @brief Changes the version of a pending order, for an order that is sent with another version
  /// than planned.
  void Retarget(const std::string& aWorker, const std::string& aVersion);
  /// @brief Whether a worker has an order that no report has confirmed.
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
