#include "ferrytray/peers/exchange_counters.hpp"

namespace ferrytray::peers {

namespace {

template<typename Message>
std::uint64_t NoticesIn(const Message& aMessage)
{
  return aMessage.m_reloads.size() + aMessage.m_replaced.size() +
         aMessage.m_announcedLeaving.size() + aMessage.m_backoffs.size() +
         aMessage.m_crashes.size();
}

} // namespace

void ExchangeCounters::OnRequestReceived(const SyncRequest& aRequest, std::size_t aBytes)
{
  ++m_requestsReceived;
  m_bytesReceived += aBytes;
  m_loads += aRequest.m_loads.size();
  m_notices += NoticesIn(aRequest);
}

void ExchangeCounters::OnReplyReceived(const SyncReply& aReply, std::size_t aBytes)
{
  m_bytesReceived += aBytes;
  m_loads += aReply.m_loads.size();
  m_notices += NoticesIn(aReply);
  for (const store::TopicUpdate& update : aReply.m_topics) {
    m_records += update.m_records.size();
  }
  m_storeDeltas += aReply.m_stores.size();
  for (const cache::ContentsDelta& delta : aReply.m_stores) {
    m_storeChanges += delta.m_changes.size();
  }
}

} // namespace ferrytray::peers
