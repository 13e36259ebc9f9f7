#include "ferrytray/routing/endpoint_tracker.hpp"

#include <algorithm> // for clamp, min

namespace ferrytray::routing {

void EndpointTracker::OnSent(const std::string& aEndpoint, Work aWork)
{
  Entry& entry = m_entries[aEndpoint];
  ++entry.m_openRequests;
  entry.m_work += aWork;
}

void EndpointTracker::OnEnded(const std::string& aEndpoint, Work aWork)
{
  const auto found = m_entries.find(aEndpoint);
  if (found != m_entries.end() && found->second.m_openRequests > 0) {
    --found->second.m_openRequests;
    found->second.m_work -= std::min(found->second.m_work, aWork);
  }
}

void EndpointTracker::OnReply(const std::string& aEndpoint, base::TimePoint aNow)
{
  const auto found = m_entries.find(aEndpoint);
  if (found != m_entries.end()) {
    found->second.m_consecutiveFailures = 0;
    found->second.m_repliedAt = aNow;
  }
}

void EndpointTracker::OnUnreachable(const std::string& aEndpoint, base::TimePoint aNow)
{
  Entry& entry = m_entries[aEndpoint];
  constexpr std::uint32_t kMaxDoublings = 3;
  const auto factor = std::int64_t{ 1 } << std::min(entry.m_consecutiveFailures, kMaxDoublings);
  entry.m_backoffUntil =
    aNow + std::min(m_options.m_initialBackoff * factor, m_options.m_maxBackoff);
  ++entry.m_consecutiveFailures;
}

void EndpointTracker::OnFull(const std::string& aEndpoint, base::TimePoint aNow)
{
  m_entries[aEndpoint].m_backoffUntil = aNow + m_options.m_fullBackoff;
}

void EndpointTracker::OnIdleTimeout(const std::string& aEndpoint, base::Duration aTimeout)
{
  m_entries[aEndpoint].m_idleTimeout = aTimeout;
}

base::Duration EndpointTracker::MaxIdle(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end() || !found->second.m_idleTimeout) {
    return m_options.m_maxIdle;
  }
  // The HTTP client measures idle times in whole seconds.
  constexpr base::Duration kMinIdle = std::chrono::seconds(1);
  const base::Duration safe = *found->second.m_idleTimeout - m_options.m_idleMargin;
  return std::clamp(safe, kMinIdle, m_options.m_maxIdle);
}

void EndpointTracker::Forget(const std::string& aEndpoint)
{
  m_entries.erase(aEndpoint);
}

void EndpointTracker::ForgetFailures()
{
  for (auto& [endpoint, entry] : m_entries) {
    entry.m_consecutiveFailures = 0;
    entry.m_backoffUntil.reset();
  }
}

std::uint32_t EndpointTracker::OpenRequests(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? 0 : found->second.m_openRequests;
}

Work EndpointTracker::WorkOfOpenRequests(const std::string& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint);
  return found == m_entries.end() ? 0 : found->second.m_work;
}

bool EndpointTracker::IsAvoided(const std::string& aEndpoint, base::TimePoint aNow) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && found->second.m_backoffUntil &&
         aNow < *found->second.m_backoffUntil;
}

bool EndpointTracker::AnsweredSince(const std::string& aEndpoint, base::TimePoint aThen) const
{
  const auto found = m_entries.find(aEndpoint);
  return found != m_entries.end() && found->second.m_repliedAt &&
         *found->second.m_repliedAt >= aThen;
}

} // namespace ferrytray::routing
