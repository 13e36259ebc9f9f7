#include "ferrytray/relay/request_limits.hpp"

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/endpoint_signals.hpp"  // for LogInvalidHeader
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

const char* ToString(limits::LimitChange aChange)
{
  switch (aChange) {
    case limits::LimitChange::None:
      break;
    case limits::LimitChange::Named:
      return "named";
    case limits::LimitChange::Changed:
      return "changed";
    case limits::LimitChange::Lifted:
      return "lifted";
  }
  return "none";
}

} // namespace

void RecordRequestLimit(RelayCore& aCore,
                        const std::string& aIncarnation,
                        const ReplyHead& aHead,
                        base::TimePoint aSentAt,
                        base::TimePoint aNow)
{
  if (aHead.m_invalidRequestLimit) {
    aCore.m_metrics.Count("endpoint_limits_invalid_total");
    LogInvalidHeader(aCore,
                     "endpoint_limit",
                     aIncarnation,
                     "the limit is not a finite number of at least 0",
                     aNow);
    if (!aHead.m_requestLimit) {
      return; // says neither that there is a limit nor that there is none
    }
  }
  const limits::LimitChange change = aCore.m_endpointLimits.OnAnswer(
    peers::KeyOf(aIncarnation), aHead.m_requestLimit, aSentAt, aNow);
  if (change != limits::LimitChange::None) {
    telemetry::LogLine("endpoint_limit")
      .Add("endpoint", aIncarnation)
      .Add("outcome", ToString(change))
      .Add("per_second", aHead.m_requestLimit.value_or(0));
  }
}

bool NeedsPermit(const RelayCore& aCore, const std::string& aIncarnation)
{
  return aCore.m_permitClient != nullptr && aCore.m_endpointLimits.Count() > 0 &&
         aCore.m_endpointLimits.IsLimited(peers::KeyOf(aIncarnation));
}

std::optional<base::TimePoint> PermitDeniedUntil(const RelayCore& aCore,
                                                 const std::string& aIncarnation,
                                                 base::TimePoint aNow)
{
  if (aCore.m_permits.Empty() || !NeedsPermit(aCore, aIncarnation)) {
    return std::nullopt;
  }
  return aCore.m_permits.DeniedUntil(peers::KeyOf(aIncarnation), aNow);
}

} // namespace ferrytray::relay
