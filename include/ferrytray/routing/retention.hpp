#pragma once

#include <array>         // for array
#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration

namespace ferrytray::routing {

/// @brief Learns how long an account's users stay away, as a histogram of return gaps.
class ReturnHistogram
{
public:
  /// @brief A context came back after a gap.
  void OnReturn(base::Duration aGap);
  /// @brief A context was not seen again.
  void OnNotReturned() { m_notReturned = m_notReturned * kDecay + 1; }
  /// @brief The chance that a context idle for so long comes back within a horizon.
  [[nodiscard]] double ReturnProbability(base::Duration aIdle, base::Duration aHorizon) const;
  /// @brief The best returns for each second of keeping, over every span that it might be kept.
  ///
  /// An index policy: a context that returns after ten minutes is worth those ten minutes, one
  /// that should have returned by now is worth little.
  [[nodiscard]] double ReturnRate(base::Duration aIdle) const;

  static constexpr std::size_t kBuckets = 24;

private:
  static constexpr double kDecay = 0.999; // old habits fade
  [[nodiscard]] double CountAfter(std::size_t aBucket, double aFrom) const;
  static std::size_t BucketOf(base::Duration aGap);

  std::array<double, kBuckets> m_returns{};
  double m_notReturned = 0;
};

/// @brief What keeping a context would save.
struct RetentionCandidate
{
  double m_bytes = 0;
  double m_recomputeSeconds = 0;
  base::Duration m_idle{};
};

/// @brief The engine seconds that a byte of store saves a second: keep what has most.
double RetentionValue(const RetentionCandidate& aContext, const ReturnHistogram& aReturns);

/// @brief The state of a store when an export is considered.
struct StorePressure
{
  double m_freeBytes = 0;
  double m_lowestValue = 0;       ///< RetentionValue of what would be displaced
  base::Duration m_importQueue{}; ///< imports waiting on its link
};

struct RetentionOptions
{
  base::Duration m_maxImportQueue =
    std::chrono::milliseconds(200); ///< imports waiting longer stop exports
  double m_minValue = 0;            ///< what a byte must save a second at least
};

/// @brief Whether a context should be exported now.
bool ShouldExport(const RetentionCandidate& aContext,
                  const ReturnHistogram& aReturns,
                  const StorePressure& aStore,
                  const RetentionOptions& aOptions);

} // namespace ferrytray::routing
