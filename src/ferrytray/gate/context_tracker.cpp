#include "ferrytray/gate/context_tracker.hpp"

namespace ferrytray::gate {

std::optional<base::Duration> ContextTracker::OnRequest(const std::string& aAccount,
                                                        const base::Digest128& aContext,
                                                        base::TimePoint aNow)
{
  const auto found = m_byContext.find(aContext);
  if (found != m_byContext.end()) {
    const base::Duration gap = aNow - found->second->m_lastSeen;
    found->second->m_lastSeen = aNow;
    m_recent.splice(m_recent.begin(), m_recent, found->second);
    m_gaps[aAccount].OnReturn(gap);
    return gap;
  }
  m_recent.push_front({ aContext, aAccount, aNow });
  m_byContext.emplace(aContext, m_recent.begin());
  if (m_recent.size() > m_capacity) {
    m_gaps[m_recent.back().m_account].OnNotReturned();
    m_byContext.erase(m_recent.back().m_context);
    m_recent.pop_back();
  }
  return std::nullopt;
}

} // namespace ferrytray::gate
