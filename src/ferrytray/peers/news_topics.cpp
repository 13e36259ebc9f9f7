// The log's records through other hosts: what is passed on, and whom a host asks that lost the log.
#include "ferrytray/peers/news_exchange.hpp"

#include <algorithm> // for any_of, find_if
#include <utility>   // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

void NewsExchange::AskFallback(base::TimePoint aNow)
{
  const bool lost = std::any_of(
    m_topics.begin(), m_topics.end(), [](const auto& aTopic) { return aTopic->IsAway(); });
  const std::string& source = m_direct ? std::string() : m_source;
  const auto reader = m_fallback.Pick(m_roster->OtherReaders(aNow), source, lost, aNow);
  if (!reader) {
    return;
  }
  NewsRequest question;
  question.m_topics = TopicCursors();
  question.m_lostLog = true;
  question.m_scope = LoadScope::Summary;
  if (m_direct) {
    question.m_loads = Sum(m_loads.OwnReports(), m_ownLoads());
  }
  Ask(*reader, question, aNow);
}

void NewsExchange::OnFallbackReply(const Peer& aPeer,
                                   base::TimePoint aAskedAt,
                                   const NewsReply& aReply)
{
  const bool helped = m_fallback.Helped();
  bool usable = false;
  for (const store::TopicNews& news : aReply.m_topics) {
    if (store::TopicFollower* topic = TopicFor(news, aAskedAt)) {
      // What this host reads itself needs no help.
      const bool wanted = topic->IsAway() || topic->IsByNews();
      usable = usable || wanted;
      if (wanted) {
        topic->OnNews(news, aAskedAt);
      }
    }
  }
  m_fallback.OnAnswer(aPeer.m_name, usable);
  if (usable && !helped) {
    telemetry::LogLine("asks_host")
      .Add("host", aPeer.m_name)
      .Add("address", aPeer.m_address)
      .Add("why", "the log does not answer here");
  }
}

std::vector<store::TopicCursor> NewsExchange::TopicCursors() const
{
  std::vector<store::TopicCursor> cursors;
  cursors.reserve(m_topics.size());
  for (const auto& topic : m_topics) {
    cursors.push_back(topic->Cursor());
  }
  return cursors;
}

store::TopicFollower* NewsExchange::TopicFor(const store::TopicNews& aNews,
                                             base::TimePoint aAskedAt) const
{
  const auto found = std::find_if(m_topics.begin(), m_topics.end(), [&](const auto& aTopic) {
    return aTopic->Topic() == aNews.m_topic;
  });
  const bool usable =
    found != m_topics.end() && (*found)->IsUsable(aNews, aAskedAt, base::MonotonicNow());
  return usable ? found->get() : nullptr;
}

std::vector<store::TopicNews> NewsExchange::NewsOfTopics(
  const std::vector<store::TopicCursor>& aCursors,
  store::PassOn aMost,
  base::TimePoint aNow) const
{
  std::vector<store::TopicNews> all;
  for (const store::TopicCursor& cursor : aCursors) {
    for (const auto& topic : m_topics) {
      if (topic->Topic() != cursor.m_topic) {
        continue;
      }
      if (auto news = topic->NewsSince(cursor, aNow, aMost)) {
        all.push_back(std::move(*news));
      }
    }
  }
  return all;
}

void NewsExchange::TakeNewsOfTopics(const std::vector<store::TopicNews>& aNews,
                                    base::TimePoint aAskedAt) const
{
  for (const store::TopicNews& news : aNews) {
    for (const auto& topic : m_topics) {
      // A reader that lost the log does not end what another one passes on.
      const bool ofUse = !m_fallback.Helped() || TopicFor(news, aAskedAt) != nullptr;
      if (topic->Topic() == news.m_topic && ofUse) {
        topic->OnNews(news, aAskedAt);
      }
    }
  }
}

void NewsExchange::EndNewsOfTopics() const
{
  for (const auto& topic : m_topics) {
    topic->OnNewsEnded();
  }
}

} // namespace ferrytray::peers
