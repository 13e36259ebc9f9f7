#include "ferrytray/gate/fleet_queues.hpp"

#include <algorithm> // for max

namespace ferrytray::gate {

namespace {

constexpr base::Duration kDispatchInterval = std::chrono::milliseconds(10);

} // namespace

void FleetQueues::Start()
{
  m_timer = m_core.m_loop.Every(kDispatchInterval, [this] { Dispatch(); });
}

bool FleetQueues::MustQueue(const std::string& aFleet) const
{
  const auto queue = m_queues.find(aFleet);
  // New requests must not overtake queued ones.
  if (queue != m_queues.end() && queue->second.m_queue.Size() > 0) {
    return true;
  }
  const auto shortest = m_core.m_view.ShortestQueueWait(aFleet, base::MonotonicNow());
  return shortest && *shortest > m_core.m_options.m_holdAbove;
}

std::uint64_t FleetQueues::Enqueue(const std::string& aFleet,
                                   const std::string& aAccount,
                                   double aWeight,
                                   double aEngineSeconds,
                                   std::function<void()> aResume)
{
  Queue& queue = m_queues.try_emplace(aFleet, m_core.m_options.m_queueCapacity).first->second;
  const std::uint64_t id = ++m_lastId;
  if (!queue.m_queue.Push(aAccount, aWeight, { id, aEngineSeconds })) {
    return 0;
  }
  queue.m_resume.emplace(id, std::move(aResume));
  return id;
}

void FleetQueues::Dequeue(const std::string& aFleet, std::uint64_t aId)
{
  const auto queue = m_queues.find(aFleet);
  if (queue != m_queues.end()) {
    queue->second.m_queue.Remove(aId);
    queue->second.m_resume.erase(aId);
  }
}

base::Duration FleetQueues::ExpectedWait(const std::string& aFleet, std::size_t aWorkers) const
{
  const auto queue = m_queues.find(aFleet);
  if (queue == m_queues.end()) {
    return base::Duration::zero();
  }
  return base::FromSeconds(queue->second.m_queue.QueuedCost() /
                           static_cast<double>(std::max<std::size_t>(1, aWorkers)));
}

void FleetQueues::Dispatch()
{
  for (auto& [fleet, queue] : m_queues) {
    DispatchFleet(fleet, queue);
  }
}

void FleetQueues::DispatchFleet(const std::string& aFleet, Queue& aQueue)
{
  while (aQueue.m_queue.Size() > 0) {
    const auto shortest = m_core.m_view.ShortestQueueWait(aFleet, base::MonotonicNow());
    if (shortest && *shortest > m_core.m_options.m_holdAbove) {
      return;
    }
    const auto next = aQueue.m_queue.Pop();
    const auto found = aQueue.m_resume.find(next->m_id);
    const std::function<void()> resume = std::move(found->second);
    aQueue.m_resume.erase(found);
    resume();
  }
}

} // namespace ferrytray::gate
