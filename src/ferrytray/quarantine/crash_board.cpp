#include "ferrytray/quarantine/crash_board.hpp"

#include <algorithm> // for lower_bound, nth_element
#include <random>    // for random_device
#include <tuple>     // for tuple

namespace ferrytray::quarantine {

namespace {

/// Numbers of two processes are never alike, nor those of one process's lives.
std::uint64_t RandomStart()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return static_cast<std::uint64_t>(device()) << kHalf;
}

} // namespace

CrashBoard::CrashBoard(CrashBoardOptions aOptions)
  : m_options(aOptions)
  , m_notices(m_options.m_mostNotices)
  , m_served(m_options.m_servedPlaces)
  , m_lastNumber(RandomStart())
{
}

void CrashBoard::OnBroken(const RequestKey& aRequest,
                          EndpointKey aEndpoint,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow)
{
  const auto end = m_ends.find(aEndpoint);
  if (end != m_ends.end() && aSentAt > end->second.m_firstAt && IsDown(aEndpoint, aSentAt)) {
    return; // it was down before the request reached it
  }
  OnNotice({ NoticeKind::Broken, aRequest, aEndpoint, 0 }, aNow);
}

void CrashBoard::OnAnswered(const RequestKey& aRequest)
{
  m_served.Add(aRequest);
  if (m_suspects.contains(aRequest)) {
    m_notices.Add({ NoticeKind::Answered, aRequest, 0, ++m_lastNumber });
    Drop(aRequest);
  }
}

void CrashBoard::OnReply(EndpointKey aEndpoint, base::TimePoint aSentAt)
{
  const auto found = m_ends.find(aEndpoint);
  if (found != m_ends.end() && aSentAt > found->second.m_heardAt) {
    m_notices.Add({ NoticeKind::Alive, {}, aEndpoint, ++m_lastNumber });
    MarkAlive(aEndpoint);
  }
}

bool CrashBoard::OnNotice(const CrashNotice& aNotice, base::TimePoint aNow)
{
  if (!m_notices.Add(aNotice)) {
    return false;
  }
  switch (aNotice.m_kind) {
    case NoticeKind::Broken:
      AddEnd(aNotice.m_request, aNotice.m_endpoint, aNow);
      break;
    case NoticeKind::Answered:
      m_served.Add(aNotice.m_request);
      Drop(aNotice.m_request);
      break;
    case NoticeKind::KnownGood:
      MarkGood(aNotice.m_request);
      break;
    case NoticeKind::Alive:
      MarkAlive(aNotice.m_endpoint);
      break;
    case NoticeKind::Tried:
      MarkTried(aNotice.m_request);
      break;
  }
  return true;
}

void CrashBoard::OnRecord(const RequestKey& aRequest,
                          const Suspicion& aRecorded,
                          base::TimePoint aNow)
{
  for (const EndpointKey end : aRecorded.m_ends) {
    OnNotice({ NoticeKind::Broken, aRequest, end, 0 }, aNow);
  }
  if (aRecorded.m_knownGood) {
    MarkGood(aRequest);
  }
  if (aRecorded.m_tried) {
    MarkTried(aRequest);
  }
}

bool CrashBoard::MayTry(const RequestKey& aRequest, base::TimePoint aNow) const
{
  return MayTryAfter(aRequest, m_options.m_tryAfter, aNow);
}

bool CrashBoard::MayTryAnywhere(const RequestKey& aRequest, base::TimePoint aNow) const
{
  return MayTryAfter(aRequest, m_options.m_tryAnywhereAfter, aNow);
}

bool CrashBoard::MayTryAfter(const RequestKey& aRequest,
                             base::Duration aRest,
                             base::TimePoint aNow) const
{
  const auto found = m_suspects.find(aRequest);
  return found != m_suspects.end() && Tells(found->second.m_known) &&
         !found->second.m_known.m_tried && aNow >= found->second.m_lastEndAt + aRest;
}

void CrashBoard::OnTried(const RequestKey& aRequest, base::TimePoint aNow)
{
  OnNotice({ NoticeKind::Tried, aRequest, 0, ++m_lastNumber }, aNow);
}

bool CrashBoard::Tells(const Suspicion& aKnown) const
{
  return aKnown.m_ends.size() >=
         (aKnown.m_knownGood ? m_options.m_endsThatTellOfGood : m_options.m_endsThatTell);
}

bool CrashBoard::IsQuarantined(const RequestKey& aRequest) const
{
  const auto found = m_suspects.find(aRequest);
  return found != m_suspects.end() && Tells(found->second.m_known);
}

bool CrashBoard::IsDown(EndpointKey aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_ends.find(aEndpoint);
  return found != m_ends.end() && aNow < found->second.m_heardAt + m_options.m_downFor;
}

std::optional<Suspicion> CrashBoard::Find(const RequestKey& aRequest) const
{
  const auto found = m_suspects.find(aRequest);
  return found == m_suspects.end() ? std::nullopt : std::optional(found->second.m_known);
}

std::vector<RequestKey> CrashBoard::WithEnds(std::size_t aLeast) const
{
  std::vector<RequestKey> requests;
  for (const auto& [request, suspect] : m_suspects) {
    if (suspect.m_known.m_ends.size() >= aLeast) {
      requests.push_back(request);
    }
  }
  return requests;
}

std::vector<RequestKey> CrashBoard::QuarantinedRequests() const
{
  std::vector<RequestKey> requests;
  for (const auto& [request, suspect] : m_suspects) {
    if (Tells(suspect.m_known)) {
      requests.push_back(request);
    }
  }
  return requests;
}

void CrashBoard::AddEnd(const RequestKey& aRequest, EndpointKey aEndpoint, base::TimePoint aNow)
{
  if (!m_suspects.contains(aRequest)) {
    MakeRoom();
  }
  Suspect& suspect = m_suspects[aRequest];
  std::vector<EndpointKey>& ends = suspect.m_known.m_ends;
  const auto place = std::lower_bound(ends.begin(), ends.end(), aEndpoint);
  const bool enough = ends.size() >= m_options.m_mostEnds;
  if (enough || (place != ends.end() && *place == aEndpoint)) {
    return;
  }
  ends.insert(place, aEndpoint);
  suspect.m_lastEndAt = aNow;
  if (!suspect.m_known.m_knownGood && m_served.Contains(aRequest)) {
    suspect.m_known.m_knownGood = true;
    m_notices.Add({ NoticeKind::KnownGood, aRequest, 0, 0 });
  }
  End& end = m_ends.try_emplace(aEndpoint, End{ {}, aNow, aNow }).first->second;
  end.m_requests.push_back(aRequest);
  end.m_heardAt = aNow;
}

void CrashBoard::MarkGood(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found != m_suspects.end()) {
    found->second.m_known.m_knownGood = true;
  }
}

void CrashBoard::MarkTried(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found != m_suspects.end()) {
    found->second.m_known.m_tried = true;
  }
}

void CrashBoard::MarkAlive(EndpointKey aEndpoint)
{
  const auto found = m_ends.find(aEndpoint);
  if (found == m_ends.end()) {
    return;
  }
  const std::vector<RequestKey> requests = found->second.m_requests;
  for (const RequestKey& request : requests) {
    TakeEnd(request, aEndpoint);
  }
}

void CrashBoard::TakeEnd(const RequestKey& aRequest, EndpointKey aEndpoint)
{
  if (const auto suspect = m_suspects.find(aRequest); suspect != m_suspects.end()) {
    std::erase(suspect->second.m_known.m_ends, aEndpoint);
    if (suspect->second.m_known.m_ends.empty()) {
      m_suspects.erase(suspect);
    }
  }
  if (const auto end = m_ends.find(aEndpoint); end != m_ends.end()) {
    std::erase(end->second.m_requests, aRequest);
    if (end->second.m_requests.empty()) {
      m_ends.erase(end);
    }
  }
}

void CrashBoard::Drop(const RequestKey& aRequest)
{
  const auto found = m_suspects.find(aRequest);
  if (found == m_suspects.end()) {
    return;
  }
  const std::vector<EndpointKey> ends = found->second.m_known.m_ends;
  for (const EndpointKey end : ends) {
    TakeEnd(aRequest, end);
  }
}

void CrashBoard::MakeRoom()
{
  if (m_suspects.size() < m_options.m_mostSuspects) {
    return;
  }
  // Those under which the fewest broke off, of these the ones that were seen longest ago; many at
  // once, since each time all are looked at.
  using Weighed = std::tuple<std::size_t, base::TimePoint, RequestKey>;
  std::vector<Weighed> all;
  all.reserve(m_suspects.size());
  for (const auto& [request, suspect] : m_suspects) {
    all.emplace_back(suspect.m_known.m_ends.size(), suspect.m_lastEndAt, request);
  }
  constexpr std::size_t kPart = 16;
  const std::size_t dropped = 1 + all.size() / kPart;
  const auto last = all.begin() + static_cast<std::ptrdiff_t>(dropped - 1);
  std::nth_element(all.begin(), last, all.end());
  for (std::size_t i = 0; i < dropped; ++i) {
    Drop(std::get<RequestKey>(all[i]));
  }
}

} // namespace ferrytray::quarantine
