#include "ferrytray/quarantine/crash_tracker.hpp"

#include <algorithm> // for lower_bound, max, nth_element
#include <random>    // for random_device
#include <tuple>     // for tuple

namespace ferrytray::quarantine {

namespace {

/// Gives each process its own range of sequence numbers, also after a restart.
std::uint64_t RandomSequenceBase()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return static_cast<std::uint64_t>(device()) << kHalfBits;
}

} // namespace

CrashTracker::CrashTracker(CrashTrackerOptions aOptions)
  : m_options(aOptions)
  , m_notices(m_options.m_maxNotices)
  , m_servedRequests(m_options.m_servedSlots)
  , m_servedParts(m_options.m_servedSlots)
  , m_unconfirmed(m_options.m_maxUnconfirmedAnswers)
  , m_lastSequence(RandomSequenceBase())
{
}

void CrashTracker::OnConnectionBroken(const ContentKey& aContent,
                                      EndpointKey aEndpoint,
                                      base::TimePoint aSentAt,
                                      base::TimePoint aNow)
{
  const auto crash = m_crashes.find(aEndpoint);
  if (crash != m_crashes.end() && aSentAt > crash->second.m_downSince &&
      IsDown(aEndpoint, aSentAt)) {
    return; // the endpoint was down before the request reached it
  }
  OnNotice({ NoticeKind::ConnectionBroken, aContent, aEndpoint, 0 }, aNow);
}

void CrashTracker::OnCompleteAnswer(const ContentKey& aContent)
{
  ServedOf(aContent).Add(aContent);
  if (m_suspects.contains(aContent)) {
    m_notices.Add({ NoticeKind::CompleteAnswer, aContent, 0, ++m_lastSequence });
    ClearSuspect(aContent);
  }
}

void CrashTracker::OnEndpointReply(EndpointKey aEndpoint, base::TimePoint aSentAt)
{
  for (const ContentKey& content : m_unconfirmed.OnEndpointReply(aEndpoint, aSentAt)) {
    OnCompleteAnswer(content);
  }
  const auto found = m_crashes.find(aEndpoint);
  if (found == m_crashes.end() || aSentAt <= found->second.m_lastSeenAt) {
    return;
  }
  // One notice for each content: the endpoint may crash later while it runs another request, and a
  // host that starts then gets these notices, too.
  const std::vector<ContentKey> affected = found->second.m_content;
  for (const ContentKey& content : affected) {
    m_notices.Add({ NoticeKind::EndpointAlive, content, aEndpoint, ++m_lastSequence });
    RemoveCrash(content, aEndpoint);
  }
}

void CrashTracker::OnEndpointUp(EndpointKey aEndpoint, base::TimePoint aSentAt)
{
  const auto found = m_crashes.find(aEndpoint);
  if (found != m_crashes.end() && aSentAt > found->second.m_lastSeenAt) {
    found->second.m_answeredSince = true;
  }
}

bool CrashTracker::OnNotice(const CrashNotice& aNotice, base::TimePoint aNow)
{
  const ContentKey& content = aNotice.m_content;
  if (aNotice.m_kind == NoticeKind::CompleteAnswer && IsPart(content) &&
      !m_suspects.contains(content)) {
    // Many hosts answer prompts with a popular part at once. The first notice has cleared it, and
    // further ones need not reach all hosts.
    m_servedParts.Add(content);
    return false;
  }
  if (!m_notices.Add(aNotice)) {
    return false;
  }
  switch (aNotice.m_kind) {
    case NoticeKind::ConnectionBroken:
      AddCrash(content, aNotice.m_endpoint, aNow);
      break;
    case NoticeKind::CompleteAnswer:
      ServedOf(content).Add(content);
      ClearSuspect(content);
      break;
    case NoticeKind::KnownGood:
      MarkKnownGood(content);
      break;
    case NoticeKind::EndpointAlive:
      RemoveCrash(content, aNotice.m_endpoint);
      break;
    case NoticeKind::ProbeStarted:
      MarkProbed(content, static_cast<std::uint8_t>(aNotice.m_endpoint), aNow);
      break;
  }
  return true;
}

void CrashTracker::OnRecord(const ContentKey& aContent,
                            const Suspicion& aRecorded,
                            base::TimePoint aNow)
{
  for (const EndpointKey endpoint : aRecorded.m_crashedEndpoints) {
    OnNotice({ NoticeKind::ConnectionBroken, aContent, endpoint, 0 }, aNow);
  }
  if (aRecorded.m_knownGood) {
    MarkKnownGood(aContent);
  }
  MarkProbed(aContent, aRecorded.m_probes, aNow);
}

std::optional<base::TimePoint> CrashTracker::NextProbeAt(const ContentKey& aContent) const
{
  const auto found = m_suspects.find(aContent);
  if (found == m_suspects.end() || !IsQuarantined(aContent)) {
    return std::nullopt;
  }
  const auto& [suspicion, lastCrashAt, lastProbeAt] = found->second;
  const bool hasTooManyCrashes =
    !IsPart(aContent) && suspicion.m_crashedEndpoints.size() > m_options.m_maxProbedRequestCrashes;
  if (suspicion.m_probes >= m_options.m_maxProbes || hasTooManyCrashes) {
    return std::nullopt;
  }
  const base::Duration delay =
    suspicion.m_knownGood ? m_options.m_knownGoodProbeDelay : m_options.m_probeDelay;
  return suspicion.m_probes == 0
           ? lastCrashAt + delay
           : std::max(lastCrashAt + delay, lastProbeAt + m_options.m_secondProbeDelay);
}

bool CrashTracker::MayProbe(const ContentKey& aContent, base::TimePoint aNow) const
{
  const std::optional<base::TimePoint> next = NextProbeAt(aContent);
  return next && aNow >= *next;
}

bool CrashTracker::MayProbeAnyEndpoint(const ContentKey& aContent, base::TimePoint aNow) const
{
  if (!MayProbe(aContent, aNow)) {
    return false;
  }
  const SuspectState& state = m_suspects.at(aContent);
  return state.m_suspicion.m_knownGood ||
         aNow >= state.m_lastCrashAt + m_options.m_probeAnyEndpointDelay;
}

void CrashTracker::OnProbeStarted(const ContentKey& aContent,
                                  std::uint8_t aProbes,
                                  base::TimePoint aNow)
{
  OnNotice({ NoticeKind::ProbeStarted, aContent, aProbes, ++m_lastSequence }, aNow);
}

const std::set<ContentKey>& CrashTracker::Quarantined() const
{
  if (!m_quarantined) {
    std::vector<Suspect> suspects;
    for (const auto& [content, state] : m_suspects) {
      if (state.m_suspicion.m_crashedEndpoints.size() >= m_options.m_thresholds.m_crashes) {
        suspects.push_back({ content, &state.m_suspicion });
      }
    }
    m_quarantined = SelectQuarantined(suspects, m_options.m_thresholds);
  }
  return *m_quarantined;
}

std::optional<base::TimePoint> CrashTracker::CrashedAt(EndpointKey aEndpoint) const
{
  const auto found = m_crashes.find(aEndpoint);
  return found == m_crashes.end() ? std::nullopt : std::optional(found->second.m_downSince);
}

bool CrashTracker::IsSilentSinceCrash(EndpointKey aEndpoint) const
{
  const auto found = m_crashes.find(aEndpoint);
  return found != m_crashes.end() && !found->second.m_answeredSince;
}

bool CrashTracker::IsDown(EndpointKey aEndpoint, base::TimePoint aNow) const
{
  return IsSilentSinceCrash(aEndpoint) &&
         aNow < m_crashes.at(aEndpoint).m_lastSeenAt + m_options.m_assumedDowntime;
}

std::optional<Suspicion> CrashTracker::Find(const ContentKey& aContent) const
{
  const auto found = m_suspects.find(aContent);
  return found == m_suspects.end() ? std::nullopt : std::optional(found->second.m_suspicion);
}

std::vector<ContentKey> CrashTracker::ContentWithCrashes(std::size_t aMinCrashes) const
{
  std::vector<ContentKey> contents;
  for (const auto& [content, state] : m_suspects) {
    if (state.m_suspicion.m_crashedEndpoints.size() >= aMinCrashes) {
      contents.push_back(content);
    }
  }
  return contents;
}

void CrashTracker::AddCrash(const ContentKey& aContent, EndpointKey aEndpoint, base::TimePoint aNow)
{
  if (!m_suspects.contains(aContent)) {
    EvictSuspects();
  }
  SuspectState& suspect = m_suspects[aContent];
  std::vector<EndpointKey>& endpoints = suspect.m_suspicion.m_crashedEndpoints;
  const auto position = std::lower_bound(endpoints.begin(), endpoints.end(), aEndpoint);
  const bool full = endpoints.size() >= m_options.m_maxCrashesPerContent;
  if (full || (position != endpoints.end() && *position == aEndpoint)) {
    return;
  }
  m_quarantined.reset();
  endpoints.insert(position, aEndpoint);
  suspect.m_lastCrashAt = aNow;
  if (!suspect.m_suspicion.m_knownGood && ServedOf(aContent).Contains(aContent)) {
    suspect.m_suspicion.m_knownGood = true;
    m_notices.Add({ NoticeKind::KnownGood, aContent, 0, 0 });
  }
  EndpointCrash& crash =
    m_crashes.try_emplace(aEndpoint, EndpointCrash{ {}, aNow, aNow, false }).first->second;
  const bool wasUp =
    crash.m_answeredSince || aNow >= crash.m_lastSeenAt + m_options.m_assumedDowntime;
  crash.m_downSince = wasUp ? aNow : crash.m_downSince;
  crash.m_content.push_back(aContent);
  crash.m_lastSeenAt = aNow;
  crash.m_answeredSince = false;
}

void CrashTracker::MarkKnownGood(const ContentKey& aContent)
{
  const auto found = m_suspects.find(aContent);
  if (found != m_suspects.end()) {
    m_quarantined.reset();
    found->second.m_suspicion.m_knownGood = true;
  }
}

void CrashTracker::MarkProbed(const ContentKey& aContent,
                              std::uint8_t aProbes,
                              base::TimePoint aNow)
{
  const auto found = m_suspects.find(aContent);
  if (found != m_suspects.end() && aProbes > found->second.m_suspicion.m_probes) {
    found->second.m_suspicion.m_probes = aProbes;
    found->second.m_lastProbeAt = aNow;
  }
}

void CrashTracker::RemoveCrash(const ContentKey& aContent, EndpointKey aEndpoint)
{
  m_quarantined.reset();
  if (const auto suspect = m_suspects.find(aContent); suspect != m_suspects.end()) {
    std::erase(suspect->second.m_suspicion.m_crashedEndpoints, aEndpoint);
    if (suspect->second.m_suspicion.m_crashedEndpoints.empty()) {
      m_suspects.erase(suspect);
    }
  }
  if (const auto crash = m_crashes.find(aEndpoint); crash != m_crashes.end()) {
    std::erase(crash->second.m_content, aContent);
    if (crash->second.m_content.empty()) {
      m_crashes.erase(crash);
    }
  }
}

void CrashTracker::ClearSuspect(const ContentKey& aContent)
{
  const auto found = m_suspects.find(aContent);
  if (found == m_suspects.end()) {
    return;
  }
  const std::vector<EndpointKey> endpoints = found->second.m_suspicion.m_crashedEndpoints;
  for (const EndpointKey endpoint : endpoints) {
    RemoveCrash(aContent, endpoint);
  }
}

void CrashTracker::EvictSuspects()
{
  if (m_suspects.size() < m_options.m_maxSuspects) {
    return;
  }
  // Evicts the suspects with the fewest crashes, the oldest first. Evicts many at once because
  // each eviction scans all suspects.
  using RankedSuspect = std::tuple<std::size_t, base::TimePoint, ContentKey>;
  std::vector<RankedSuspect> all;
  all.reserve(m_suspects.size());
  for (const auto& [content, suspect] : m_suspects) {
    all.emplace_back(suspect.m_suspicion.m_crashedEndpoints.size(), suspect.m_lastCrashAt, content);
  }
  constexpr std::size_t kEvictionDivisor = 16;
  const std::size_t dropped = 1 + all.size() / kEvictionDivisor;
  const auto last = all.begin() + static_cast<std::ptrdiff_t>(dropped - 1);
  std::nth_element(all.begin(), last, all.end());
  for (std::size_t i = 0; i < dropped; ++i) {
    ClearSuspect(std::get<ContentKey>(all[i]));
  }
}

} // namespace ferrytray::quarantine
