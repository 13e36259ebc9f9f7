#pragma once

#include "ferrytray/base/time.hpp" // for TimePoint

namespace ferrytray::rollout {

/// @brief Work that only the holder of the order lease may do.
class LeasedDuty
{
public:
  virtual ~LeasedDuty() = default;
  /// @brief Returns whether there is work that justifies taking the lease.
  [[nodiscard]] virtual bool HasWork(base::TimePoint aNow) = 0;
  /// @brief Does the work that is due. Called only while the lease is held.
  virtual void DoWork(base::TimePoint aNow) = 0;
};

} // namespace ferrytray::rollout
