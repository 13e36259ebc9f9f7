#pragma once

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for int64_t
#include <map>     // for map
#include <string>  // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Options of the system-wide bound on retries, which each host enforces on its own.
struct RetryWindowOptions
{
  double m_ratio = 0.2; ///< retries per first send in the whole system (from the settings)
  /// Fraction of the ratio that a host uses for its own requests. The rest is a margin, since the
  /// system-wide bound is checked over windows that begin at other times than this host's.
  double m_hostRatioFraction = 0.8;
  /// Retries allowed without any first send; this host's part of the system-wide allowance.
  double m_minRetries = 1.0;
  base::Duration m_window = std::chrono::seconds(10); ///< from the settings
};

/// @brief Counts first sends and retries per service in a sliding window of ten slots.
class RetryWindow
{
public:
  explicit RetryWindow(RetryWindowOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnFirstSend(const std::string& aService, base::TimePoint aNow);
  /// @brief Counts and allows one retry if the window's bound permits it.
  bool TryRetry(const std::string& aService, base::TimePoint aNow);
  /// @brief Returns how many retries the window's bound permits now.
  [[nodiscard]] double Remaining(const std::string& aService, base::TimePoint aNow);

private:
  static constexpr std::size_t kSlots = 10;
  struct Slot
  {
    std::int64_t m_slotNumber = -1;
    double m_firstSends = 0;
    double m_retries = 0;
  };
  using Slots = std::array<Slot, kSlots>;

  Slot& SlotAt(Slots& aSlots, base::TimePoint aNow) const;
  [[nodiscard]] std::int64_t SlotNumberAt(base::TimePoint aNow) const;

  RetryWindowOptions m_options;
  std::map<std::string, Slots> m_services;
};

} // namespace ferrytray::limits
