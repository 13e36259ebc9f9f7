#include "ferrytray/routing/endpoint_board.hpp"

#include <algorithm> // for clamp, min, min_element
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"        // for HashWithSeed
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::routing {

namespace {

std::vector<std::size_t> NotAvoided(std::span<const PlacementCandidate> aOf)
{
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < aOf.size(); ++i) {
    if (!aOf[i].m_avoided) {
      usable.push_back(i);
    }
  }
  // When every candidate was missed lately, the guess is worth less than a try.
  for (std::size_t i = 0; usable.empty() && i < aOf.size(); ++i) {
    usable.push_back(i);
  }
  return usable;
}

} // namespace

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

void EndpointBoard::OnReply(const std::string& aEndpoint)
{
  const auto found = m_entries.find(aEndpoint);
  if (found != m_entries.end()) {
    found->second.m_misses = 0;
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

std::optional<std::size_t> PlaceAnywhere(std::span<const PlacementCandidate> aOf,
                                         std::uint64_t aRandom)
{
  const std::vector<std::size_t> usable = NotAvoided(aOf);
  if (usable.empty()) {
    return std::nullopt;
  }
  constexpr unsigned kHalf = 32;
  const std::size_t first = usable[(aRandom & 0xffffffffU) % usable.size()];
  const std::size_t second = usable[(aRandom >> kHalf) % usable.size()];
  return aOf[second].m_work < aOf[first].m_work ? second : first;
}

std::optional<Placement> PlaceAtHome(std::span<const PlacementCandidate> aOf,
                                     const std::string& aKey,
                                     const PlacementOptions& aOptions)
{
  const std::vector<std::size_t> usable = NotAvoided(aOf);
  if (usable.empty()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  double work = 0;
  for (const std::size_t index : usable) {
    names.push_back(aOf[index].m_name);
    work += aOf[index].m_work;
  }
  const double mean = work / static_cast<double>(usable.size());
  const double most = aOptions.m_overBase + aOptions.m_overMean * mean;
  const base::Digest128 key = base::HashWithSeed({}, aKey);
  const std::vector<std::size_t> homes = RendezvousHomes(key, names, aOptions.m_homes);
  const auto workAt = [&](std::size_t aHome) { return aOf[usable[aHome]].m_work; };
  if (workAt(homes.front()) <= most) {
    return Placement{ usable[homes.front()], usable[homes.front()] };
  }
  const std::size_t least =
    *std::min_element(homes.begin(), homes.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return workAt(aLeft) < workAt(aRight);
    });
  return Placement{ usable[least], usable[homes.front()] };
}

} // namespace ferrytray::routing
