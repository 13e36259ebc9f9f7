#include "ferrytray/relay/endpoint_signals.hpp"

#include <algorithm> // for clamp
#include <cstdint>   // for INT32_MAX, int32_t

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

constexpr base::Duration kInvalidHeaderLogInterval = std::chrono::seconds(10);

} // namespace

void RecordLeaving(RelayCore& aCore,
                   const std::string& aIncarnation,
                   const ReplyHead& aHead,
                   base::TimePoint aNow)
{
  if (aHead.m_invalidLeaving) {
    aCore.m_metrics.Count("endpoint_leaving_invalid_total");
    LogInvalidHeader(
      aCore, "endpoint_leaving", aIncarnation, "the announcement is neither 0 nor 1", aNow);
  }
  if (!aHead.m_leaving ||
      !aCore.m_announcedLeaving.OnNotice({ peers::KeyOf(aIncarnation), 0 }, aNow)) {
    return;
  }
  const bool wasListed = aCore.m_directory.MarkLeaving(aIncarnation);
  telemetry::LogLine("endpoint_leaving")
    .Add("endpoint", aIncarnation)
    .Add("source", "answer")
    .Add("listed", wasListed ? "usable" : "leaving");
}

void RecordBackoff(RelayCore& aCore,
                   const std::string& aIncarnation,
                   const ReplyHead& aHead,
                   base::TimePoint aSentAt,
                   base::TimePoint aNow)
{
  const limits::EndpointKey key = peers::KeyOf(aIncarnation);
  if (aHead.m_invalidRetryAfter) {
    aCore.m_metrics.Count("endpoint_backoffs_invalid_total");
    LogInvalidHeader(aCore,
                     "endpoint_backoff",
                     aIncarnation,
                     "Retry-After is not a finite number of at least 0 seconds",
                     aNow);
  }
  if (!aHead.m_retryAfter) {
    aCore.m_endpointBackoffs.OnAnswered(key, aSentAt);
    return;
  }
  const limits::BackoffChange change =
    aCore.m_endpointBackoffs.OnRefused(key, *aHead.m_retryAfter, aNow);
  if (change == limits::BackoffChange::None) {
    return;
  }
  const auto millis = std::clamp<long>(base::ToMillis(*aHead.m_retryAfter), 0, INT32_MAX);
  aCore.m_reportedBackoffs.OnNotice(
    { key, aCore.m_options.m_hostKey, static_cast<std::int32_t>(millis) }, aNow);
  aCore.m_metrics.Count("endpoint_backoffs_total");
  telemetry::LogLine("endpoint_backoff")
    .Add("endpoint", aIncarnation)
    .Add("outcome", change == limits::BackoffChange::Begun ? "begun" : "extended")
    .Add("delay_ms", base::ToMillis(*aHead.m_retryAfter));
}

std::optional<base::TimePoint> BackoffEndsAt(const RelayCore& aCore,
                                             const std::string& aIncarnation,
                                             base::TimePoint aNow)
{
  return aCore.m_endpointBackoffs.Empty()
           ? std::nullopt
           : aCore.m_endpointBackoffs.EndsAt(peers::KeyOf(aIncarnation), aNow);
}

void LogInvalidHeader(RelayCore& aCore,
                      const char* aEvent,
                      const std::string& aIncarnation,
                      std::string_view aWhy,
                      base::TimePoint aNow)
{
  if (aNow < aCore.m_nextInvalidHeaderLine) {
    return;
  }
  aCore.m_nextInvalidHeaderLine = aNow + kInvalidHeaderLogInterval;
  telemetry::LogLine(aEvent)
    .Add("endpoint", aIncarnation)
    .Add("outcome", "invalid")
    .Add("code", static_cast<int>(base::ErrorCode::EndpointMalformed))
    .Add("why", aWhy);
}

} // namespace ferrytray::relay
