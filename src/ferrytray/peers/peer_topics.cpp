// Relaying of the log's records between hosts, and the fallback reader of a host that cannot reach
// the log.
#include "ferrytray/peers/peer_exchange.hpp"

#include <algorithm> // for any_of, find_if
#include <utility>   // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

void PeerExchange::PollFallback(base::TimePoint aNow)
{
  const bool logLost = std::any_of(
    m_topics.begin(), m_topics.end(), [](const auto& aTopic) { return aTopic->IsUnreachable(); });
  const std::string& source = m_isReader ? std::string() : m_source;
  const auto reader = m_fallback.Pick(m_roster->OtherReaders(aNow), source, logLost, aNow);
  if (!reader) {
    return;
  }
  SyncRequest syncRequest;
  syncRequest.m_topics = TopicCursors();
  syncRequest.m_scope = LoadScope::Summary;
  if (m_isReader) {
    syncRequest.m_loads = Sum(m_loads.OwnScopeTotals(), m_ownLoads());
  }
  SendSyncRequest(*reader, syncRequest, aNow);
}

void PeerExchange::OnFallbackReply(const Peer& aPeer,
                                   base::TimePoint aAskedAt,
                                   const SyncReply& aReply)
{
  const bool wasActive = m_fallback.IsActive();
  bool usable = false;
  for (const store::TopicUpdate& update : aReply.m_topics) {
    for (const auto& topic : m_topics) {
      if (topic->Topic() == update.m_topic) {
        topic->OnContactReport(update, aAskedAt);
      }
    }
    if (store::TopicFollower* topic = FindUsableTopic(update, aAskedAt)) {
      // Topics that this host reads from the log need no fallback.
      const bool wanted = topic->IsUnreachable() || topic->IsRelayed();
      usable = usable || wanted;
      if (wanted) {
        topic->OnUpdate(update, aAskedAt);
      }
    }
  }
  m_fallback.OnAnswer(aPeer.m_name, usable);
  if (usable && !wasActive) {
    telemetry::LogLine("asks_host")
      .Add("host", aPeer.m_name)
      .Add("address", aPeer.m_address)
      .Add("why", "the log is unreachable from this host");
  }
}

std::vector<store::TopicCursor> PeerExchange::TopicCursors() const
{
  std::vector<store::TopicCursor> cursors;
  cursors.reserve(m_topics.size());
  for (const auto& topic : m_topics) {
    cursors.push_back(topic->Cursor());
  }
  return cursors;
}

store::TopicFollower* PeerExchange::FindUsableTopic(const store::TopicUpdate& aUpdate,
                                                    base::TimePoint aAskedAt) const
{
  const auto found = std::find_if(m_topics.begin(), m_topics.end(), [&](const auto& aTopic) {
    return aTopic->Topic() == aUpdate.m_topic;
  });
  const bool usable =
    found != m_topics.end() && (*found)->IsUsable(aUpdate, aAskedAt, base::MonotonicNow());
  return usable ? found->get() : nullptr;
}

std::vector<store::TopicUpdate> PeerExchange::CollectTopicUpdates(
  const std::vector<store::TopicCursor>& aCursors,
  base::TimePoint aNow) const
{
  std::vector<store::TopicUpdate> all;
  for (const store::TopicCursor& cursor : aCursors) {
    for (const auto& topic : m_topics) {
      if (topic->Topic() != cursor.m_topic) {
        continue;
      }
      if (auto update = topic->UpdateSince(cursor, aNow)) {
        all.push_back(std::move(*update));
      }
    }
  }
  return all;
}

void PeerExchange::ApplyTopicUpdates(const std::vector<store::TopicUpdate>& aUpdates,
                                     base::TimePoint aAskedAt) const
{
  for (const store::TopicUpdate& update : aUpdates) {
    for (const auto& topic : m_topics) {
      // An unusable update from the followed reader must not end what a fallback reader relays.
      const bool accepted = !m_fallback.IsActive() || FindUsableTopic(update, aAskedAt) != nullptr;
      if (topic->Topic() == update.m_topic && accepted) {
        topic->OnUpdate(update, aAskedAt);
      }
    }
  }
}

void PeerExchange::EndTopicUpdates() const
{
  for (const auto& topic : m_topics) {
    topic->OnRelayEnded();
  }
}

} // namespace ferrytray::peers
