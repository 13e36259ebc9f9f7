#include "ferrytray/routing/endpoint_board.hpp"

#include <algorithm> // for clamp, min

namespace ferrytray::routing {

void EndpointBoard::OnSent(const std::string& aEndpoint, Work aWork)
{
  Entry& entry = m_entries[aEndpoint];
  ++entry.m_open;
  entry.m_work += aWork;
}

void EndpointBoard::OnEnded(const std::string& aEndpoint, Work aWork)
{
  const auto found = m_entries.find(aEndpoint);
  if (found != m_entries.end() && found->second.m_open > 0) {
    --found->second.m_open;
    found->second.m_work -= std::min(found->second.m_work, aWork);
  }
}

void EndpointBoard::OnReply(const std::string& aEndpoint, base::TimePoint aNow)
{
  const auto found = m_entries.find(aEndpoint);
  if (found != m_entries.end()) {
    found->second.m_misses = 0;
    found->second.m_repliedAt = aNow;
  }
}

void EndpointBoard::OnUnreachable(const std::string& aEndpoint, base::TimePoint aNow)
{
  Entry& entry = m_entries[aEndpoint];
  constexpr std::uint32_t kMostDoublings = 3;
  const auto factor = std::int64_t{ 1 } << std::min(entry.m_misses, kMostDoublings);
  entry.m_avoidUntil = aNow + std::min(m_options.m_avoidFirst * factor, m_options.m_avoidMost);
  ++entry.m_misses;
}

void EndpointBoard::OnFull(const std::string& aEndpoint, base::TimePoint aNow)
{
  m_entries[aEndpoint].m_avoidUntil = aNow + m_options.m_avoidFull;
}

void EndpointBoard::OnIdleTimeout(const std::string& aEndpoint, base::Duration aTimeout)
{
  m_entries[aEndpoint].m_idleTimeout = aTimeout;
}

base::Duration EndpointBoard::MaxIdle(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end() || !found->second.m_idleTimeout) {
    return m_options.m_maxIdle;
  }
  // Whole seconds are the finest that the client can tell apart.
  constexpr base::Duration kLeast = std::chrono::seconds(1);
  const base::Duration safe = *found->second.m_idleTimeout - m_options.m_idleMargin;
  return std::clamp(safe, kLeast, m_options.m_maxIdle);
}

void EndpointBoard::Forget(const std::string& aEndpoint)
{
  m_entries.erase(aEndpoint);
}

std::uint32_t EndpointBoard::Open(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? 0 : found->second.m_open;
}

Work EndpointBoard::OpenWork(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? 0 : found->second.m_work;
}

bool EndpointBoard::Avoided(const std::string& aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && found->second.m_avoidUntil &&
         aNow < *found->second.m_avoidUntil;
}

bool EndpointBoard::AnsweredSince(const std::string& aEndpoint, base::TimePoint aThen) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && found->second.m_repliedAt &&
         *found->second.m_repliedAt >= aThen;
}

} // namespace ferrytray::routing
