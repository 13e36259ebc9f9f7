// Content that crashes the endpoints that run it: evidence, quarantine and probes.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for all_of, find, max

#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/crash_reporter.hpp"    // for CrashReporter

namespace ferrytray::relay {

namespace {

/// An endpoint that replied within this time is assumed to be up.
constexpr base::Duration kRecentReplyWindow = std::chrono::seconds(1);

} // namespace

void Exchange::RecordCrash(const Attempt& aAttempt)
{
  const fleet::Endpoint* endpoint = m_core.m_directory.Find(aAttempt.m_incarnation);
  if (endpoint != nullptr && endpoint->m_leaving) {
    return; // closed by its shutdown, not by a crash
  }
  const base::TimePoint now = base::MonotonicNow();
  const std::span<const quarantine::ContentKey> content = m_content.Keys();
  if (m_core.m_crashReporter != nullptr) {
    m_core.m_reachability.OnBroken(now);
    m_core.m_crashReporter->OnConnectionBroken(
      { aAttempt.m_incarnation, { content.begin(), content.end() }, aAttempt.m_sentAt, now });
    return;
  }
  for (const quarantine::ContentKey& key : content) {
    m_core.m_crashes.OnConnectionBroken(
      key, peers::KeyOf(aAttempt.m_incarnation), aAttempt.m_sentAt, now);
  }
  if (m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(content);
  }
}

void Exchange::RecordSuccess(const Attempt& aAttempt, net::WireEnd aEnd)
{
  const base::TimePoint now = base::MonotonicNow();
  const std::span<const quarantine::ContentKey> content = m_content.Keys();
  if (aEnd == net::WireEnd::Closed && m_core.m_crashReporter != nullptr) {
    m_core.m_crashReporter->OnClosedAnswer(
      { aAttempt.m_incarnation, { content.begin(), content.end() }, aAttempt.m_sentAt, now });
    return;
  }
  std::vector<quarantine::ContentKey> cleared;
  for (const quarantine::ContentKey& key : content) {
    if (aEnd == net::WireEnd::Closed) {
      m_core.m_crashes.OnClosedAnswer(key, peers::KeyOf(aAttempt.m_incarnation), now);
      continue;
    }
    if (m_core.m_crashes.Find(key)) {
      cleared.push_back(key);
    }
    m_core.m_crashes.OnCompleteAnswer(key);
  }
  if (!cleared.empty() && m_core.m_onCrashesChanged) {
    m_core.m_onCrashesChanged(cleared);
  }
}

std::vector<quarantine::ContentKey> Exchange::BlockedContent() const
{
  std::vector<quarantine::ContentKey> blocked;
  if (m_core.m_crashes.Quarantined().empty()) {
    return blocked;
  }
  for (const quarantine::ContentKey& key : m_content.Keys()) {
    const bool isProbed =
      std::find(m_probedContent.begin(), m_probedContent.end(), key) != m_probedContent.end();
    if (!isProbed && m_core.m_crashes.IsQuarantined(key)) {
      blocked.push_back(key);
    }
  }
  return blocked;
}

bool Exchange::PrepareProbe(std::span<const quarantine::ContentKey> aContent)
{
  const bool anywhere =
    std::all_of(aContent.begin(), aContent.end(), [this](const quarantine::ContentKey& aKey) {
      return m_core.m_crashes.MayProbeAnyEndpoint(aKey, m_arrivedAt);
    });
  for (const fleet::Endpoint* endpoint : m_core.m_directory.Usable(m_service)) {
    const std::string& incarnation = endpoint->m_incarnation;
    const bool repliedRecently = anywhere || m_core.m_endpointTracker.AnsweredSince(
                                               incarnation, m_arrivedAt - kRecentReplyWindow);
    if (!repliedRecently || m_core.m_crashes.IsSilentSinceCrash(peers::KeyOf(incarnation))) {
      m_triedEndpoints.insert(incarnation);
    }
  }
  return m_planner.PickTarget(m_service, m_triedEndpoints, m_assigned).m_endpoint != nullptr;
}

void Exchange::ProbeOrRefuse()
{
  const std::vector<quarantine::ContentKey> blocked = BlockedContent();
  const bool mayProbe =
    std::all_of(blocked.begin(), blocked.end(), [this](const quarantine::ContentKey& aKey) {
      return m_core.m_crashes.MayProbe(aKey, m_arrivedAt);
    });
  if (!mayProbe || !m_core.m_claimProbe || IsForwarded() || ShouldForward() ||
      !PrepareProbe(blocked)) {
    RefuseQuarantined(); // without using an admission slot
    return;
  }
  m_core.m_claimProbe(blocked, [weak = weak_from_this(), blocked](bool aGranted) {
    const auto self = weak.lock();
    if (!self || self->m_done) {
      return;
    }
    if (aGranted) {
      self->m_probedContent = blocked;
      self->Admit();
    } else {
      self->RefuseQuarantined();
    }
  });
}

void Exchange::RefuseQuarantined()
{
  std::string why = "quarantined: endpoints crashed while they ran ";
  base::Duration retryAfter{};
  bool first = true;
  for (const quarantine::ContentKey& key : BlockedContent()) {
    why += (first ? "" : " and ") + DescribeContent(key, m_request);
    first = false;
    // A probe may clear the content; without one left, it stays quarantined.
    const std::optional<base::TimePoint> nextProbe = m_core.m_crashes.NextProbeAt(key);
    retryAfter = std::max(retryAfter,
                          nextProbe ? *nextProbe - base::MonotonicNow() +
                                        m_core.m_options.m_probedRetryAfterDelay
                                    : m_core.m_options.m_quarantineRetryAfterDelay);
  }
  if (m_replyStarted) {
    AbortReply(why);
  } else if (m_mayHaveRun) {
    FailUnknown(base::ErrorCode::EndpointBroke, std::move(why));
  } else {
    SendFailure({ base::ErrorCode::RequestQuarantined,
                  std::move(why),
                  base::RunState::NotRun,
                  std::max(retryAfter, m_core.m_options.m_probedRetryAfterDelay) });
  }
}

} // namespace ferrytray::relay
