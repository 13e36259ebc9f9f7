#pragma once

#include <array>         // for array
#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::routing {

/// @brief Histogram of the intervals after which an account's contexts are used again.
class ReturnHistogram
{
public:
  /// @brief A context was used again after an interval.
  void OnReturn(base::Duration aGap);
  /// @brief A context was dropped without having been used again.
  void OnNotReturned() { m_notReturned = m_notReturned * kDecay + 1; }
  /// @brief Probability that a context that is idle for aIdle is used again within aHorizon.
  [[nodiscard]] double ReturnProbability(base::Duration aIdle, base::Duration aHorizon) const;
  /// @brief Highest expected number of returns per second of storage over all storage durations.
  ///
  /// This is an index policy: a context that usually returns after ten minutes is worth storing for
  /// ten minutes, one that should have returned by now is worth little.
  [[nodiscard]] double ReturnRate(base::Duration aIdle) const;

  static constexpr std::size_t kBuckets = 24;

private:
  static constexpr double kDecay = 0.999; // weight of older observations after each new one
  [[nodiscard]] double CountAfter(std::size_t aBucket, double aFrom) const;
  static std::size_t BucketOf(base::Duration aGap);

  std::array<double, kBuckets> m_returns{};
  double m_notReturned = 0;
};

/// @brief A context that may be kept in a store.
struct RetentionCandidate
{
  double m_bytes = 0;
  double m_recomputeSeconds = 0;
  base::Duration m_idle{};
};

/// @brief Engine seconds saved per second and byte of storage.
///
/// The contexts with the highest values are kept.
double RetentionValue(const RetentionCandidate& aContext, const ReturnHistogram& aReturns);

/// @brief Load of a store when an export to it is considered.
struct StorePressure
{
  double m_freeBytes = 0;
  double m_lowestValue = 0;       ///< RetentionValue() of what would be evicted
  base::Duration m_importQueue{}; ///< wait of imports on its link
};

struct RetentionOptions
{
  /// No exports while imports wait longer than this.
  base::Duration m_maxImportQueue = std::chrono::milliseconds(200);
  double m_minValue = 0; ///< minimum RetentionValue()
};

/// @brief Whether a context should be exported to the store now.
bool ShouldExport(const RetentionCandidate& aContext,
                  const ReturnHistogram& aReturns,
                  const StorePressure& aStore,
                  const RetentionOptions& aOptions);

} // namespace ferrytray::routing
