#pragma once

#include <set>    // for set
#include <string> // for string

#include "ferrytray/gate/gate_core.hpp" // for GateCore

namespace ferrytray::gate {

/// @brief Polls the cache events of this zone's engines; fetches the full block list after a gap.
class CacheEventPoller
{
public:
  explicit CacheEventPoller(GateCore& aCore)
    : m_core(aCore)
  {
  }

  void Start();

private:
  void Poll();
  void PollEvents(const std::string& aWorker, const std::string& aAddress);
  void FetchBlockList(const std::string& aWorker, const std::string& aAddress);

  GateCore& m_core;
  std::set<std::string> m_inFlight;
  net::TimerHandle m_timer;
};

} // namespace ferrytray::gate
