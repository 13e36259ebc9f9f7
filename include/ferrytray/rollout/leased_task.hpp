#pragma once

#include "ferrytray/base/time.hpp" // for TimePoint

namespace ferrytray::rollout {

/// @brief Work that only the host with the order lease may do.
class LeasedTask
{
public:
  virtual ~LeasedTask() = default;
  /// @brief Whether there is something to do, so that the lease is worth taking.
  [[nodiscard]] virtual bool HasWork(base::TimePoint aNow) = 0;
  /// @brief Does what is due. Called only while the lease holds.
  virtual void DoWork(base::TimePoint aNow) = 0;
};

} // namespace ferrytray::rollout
