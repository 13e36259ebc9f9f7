#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/limits/fair_queue.hpp" // for FairQueue

namespace ferrytray::gate {

/// @brief Queues requests while all engines of a fleet are busy, so that fair queuing between
/// client accounts decides their order instead of the arrival order at an engine.
class FleetQueues
{
public:
  explicit FleetQueues(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Starts the periodic dispatch of queued requests.
  void Start();
  /// @brief Whether a new request must be queued.
  [[nodiscard]] bool MustQueue(const std::string& aFleet) const;
  /// @brief Queues a request. @return its id, or 0 if the queue is full
  std::uint64_t Enqueue(const std::string& aFleet,
                        const std::string& aAccount,
                        double aWeight,
                        double aEngineSeconds,
                        std::function<void()> aResume);
  /// @brief Removes a request that has ended while queued.
  void Dequeue(const std::string& aFleet, std::uint64_t aId);
  /// @brief Expected time until all requests queued now have been dispatched.
  [[nodiscard]] base::Duration ExpectedWait(const std::string& aFleet, std::size_t aWorkers) const;

private:
  struct Queue
  {
    explicit Queue(std::size_t aCapacity)
      : m_queue(aCapacity)
    {
    }
    limits::FairQueue m_queue;
    std::map<std::uint64_t, std::function<void()>> m_resume;
  };

  void Dispatch();
  void DispatchFleet(const std::string& aFleet, Queue& aQueue);

  GateCore& m_core;
  std::map<std::string, Queue> m_queues;
  std::uint64_t m_lastId = 0;
  net::TimerHandle m_timer;
};

} // namespace ferrytray::gate
