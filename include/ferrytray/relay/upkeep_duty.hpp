#pragma once

#include <functional> // for function
#include <vector>     // for vector

#include "ferrytray/cache/store_cleanup.hpp" // for StoreCleanup, FreeParts
#include "ferrytray/relay/relay_core.hpp"    // for RelayCore
#include "ferrytray/rollout/leased_duty.hpp" // for LeasedDuty

namespace ferrytray::relay {

/// @brief Frees parts at a KV store.
class PartFreer
{
public:
  virtual ~PartFreer() = default;
  virtual void Free(const cache::FreeParts& aParts, std::function<void(bool aDone)> aDone) = 0;
};

/// @brief Frees stored parts that no engine can use any more. Runs on one host at a time.
class UpkeepDuty final : public rollout::LeasedDuty
{
public:
  UpkeepDuty(RelayCore& aCore, PartFreer& aFreer)
    : m_core(aCore)
    , m_freer(aFreer)
  {
  }

  [[nodiscard]] bool HasWork(base::TimePoint aNow) override;
  void DoWork(base::TimePoint aNow) override;

private:
  RelayCore& m_core;
  PartFreer& m_freer;
  cache::StoreCleanup m_cleanup;
  std::vector<cache::FreeParts> m_pendingFrees;
  base::TimePoint m_plannedAt{};
};

} // namespace ferrytray::relay
