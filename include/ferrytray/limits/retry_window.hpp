#pragma once

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for int64_t
#include <map>     // for map
#include <string>  // for string

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Bound on repeated sends to a service, shared by hosts that do not ask each other.
struct RetryWindowOptions
{
  double m_ratio = 0.2; ///< repeats per first send of the whole system (from the settings)
  /// Part of the ratio that one host spends on its own requests: the rest covers windows that
  /// slide differently here and at the judge of the bound.
  double m_hostRatioFraction = 0.8;
  /// Repeats allowed without any request; one host's part of the system's slack.
  double m_minRetries = 1.0;
  base::Duration m_window = std::chrono::seconds(10); ///< from the settings
};

/// @brief Counts first sends and repeats a service in a sliding window of ten slots.
class RetryWindow
{
public:
  explicit RetryWindow(RetryWindowOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  void OnFirstSend(const std::string& aService, base::TimePoint aNow);
  /// @brief Takes one repeat if the window allows it.
  bool TryRetry(const std::string& aService, base::TimePoint aNow);

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
