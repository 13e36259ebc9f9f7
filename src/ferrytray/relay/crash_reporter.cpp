#include "ferrytray/relay/crash_reporter.hpp"

#include <algorithm> // for any_of, stable_partition
#include <iterator>  // for make_move_iterator
#include <utility>   // for move

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

/// Removes the elements that match and returns them.
template<typename Container, typename Predicate>
std::vector<typename Container::value_type> Extract(Container& aContainer, Predicate aMatches)
{
  const auto extractedFrom =
    std::stable_partition(aContainer.begin(), aContainer.end(), [&](const auto& aElement) {
      return !aMatches(aElement);
    });
  std::vector<typename Container::value_type> extracted(std::make_move_iterator(extractedFrom),
                                                        std::make_move_iterator(aContainer.end()));
  aContainer.erase(extractedFrom, aContainer.end());
  return extracted;
}

} // namespace

void CrashReporter::OnConnectionBroken(EndedConnection aBroken)
{
  m_pending.push_back({ std::move(aBroken) });
}

void CrashReporter::OnClosedAnswer(EndedConnection aClosed)
{
  if (m_closedAnswers.size() == m_options.m_maxClosedAnswers) {
    m_closedAnswers.pop_front();
  }
  m_closedAnswers.push_back(std::move(aClosed));
}

void CrashReporter::Report(const EndedConnection& aBroken)
{
  const quarantine::EndpointKey endpoint = peers::KeyOf(aBroken.m_incarnation);
  for (const quarantine::ContentKey& content : aBroken.m_content) {
    m_core.m_crashes.OnConnectionBroken(content, endpoint, aBroken.m_sentAt, aBroken.m_endedAt);
  }
  if (m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(aBroken.m_content);
  }
}

void CrashReporter::ReportComplete(const EndedConnection& aClosed)
{
  for (const quarantine::ContentKey& content : aClosed.m_content) {
    m_core.m_crashes.OnCompleteAnswer(content);
  }
  if (m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(aClosed.m_content);
  }
}

void CrashReporter::OnEndpointAlive(quarantine::EndpointKey aEndpoint, base::TimePoint aNow)
{
  const auto confirmed = Extract(m_pending, [&](const Pending& aPending) {
    const EndedConnection& broken = aPending.m_broken;
    return !aPending.m_directoryDecides && peers::KeyOf(broken.m_incarnation) != aEndpoint &&
           aNow >= broken.m_endedAt + m_options.m_minDelay;
  });
  for (const Pending& pending : confirmed) {
    Report(pending.m_broken);
  }
}

void CrashReporter::OnReply(const std::string& aIncarnation,
                            base::TimePoint aSentAt,
                            base::TimePoint aNow)
{
  const quarantine::EndpointKey endpoint = peers::KeyOf(aIncarnation);
  m_core.m_crashes.OnEndpointUp(endpoint, aSentAt);
  const bool hasEnded = std::any_of(m_pending.begin(),
                                    m_pending.end(),
                                    [&](const Pending& aPending) {
                                      return aPending.m_broken.m_incarnation == aIncarnation;
                                    }) ||
                        std::any_of(m_closedAnswers.begin(),
                                    m_closedAnswers.end(),
                                    [&](const EndedConnection& aClosed) {
                                      return aClosed.m_incarnation == aIncarnation;
                                    });
  if (hasEnded) {
    const auto survives = [&](const EndedConnection& aEnded) {
      return aEnded.m_incarnation == aIncarnation && aSentAt < aEnded.m_endedAt &&
             aNow >= aEnded.m_endedAt + m_options.m_minDelay;
    };
    Extract(m_pending, [&](const Pending& aPending) { return survives(aPending.m_broken); });
    for (const EndedConnection& closed : Extract(m_closedAnswers, survives)) {
      ReportComplete(closed);
    }
  }
  if (hasEnded || m_core.m_crashes.HasCrashed(endpoint)) {
    m_unverified.try_emplace(aIncarnation, UnverifiedReply{ aSentAt, aNow });
  }
}

void CrashReporter::OnProvenAlive(const std::string& aIncarnation, base::TimePoint aSentAt)
{
  const auto isAlive = [&](const EndedConnection& aEnded) {
    return aEnded.m_incarnation == aIncarnation && aSentAt > aEnded.m_endedAt;
  };
  Extract(m_pending, [&](const Pending& aPending) { return isAlive(aPending.m_broken); });
  for (const EndedConnection& closed : Extract(m_closedAnswers, isAlive)) {
    ReportComplete(closed);
  }
  m_core.m_crashes.OnEndpointReply(peers::KeyOf(aIncarnation), aSentAt);
}

void CrashReporter::Check(base::TimePoint aNow)
{
  CheckReplies();
  CheckClosedAnswers(aNow);
  CheckPending(aNow);
}

void CrashReporter::CheckReplies()
{
  for (auto reply = m_unverified.begin(); reply != m_unverified.end();) {
    const auto& [incarnation, times] = *reply;
    if (!IsListed(incarnation)) {
      reply = m_unverified.erase(reply); // sent by the next incarnation
    } else if (IsDirectoryNewerThan(times.m_receivedAt + m_options.m_entryDelay)) {
      OnProvenAlive(incarnation, times.m_sentAt);
      reply = m_unverified.erase(reply);
    } else {
      ++reply;
    }
  }
}

bool CrashReporter::IsLeaving(const std::string& aIncarnation) const
{
  const fleet::Endpoint* endpoint = m_core.m_directory.Find(aIncarnation);
  return endpoint != nullptr && endpoint->m_leaving;
}

void CrashReporter::CheckClosedAnswers(base::TimePoint aNow)
{
  const auto crashed = Extract(m_closedAnswers, [&](const EndedConnection& aClosed) {
    // Other connections of the endpoint are reported up to m_maxDelay after they broke.
    const auto crashedAt = m_core.m_crashes.CrashedAt(peers::KeyOf(aClosed.m_incarnation));
    return !IsListed(aClosed.m_incarnation) ||
           (crashedAt && *crashedAt + m_options.m_maxDelay > aClosed.m_endedAt);
  });
  for (const EndedConnection& closed : crashed) {
    Report(closed);
  }
  const auto complete = Extract(m_closedAnswers, [&](const EndedConnection& aClosed) {
    return IsLeaving(aClosed.m_incarnation) ||
           IsDirectoryNewerThan(aClosed.m_endedAt + m_options.m_maxListedAfterCrash);
  });
  for (const EndedConnection& closed : complete) {
    ReportComplete(closed);
  }
  Extract(m_closedAnswers, [&](const EndedConnection& aClosed) {
    return aNow >= aClosed.m_endedAt + m_options.m_maxUndecided;
  });
}

void CrashReporter::CheckPending(base::TimePoint aNow)
{
  const routing::Reachability state = m_core.m_reachability.State(aNow);
  if (state == routing::Reachability::Unreachable ||
      state == routing::Reachability::NoNewConnections) {
    for (Pending& pending : m_pending) {
      pending.m_directoryDecides = true;
    }
  }
  const auto decided = Extract(m_pending, [&](const Pending& aPending) {
    return aPending.m_directoryDecides ? !IsListed(aPending.m_broken.m_incarnation)
                                       : aNow >= aPending.m_broken.m_endedAt + m_options.m_maxDelay;
  });
  for (const Pending& pending : decided) {
    Report(pending.m_broken);
  }
  const auto discarded = Extract(m_pending, [&](const Pending& aPending) {
    return aNow >= aPending.m_broken.m_endedAt + m_options.m_maxUndecided;
  });
  if (!discarded.empty()) {
    telemetry::LogLine("crash_reports_discarded")
      .Add("count", discarded.size())
      .Add("why", "this host could not open connections, and the endpoints are still listed");
  }
}

} // namespace ferrytray::relay
