// Callers that read a stream slowly: the endpoint has to wait, and a caller that stops reading is
// disconnected.
#include "ferrytray/relay/exchange.hpp"

#include <algorithm> // for clamp, max

namespace ferrytray::relay {

std::size_t Exchange::MaxUnreadBytes() const
{
  const UnreadLimits& limits = m_core.m_options.m_unread;
  const std::size_t share = limits.m_allReplies / std::max<std::size_t>(m_core.m_openExchanges, 1);
  return std::clamp(share, limits.m_minPerReply, limits.m_maxPerReply);
}

void Exchange::PauseIfUnread()
{
  if (m_readingPaused || !m_attempt || m_reply->PendingBytes() <= MaxUnreadBytes()) {
    return;
  }
  m_readingPaused = true;
  m_core.m_client.PauseReading(m_attempt->m_callId);
  m_core.m_metrics.Count("replies_paused_total");
  RestartUnreadTimer();
}

void Exchange::RestartUnreadTimer()
{
  m_unreadTimer =
    m_core.m_loop.After(m_core.m_options.m_unread.m_maxTime, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->m_done) {
        self->m_core.m_metrics.Count("replies_unread_total");
        self->CancelAttempt();
        self->AbortReply("the caller does not read its reply");
      }
    });
}

void Exchange::OnReplyWritten()
{
  if (!m_readingPaused || m_done) {
    return;
  }
  if (m_reply->PendingBytes() > MaxUnreadBytes() / 2) {
    RestartUnreadTimer();
    return;
  }
  m_readingPaused = false;
  m_unreadTimer.reset();
  if (m_attempt) {
    m_core.m_client.ResumeReading(m_attempt->m_callId);
  }
}

} // namespace ferrytray::relay
