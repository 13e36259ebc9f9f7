#pragma once

#include "ferrytray/base/error.hpp"                 // for Failure
#include "ferrytray/store/record_log.hpp"           // for Record
#include "ferrytray/telemetry/log_rate_limiter.hpp" // for LogRateLimiter
#include "ferrytray/telemetry/metrics.hpp"          // for Metrics

namespace ferrytray::store {

/// @brief Counts records that this host could not decode, and logs each cause at a bounded rate, so
/// that faulty writers cannot flood its log.
class UnreadableRecords
{
public:
  /// @param aMetrics must outlive this; null: records are only logged
  explicit UnreadableRecords(telemetry::Metrics* aMetrics = nullptr)
    : m_metrics(aMetrics)
  {
  }

  void Note(const Record& aRecord, const base::Failure& aWhy);

private:
  telemetry::Metrics* m_metrics;
  telemetry::LogRateLimiter m_gate;
};

} // namespace ferrytray::store
