#include "ferrytray/store/metered_log.hpp"

#include <utility> // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::store {

void MeteredLog::Count(std::string_view aCall, const std::string& aTopic)
{
  m_metrics.Count("log_calls_total{call=\"" + std::string(aCall) + "\",topic=\"" + aTopic + "\"}");
  telemetry::LogLine("log_call").Add("call", aCall).Add("topic", aTopic);
}

void MeteredLog::ReadSnapshot(const std::string& aTopic, Done<Snapshot> aDone)
{
  Count("snapshot", aTopic);
  m_log.ReadSnapshot(aTopic, std::move(aDone));
}

void MeteredLog::Read(const std::string& aTopic,
                      Offset aFrom,
                      base::Duration aWait,
                      base::Duration aReplyTimeout,
                      Done<Batch> aDone)
{
  Count(aWait.count() > 0 ? "read_held" : "read", aTopic);
  m_log.Read(aTopic, aFrom, aWait, aReplyTimeout, std::move(aDone));
}

void MeteredLog::Append(const std::string& aTopic,
                        std::string_view aRecord,
                        Offset aExpectedEnd,
                        Done<AppendResult> aDone)
{
  Count("append", aTopic);
  m_log.Append(aTopic, aRecord, aExpectedEnd, std::move(aDone));
}

void MeteredLog::AppendKeyed(const std::string& aTopic,
                             std::string_view aKey,
                             std::string_view aValue,
                             Done<AppendResult> aDone)
{
  Count("append_keyed", aTopic);
  m_log.AppendKeyed(aTopic, aKey, aValue, std::move(aDone));
}

void MeteredLog::AppendKeyedAt(const std::string& aTopic,
                               std::string_view aKey,
                               std::string_view aValue,
                               Offset aExpectedEnd,
                               Done<AppendResult> aDone)
{
  Count("append_keyed", aTopic);
  m_log.AppendKeyedAt(aTopic, aKey, aValue, aExpectedEnd, std::move(aDone));
}

} // namespace ferrytray::store
