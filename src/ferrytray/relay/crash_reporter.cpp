#include "ferrytray/relay/crash_reporter.hpp"

#include <algorithm> // for stable_partition
#include <utility>   // for exchange

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

void CrashReporter::OnConnectionBroken(std::span<const quarantine::ContentKey> aContent,
                                       quarantine::EndpointKey aEndpoint,
                                       base::TimePoint aSentAt,
                                       base::TimePoint aNow)
{
  m_pending.push_back({ { aContent.begin(), aContent.end() }, aEndpoint, aSentAt, aNow });
}

void CrashReporter::Report(const BrokenConnection& aBroken)
{
  for (const quarantine::ContentKey& content : aBroken.m_content) {
    m_core.m_crashes.OnConnectionBroken(
      content, aBroken.m_endpoint, aBroken.m_sentAt, aBroken.m_brokenAt);
  }
  if (m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(aBroken.m_content);
  }
}

void CrashReporter::OnEndpointAlive(quarantine::EndpointKey aEndpoint, base::TimePoint aNow)
{
  const auto waits = [&](const BrokenConnection& aBroken) {
    return aBroken.m_endpoint == aEndpoint || aNow < aBroken.m_brokenAt + m_options.m_minDelay;
  };
  const auto confirmed = std::stable_partition(m_pending.begin(), m_pending.end(), waits);
  const std::vector<BrokenConnection> reports(confirmed, m_pending.end());
  m_pending.erase(confirmed, m_pending.end());
  for (const BrokenConnection& report : reports) {
    Report(report);
  }
}

void CrashReporter::Check(base::TimePoint aNow)
{
  if (m_pending.empty()) {
    return;
  }
  switch (m_core.m_reachability.State(aNow)) {
    case routing::Reachability::Unreachable:
    case routing::Reachability::NoNewConnections:
      telemetry::LogLine("crash_reports_discarded")
        .Add("count", m_pending.size())
        .Add("why", "this host cannot connect to any endpoint");
      m_pending.clear();
      return;
    case routing::Reachability::Reachable:
    case routing::Reachability::Returning:
      break;
  }
  const auto waits = [&](const BrokenConnection& aBroken) {
    return aNow < aBroken.m_brokenAt + m_options.m_maxDelay;
  };
  const auto overdue = std::stable_partition(m_pending.begin(), m_pending.end(), waits);
  const std::vector<BrokenConnection> reports(overdue, m_pending.end());
  m_pending.erase(overdue, m_pending.end());
  for (const BrokenConnection& report : reports) {
    Report(report);
  }
}

} // namespace ferrytray::relay
