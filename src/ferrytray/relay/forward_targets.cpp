#include "ferrytray/relay/forward_targets.hpp"

#include <algorithm> // for find_if, min
#include <array>     // for array
#include <vector>    // for vector

namespace ferrytray::relay {

namespace {

// Groups of hosts, the preferred one first.
constexpr std::size_t kPreferredZone = 0;
constexpr std::size_t kAnyZone = 1;
constexpr std::size_t kZoneInBackoff = 2;
constexpr std::size_t kPreferences = 3;

} // namespace

bool ForwardTargets::IsHostInBackoff(const std::string& aHost, base::TimePoint aNow) const
{
  const auto found = m_states.find(aHost);
  return found != m_states.end() && aNow < found->second.m_backoff.m_until;
}

bool ForwardTargets::IsZoneInBackoff(const std::string& aZone, base::TimePoint aNow) const
{
  const auto found = m_zones.find(aZone);
  return found != m_zones.end() && aNow < found->second.m_until;
}

bool ForwardTargets::IsPreferred(const std::string& aZone,
                                 const std::string& aOwnZone,
                                 base::TimePoint aNow) const
{
  const auto overload = m_overloadedZones.find(aZone);
  return aZone == aOwnZone &&
         (overload == m_overloadedZones.end() || aNow >= overload->second.m_until);
}

std::uint32_t ForwardTargets::OpenRequests(const std::string& aHost) const
{
  const auto found = m_states.find(aHost);
  return found == m_states.end() ? 0 : found->second.m_open;
}

std::optional<peers::Peer> ForwardTargets::Pick(std::span<const peers::Peer> aHosts,
                                                const std::string& aZone,
                                                const std::set<std::string>& aExcluded,
                                                std::mt19937_64& aRandom,
                                                base::TimePoint aNow) const
{
  std::array<std::vector<const peers::Peer*>, kPreferences> hosts;
  for (const peers::Peer& host : aHosts) {
    if (aExcluded.contains(host.m_name) || IsHostInBackoff(host.m_name, aNow)) {
      continue;
    }
    const std::size_t preference = IsZoneInBackoff(host.m_zone, aNow)      ? kZoneInBackoff
                                   : IsPreferred(host.m_zone, aZone, aNow) ? kPreferredZone
                                                                           : kAnyZone;
    hosts.at(preference).push_back(&host);
  }
  const auto candidates = std::find_if(
    hosts.begin(), hosts.end(), [](const auto& aCandidates) { return !aCandidates.empty(); });
  if (candidates == hosts.end()) {
    return std::nullopt;
  }
  const peers::Peer* first = (*candidates)[aRandom() % candidates->size()];
  const peers::Peer* second = (*candidates)[aRandom() % candidates->size()];
  return OpenRequests(second->m_name) < OpenRequests(first->m_name) ? *second : *first;
}

void ForwardTargets::OnSent(const peers::Peer& aHost)
{
  State& state = m_states[aHost.m_name];
  state.m_zone = aHost.m_zone;
  ++state.m_open;
}

void ForwardTargets::OnEnded(const std::string& aHost)
{
  State& state = m_states[aHost];
  state.m_open -= std::min(state.m_open, 1U);
}

void ForwardTargets::Extend(Backoff& aBackoff, const BackoffLimits& aLimits, base::TimePoint aNow)
{
  if (aNow < aBackoff.m_until) {
    return; // requests that were sent together fail together
  }
  ++aBackoff.m_failures;
  if (aBackoff.m_failures > aLimits.m_free) {
    constexpr std::uint32_t kMaxDoublings = 8;
    const auto factor = std::int64_t{ 1 }
                        << std::min(aBackoff.m_failures - aLimits.m_free - 1, kMaxDoublings);
    aBackoff.m_until = aNow + std::min(aLimits.m_min * factor, aLimits.m_max);
  }
}

void ForwardTargets::OnOverloaded(const std::string& aHost, base::TimePoint aNow)
{
  Backoff& overload = m_overloadedZones[m_states[aHost].m_zone];
  if (aNow >= overload.m_until + m_options.m_noPreferenceMax) {
    overload = {}; // an earlier overload is over
  }
  Extend(overload, { 0, m_options.m_noPreferenceMin, m_options.m_noPreferenceMax }, aNow);
}

void ForwardTargets::OnFailed(const std::string& aHost, base::TimePoint aNow)
{
  State& state = m_states[aHost];
  if (IsHostInBackoff(aHost, aNow)) {
    return;
  }
  Extend(state.m_backoff, { 0, m_options.m_backoffMin, m_options.m_backoffMax }, aNow);
  Extend(m_zones[state.m_zone],
         { m_options.m_zoneFailures - 1, m_options.m_backoffMin, m_options.m_backoffMax },
         aNow);
}

void ForwardTargets::OnServed(const std::string& aHost)
{
  State& state = m_states[aHost];
  state.m_backoff = {};
  m_zones.erase(state.m_zone);
}

std::optional<base::TimePoint> ForwardTargets::FirstBackoffEnd(base::TimePoint aNow) const
{
  std::optional<base::TimePoint> first;
  for (const auto& [host, state] : m_states) {
    if (aNow < state.m_backoff.m_until) {
      first = std::min(first.value_or(state.m_backoff.m_until), state.m_backoff.m_until);
    }
  }
  return first;
}

} // namespace ferrytray::relay
