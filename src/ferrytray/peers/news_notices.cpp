// What hosts tell each other of single endpoints: loads of weights, and lives that are over.
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

} // namespace ferrytray::peers
