#pragma once

#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/store/record_log.hpp"  // for RecordLog
#include "ferrytray/telemetry/metrics.hpp" // for Metrics

namespace ferrytray::store {

/// @brief Forwards calls to a log, and counts and logs each by kind and topic: every call is
/// charged, and hundreds of hosts share one rate limit of the log.
class MeteredLog final : public RecordLog
{
public:
  /// @param aLog,aMetrics must outlive this
  MeteredLog(RecordLog& aLog, telemetry::Metrics& aMetrics)
    : m_log(aLog)
    , m_metrics(aMetrics)
  {
  }

  void ReadSnapshot(const std::string& aTopic, Done<Snapshot> aDone) override;
  void Read(const std::string& aTopic,
            Offset aFrom,
            base::Duration aWait,
            base::Duration aReplyTimeout,
            Done<Batch> aDone) override;
  void Append(const std::string& aTopic,
              std::string_view aRecord,
              Offset aExpectedEnd,
              Done<AppendResult> aDone) override;
  void AppendKeyed(const std::string& aTopic,
                   std::string_view aKey,
                   std::string_view aValue,
                   Done<AppendResult> aDone) override;
  void AppendKeyedAt(const std::string& aTopic,
                     std::string_view aKey,
                     std::string_view aValue,
                     Offset aExpectedEnd,
                     Done<AppendResult> aDone) override;

private:
  void Count(std::string_view aCall, const std::string& aTopic);

  RecordLog& m_log;
  telemetry::Metrics& m_metrics;
};

} // namespace ferrytray::store
