#include "ferrytray/limits/fair_queue.hpp"

#include <algorithm> // for max

namespace ferrytray::limits {

bool FairQueue::Push(const std::string& aAccount, double aWeight, const QueuedRequest& aRequest)
{
  if (m_byStart.size() >= m_capacity || m_byId.contains(aRequest.m_id)) {
    return false;
  }
  double& lastFinish = m_lastFinish[aAccount];
  const double start = std::max(m_virtualTime, lastFinish);
  lastFinish = start + aRequest.m_cost / aWeight;
  const Key key{ start, ++m_sequence };
  m_byStart.emplace(key, Entry{ aAccount, start, aRequest });
  m_byId.emplace(aRequest.m_id, key);
  m_queuedCost += aRequest.m_cost;
  return true;
}

std::optional<QueuedRequest> FairQueue::Pop()
{
  if (m_byStart.empty()) {
    return std::nullopt;
  }
  const auto first = m_byStart.begin();
  m_virtualTime = std::max(m_virtualTime, first->second.m_start);
  const QueuedRequest request = first->second.m_request;
  Erase(first);
  return request;
}

bool FairQueue::Remove(std::uint64_t aId)
{
  const auto found = m_byId.find(aId);
  if (found == m_byId.end()) {
    return false;
  }
  Erase(m_byStart.find(found->second));
  return true;
}

void FairQueue::Erase(std::map<Key, Entry>::iterator aEntry)
{
  m_queuedCost -= aEntry->second.m_request.m_cost;
  m_byId.erase(aEntry->second.m_request.m_id);
  m_byStart.erase(aEntry);
  if (m_byStart.empty()) {
    // With an empty queue no account is owed service; clearing bounds the table of accounts.
    m_lastFinish.clear();
    m_virtualTime = 0;
    m_queuedCost = 0;
  }
}

} // namespace ferrytray::limits
