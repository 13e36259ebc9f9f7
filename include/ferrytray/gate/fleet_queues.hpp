#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/limits/fair_queue.hpp" // for FairQueue

namespace ferrytray::gate {

/// @brief Holds requests back while every engine of a fleet has a queue, so that fairness between
/// client accounts is decided here and not by who came first at an engine.
class FleetQueues
{
public:
  explicit FleetQueues(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Starts the pump.
  void Start();
  /// @brief Whether a request has to wait here.
  [[nodiscard]] bool MustQueue(const std::string& aFleet) const;
  /// @brief Holds a request. @return its number, or 0 when the queue is full
  std::uint64_t Enqueue(const std::string& aFleet,
                        const std::string& aAccount,
                        double aWeight,
                        double aEngineSeconds,
                        std::function<void()> aResume);
  /// @brief The request is not wanted any more.
  void Dequeue(const std::string& aFleet, std::uint64_t aId);
  /// @brief Expected time until what is held now has gone to engines.
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
