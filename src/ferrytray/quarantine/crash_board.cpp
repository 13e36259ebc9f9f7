#include "ferrytray/quarantine/crash_board.hpp"

#include <algorithm> // for lower_bound, nth_element
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
  , m_served(m_options.m_servedSlots)
  , m_unconfirmed(m_options.m_maxUnconfirmedAnswers)
  , m_lastSequence(RandomSequenceBase())
{
}

void CrashTracker::OnConnectionBroken(const RequestKey& aRequest,
                                      EndpointKey aEndpoint,
                                      base::TimePoint aSentAt,
                                      base::TimePoint aNow)
{
  const auto crash = m_crashes.find(aEndpoint);
  if (crash != m_crashes.end() && aSentAt > crash->second.m_firstSeenAt &&
      IsDown(aEndpoint, aSentAt)) {
    return; // the endpoint was down before the request reached it
  }
  OnNotice({ NoticeKind::ConnectionBroken, aRequest, aEndpoint, 0 }, aNow);
}

void CrashTracker::OnCompleteAnswer(const RequestKey& aRequest)
{
  m_served.Add(aRequest);
  if (m_suspects.contains(aRequest)) {
    m_notices.Add({ NoticeKind::CompleteAnswer, aRequest, 0, ++m_lastSequence });
    ClearSuspect(aRequest);
  }
}

void CrashTracker::OnEndpointReply(EndpointKey aEndpoint, base::TimePoint aSentAt)
{
  for (const RequestKey& request : m_unconfirmed.OnEndpointReply(aEndpoint, aSentAt)) {
    OnCompleteAnswer(request);
  }
  const auto found = m_crashes.find(aEndpoint);
  if (found == m_crashes.end() || aSentAt <= found->second.m_lastSeenAt) {
    return;
  }
  // One notice for each request: the endpoint may crash later while it runs another one, and a host
  // that starts then gets these notices, too.
  const std::vector<RequestKey> requests = found->second.m_requests;
  for (const RequestKey& request : requests) {
    m_notices.Add({ NoticeKind::EndpointAlive, request, aEndpoint, ++m_lastSequence });
    RemoveCrash(request, aEndpoint);
  }
}

bool CrashTracker::OnNotice(const CrashNotice& aNotice, base::TimePoint aNow)
{
  if (!m_notices.Add(aNotice)) {
    return false;
  }
  switch (aNotice.m_kind) {
    case NoticeKind::ConnectionBroken:
      AddCrash(aNotice.m_request, aNotice.m_endpoint, aNow);
      break;
    case NoticeKind::CompleteAnswer:
      m_served.Add(aNotice.m_request);
      ClearSuspect(aNotice.m_request);
      break;
    case NoticeKind::KnownGood:
      MarkKnownGood(aNotice.m_request);
      break;
    case NoticeKind::EndpointAlive:
      RemoveCrash(aNotice.m_request, aNotice.m_endpoint);
      break;
    case NoticeKind::ProbeStarted:
      MarkProbed(aNotice.m_request);
      break;
  }
  return true;
}

void CrashTracker::OnRecord(const RequestKey& aRequest,
                            const Suspicion& aRecorded,
                            base::TimePoint aNow)
{
  for (const EndpointKey endpoint : aRecorded.m_crashedEndpoints) {
    OnNotice({ NoticeKind::ConnectionBroken, aRequest, endpoint, 0 }, aNow);
  }
  if (aRecorded.m_knownGood) {
    MarkKnownGood(aRequest);
  }
  if (aRecorded.m_probed) {
    MarkProbed(aRequest);
  }
}

bool CrashTracker::MayProbe(const RequestKey& aRequest, base::TimePoint aNow) const
{
  return MayProbeAfter(aRequest, m_options.m_probeDelay, aNow);
}

bool CrashTracker::MayProbeAnyEndpoint(const RequestKey& aRequest, base::TimePoint aNow) const
{
  return MayProbeAfter(aRequest, m_options.m_probeAnyEndpointDelay, aNow);
}

bool CrashTracker::MayProbeAfter(const RequestKey& aRequest,
                                 base::Duration aDelay,
                                 base::TimePoint aNow) const
{
  const auto found = m_suspects.find(aRequest);
  return found != m_suspects.end() && ReachesThreshold(found->second.m_suspicion) &&
         !found->second.m_suspicion.m_probed && aNow >= found->second.m_lastCrashAt + aDelay;
}

void CrashTracker::OnProbeStarted(const RequestKey& aRequest, base::TimePoint aNow)
{
  OnNotice({ NoticeKind::ProbeStarted, aRequest, 0, ++m_lastSequence }, aNow);
}

bool CrashTracker::ReachesThreshold(const Suspicion& aSuspicion) const
{
  return aSuspicion.m_crashedEndpoints.size() >= (aSuspicion.m_knownGood
                                                    ? m_options.m_knownGoodQuarantineThreshold
                                                    : m_options.m_quarantineThreshold);
}

bool CrashTracker::IsQuarantined(const RequestKey& aRequest) const
{
  const auto found = m_suspects.find(aRequest);
  return found != m_suspects.end() && ReachesThreshold(found->second.m_suspicion);
}

bool CrashTracker::IsDown(EndpointKey aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_crashes.find(aEndpoint);
  return found != m_crashes.end() &&
         aNow < found->second.m_lastSeenAt + m_options.m_assumedDowntime;
}

std::optional<Suspicion> CrashTracker::Find(const RequestKey& aRequest) const
{
  const auto found = m_suspects.find(aRequest);
  return found == m_suspects.end() ? std::nullopt : std::optional(found->second.m_suspicion);
}

std::vector<RequestKey> CrashTracker::RequestsWithCrashes(std::size_t aMinCrashes) const
{
  std::vector<RequestKey> requests;
  for (const auto& [request, suspect] : m_suspects) {
    if (suspect.m_suspicion.m_crashedEndpoints.size() >= aMinCrashes) {
      requests.push_back(request);
    }
  }
  return requests;
}

std::vector<RequestKey> CrashTracker::QuarantinedRequests() const
{
  std::vector<RequestKey> requests;
  for (const auto& [request, suspect] : m_suspects) {
    if (ReachesThreshold(suspect.m_suspicion)) {
      requests.push_back(request);
    }
  }
  return requests;
}

void CrashTracker::AddCrash(const RequestKey& aRequest, EndpointKey aEndpoint, base::TimePoint aNow)
{
  if (!m_suspects.contains(aRequest)) {
    EvictSuspects();
  }
  Suspect& suspect = m_suspects[aRequest];
  std::vector<EndpointKey>& endpoints = suspect.m_suspicion.m_crashedEndpoints;
  const auto position = std::lower_bound(endpoints.begin(), endpoints.end(), aEndpoint);
  const bool full = endpoints.size() >= m_options.m_maxCrashesPerRequest;
  if (full || (position != endpoints.end() && *position == aEndpoint)) {
    return;
  }
  endpoints.insert(position, aEndpoint);
  suspect.m_lastCrashAt = aNow;
  if (!suspect.m_suspicion.m_knownGood && m_served.Contains(aRequest)) {
    suspect.m_suspicion.m_knownGood = true;
    m_notices.Add({ NoticeKind::KnownGood, aRequest, 0, 0 });
  }
  EndpointCrash& crash =
    m_crashes.try_emplace(aEndpoint, EndpointCrash{ {}, aNow, aNow }).first->second;
  crash.m_requests.push_back(aRequest);
  crash.m_lastSeenAt = aNow;
}

void CrashTracker::MarkKnownGood(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found != m_suspects.end()) {
    found->second.m_suspicion.m_knownGood = true;
  }
}

void CrashTracker::MarkProbed(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found != m_suspects.end()) {
    found->second.m_suspicion.m_probed = true;
  }
}

void CrashTracker::RemoveCrash(const RequestKey& aRequest, EndpointKey aEndpoint)
{
  if (const auto suspect = m_suspects.find(aRequest); suspect != m_suspects.end()) {
    std::erase(suspect->second.m_suspicion.m_crashedEndpoints, aEndpoint);
    if (suspect->second.m_suspicion.m_crashedEndpoints.empty()) {
      m_suspects.erase(suspect);
    }
  }
  if (const auto crash = m_crashes.find(aEndpoint); crash != m_crashes.end()) {
    std::erase(crash->second.m_requests, aRequest);
    if (crash->second.m_requests.empty()) {
      m_crashes.erase(crash);
    }
  }
}

void CrashTracker::ClearSuspect(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found == m_suspects.end()) {
    return;
  }
  const std::vector<EndpointKey> endpoints = found->second.m_suspicion.m_crashedEndpoints;
  for (const EndpointKey endpoint : endpoints) {
    RemoveCrash(aRequest, endpoint);
  }
}

void CrashTracker::EvictSuspects()
{
  if (m_suspects.size() < m_options.m_maxSuspects) {
    return;
  }
  // Evicts the suspects with the fewest crashes, the oldest first. Evicts many at once because
  // each eviction scans all suspects.
  using RankedSuspect = std::tuple<std::size_t, base::TimePoint, RequestKey>;
  std::vector<RankedSuspect> all;
  all.reserve(m_suspects.size());
  for (const auto& [request, suspect] : m_suspects) {
    all.emplace_back(suspect.m_suspicion.m_crashedEndpoints.size(), suspect.m_lastCrashAt, request);
  }
  constexpr std::size_t kEvictionDivisor = 16;
  const std::size_t dropped = 1 + all.size() / kEvictionDivisor;
  const auto last = all.begin() + static_cast<std::ptrdiff_t>(dropped - 1);
  std::nth_element(all.begin(), last, all.end());
  for (std::size_t i = 0; i < dropped; ++i) {
    ClearSuspect(std::get<RequestKey>(all[i]));
  }
}

} // namespace ferrytray::quarantine
