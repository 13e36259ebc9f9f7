// Exchange of notices on single endpoints: reloads of weights, replaced incarnations, announced
// shutdowns, backoffs, request limits, and requests that crashed endpoints.
#include "ferrytray/peers/peer_exchange.hpp"

namespace ferrytray::peers {

void PeerExchange::PushReloads()
{
  const base::TimePoint now = base::MonotonicNow();
  if (m_stopped || !m_hostsKnown) {
    return;
  }
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    PollReader(reader, now);
  }
}

void PeerExchange::AddEndpointNotices(SyncRequest& aSyncRequest, base::TimePoint aNow) const
{
  aSyncRequest.m_replaced = m_replaced.Notices(aNow);
  aSyncRequest.m_announcedLeaving = m_announcedLeaving.Notices(aNow);
  aSyncRequest.m_backoffs = m_backoffs.Notices(aNow);
  aSyncRequest.m_limits = m_limits.Reports(aNow);
  aSyncRequest.m_brittle = m_brittle.Reports(aNow);
}

void PeerExchange::ApplyReloads(const ReloadNotices& aNotices, base::TimePoint aNow)
{
  std::size_t accepted = 0;
  for (const ReloadNotice& notice : aNotices) {
    accepted += m_reloads.OnNotice(notice, aNow) ? 1 : 0;
  }
  if (accepted > 0 && m_onReloads) {
    m_onReloads();
  }
}

void PeerExchange::ReportReplaced(std::string_view aIncarnation)
{
  m_replaced.OnNotice({ KeyOf(aIncarnation), 0 }, base::MonotonicNow());
}

void PeerExchange::ApplyReplacements(const IncarnationNotices& aNotices, base::TimePoint aNow)
{
  for (const IncarnationNotice& notice : aNotices) {
    if (m_replaced.OnNotice(notice, aNow) && m_onReplaced) {
      m_onReplaced(notice.m_incarnation);
    }
  }
}

void PeerExchange::ApplyLeaving(const IncarnationNotices& aNotices, base::TimePoint aNow)
{
  for (const IncarnationNotice& notice : aNotices) {
    if (m_announcedLeaving.OnNotice(notice, aNow) && m_onLeaving) {
      m_onLeaving(notice.m_incarnation);
    }
  }
}

void PeerExchange::ApplyBackoffs(const BackoffNotices& aNotices, base::TimePoint aNow)
{
  for (const BackoffNotice& notice : aNotices) {
    m_backoffs.OnNotice(notice, aNow);
  }
}

void PeerExchange::ApplyBrittleness(const limits::BrittleReports& aReports, base::TimePoint aNow)
{
  for (const limits::BrittleReport& report : aReports) {
    m_brittle.OnReport(report, aNow);
  }
}

void PeerExchange::ApplyLimits(const limits::LimitReports& aReports, base::TimePoint aNow)
{
  for (const limits::LimitReport& report : aReports) {
    m_limits.OnReport(report, aNow);
  }
}

void PeerExchange::PushCrashes()
{
  const base::TimePoint now = base::MonotonicNow();
  if (m_stopped || !m_hostsKnown) {
    return;
  }
  if (const std::optional<Peer> source = m_roster->Source(now); source && !m_isReader) {
    PollSource(*source, now);
    return;
  }
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    PollReader(reader, now);
  }
}

void PeerExchange::AddCrashNotices(const Peer& aPeer, SyncRequest& aSyncRequest)
{
  const CrashSyncState& known = m_crashSync[aPeer.m_name];
  aSyncRequest.m_crashes = m_crashes.Notices().Since(known.m_sentUpTo, kMaxCrashNotices);
  aSyncRequest.m_crashesFrom = known.m_receivedUpTo;
}

void PeerExchange::OnCrashNoticesAcknowledged(const Peer& aPeer,
                                              const SyncReply& aReply,
                                              quarantine::NoticeOffset aUpTo)
{
  CrashSyncState& known = m_crashSync[aPeer.m_name];
  const bool restarted = known.m_incarnation != 0 && known.m_incarnation != aReply.m_incarnation;
  known.m_incarnation = aReply.m_incarnation;
  // A restarted host has lost the notices that were sent to it before.
  known.m_sentUpTo = restarted ? 0 : aUpTo;
  known.m_receivedUpTo = aReply.m_crashesNext;
}

void PeerExchange::ApplyCrashes(const quarantine::CrashNotices& aNotices, base::TimePoint aNow)
{
  std::size_t accepted = 0;
  for (const quarantine::CrashNotice& notice : aNotices) {
    accepted += m_crashes.OnNotice(notice, aNow) ? 1 : 0;
  }
  if (accepted > 0 && m_onCrashes) {
    m_onCrashes();
  }
}

} // namespace ferrytray::peers
