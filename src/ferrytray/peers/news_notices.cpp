// What hosts tell each other of single endpoints: loads of weights, lives that are over, and
// requests under which they ended.
#include "ferrytray/peers/news_exchange.hpp"

namespace ferrytray::peers {

void NewsExchange::TellReloads()
{
  const base::TimePoint now = base::MonotonicNow();
  if (m_stopped || !m_looked) {
    return;
  }
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    AskReader(reader, now);
  }
}

void NewsExchange::TakeReloads(const ReloadNotices& aNotices, base::TimePoint aNow)
{
  std::size_t taken = 0;
  for (const ReloadNotice& notice : aNotices) {
    taken += m_reloads.OnNotice(notice, aNow) ? 1 : 0;
  }
  if (taken > 0 && m_onReloads) {
    m_onReloads();
  }
}

void NewsExchange::TellReplaced(std::string_view aIncarnation)
{
  m_replaced.OnNotice({ KeyOf(aIncarnation), 0 }, base::MonotonicNow());
}

void NewsExchange::TakeReplaced(const ReplacedNotices& aNotices, base::TimePoint aNow)
{
  for (const ReplacedNotice& notice : aNotices) {
    if (m_replaced.OnNotice(notice, aNow) && m_onReplaced) {
      m_onReplaced(notice.m_incarnation);
    }
  }
}

void NewsExchange::TellCrashes()
{
  const base::TimePoint now = base::MonotonicNow();
  if (m_stopped || !m_looked) {
    return;
  }
  if (const std::optional<Peer> source = m_roster->Source(now); source && !m_direct) {
    AskSource(*source, now);
    return;
  }
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    AskReader(reader, now);
  }
}

void NewsExchange::AddCrashes(const Peer& aPeer, NewsRequest& aQuestion)
{
  const CrashesKnown& known = m_crashesKnown[aPeer.m_name];
  aQuestion.m_crashes = m_crashes.Notices().Since(known.m_told, kMostCrashNotices);
  aQuestion.m_crashesFrom = known.m_heard;
}

void NewsExchange::OnCrashesTold(const Peer& aPeer,
                                 const NewsReply& aReply,
                                 quarantine::NoticeOffset aUpTo)
{
  CrashesKnown& known = m_crashesKnown[aPeer.m_name];
  const bool another = known.m_incarnation != 0 && known.m_incarnation != aReply.m_incarnation;
  known.m_incarnation = aReply.m_incarnation;
  // A host that has started anew knows nothing of what its former life was told.
  known.m_told = another ? 0 : aUpTo;
  known.m_heard = aReply.m_crashesNext;
}

void NewsExchange::TakeCrashes(const quarantine::CrashNotices& aNotices, base::TimePoint aNow)
{
  std::size_t taken = 0;
  for (const quarantine::CrashNotice& notice : aNotices) {
    taken += m_crashes.OnNotice(notice, aNow) ? 1 : 0;
  }
  if (taken > 0 && m_onCrashes) {
    m_onCrashes();
  }
}

} // namespace ferrytray::peers
