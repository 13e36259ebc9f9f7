#include "ferrytray/control/swap_planner.hpp"

#include <algorithm> // for stable_sort

namespace ferrytray::control {

std::vector<SwapOrder> SwapPlanner::Plan(const std::string& aVersion,
                                         std::span<const WorkerVersion> aWorkers,
                                         base::TimePoint aNow)
{
  RemoveSettledOrders(aWorkers, aNow);
  std::uint32_t swapping = 0;
  std::vector<const WorkerVersion*> waiting;
  for (const WorkerVersion& worker : aWorkers) {
    const bool swapInProgress = worker.m_swapping || m_pendingOrders.contains(worker.m_worker);
    if (swapInProgress) {
      ++swapping;
    } else if (worker.m_version != aVersion && !worker.m_leaving && !worker.m_inBackoff) {
      waiting.push_back(&worker);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->m_queuedMillis < aRight->m_queuedMillis;
  });
  std::vector<SwapOrder> orders;
  for (const WorkerVersion* worker : waiting) {
    if (swapping >= m_options.m_maxConcurrent) {
      break;
    }
    ++swapping;
    m_pendingOrders[worker->m_worker] = { aVersion, worker->m_incarnation, aNow };
    orders.push_back({ worker->m_worker, worker->m_incarnation, aVersion });
  }
  return orders;
}

void SwapPlanner::Retarget(const std::string& aWorker, const std::string& aVersion)
{
  const auto found = m_pendingOrders.find(aWorker);
  if (found != m_pendingOrders.end()) {
    found->second.m_version = aVersion;
  }
}

void SwapPlanner::RemoveSettledOrders(std::span<const WorkerVersion> aWorkers, base::TimePoint aNow)
{
  for (const WorkerVersion& worker : aWorkers) {
    const auto found = m_pendingOrders.find(worker.m_worker);
    if (found == m_pendingOrders.end()) {
      continue;
    }
    const bool loaded = !worker.m_swapping && worker.m_version == found->second.m_version;
    const bool replaced = worker.m_incarnation != found->second.m_incarnation;
    if (loaded || replaced) {
      m_pendingOrders.erase(found);
    }
  }
  std::erase_if(m_pendingOrders, [&](const auto& aEntry) {
    return aEntry.second.m_plannedAt + m_options.m_confirmTimeout <= aNow;
  });
}

} // namespace ferrytray::control
