#include "ferrytray/routing/placement.hpp"

#include <algorithm> // for min_element
#include <vector>    // for vector

#include "ferrytray/base/digest.hpp"        // for HashWithSeed
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::routing {

namespace {

std::vector<std::size_t> NotAvoided(std::span<const PlacementCandidate> aCandidates)
{
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!aCandidates[i].m_avoided) {
      usable.push_back(i);
    }
  }
  // If all candidates are avoided, trying one is better than refusing the request.
  for (std::size_t i = 0; usable.empty() && i < aCandidates.size(); ++i) {
    usable.push_back(i);
  }
  return usable;
}

} // namespace

std::optional<std::size_t> PlaceByTwoChoices(std::span<const PlacementCandidate> aCandidates,
                                             std::uint64_t aRandom)
{
  const std::vector<std::size_t> usable = NotAvoided(aCandidates);
  if (usable.empty()) {
    return std::nullopt;
  }
  constexpr unsigned kHalf = 32;
  const std::size_t first = usable[(aRandom & 0xffffffffU) % usable.size()];
  const std::size_t second = usable[(aRandom >> kHalf) % usable.size()];
  return aCandidates[second].m_work < aCandidates[first].m_work ? second : first;
}

std::optional<Placement> PlaceAtHome(std::span<const PlacementCandidate> aCandidates,
                                     const std::string& aKey,
                                     const PlacementOptions& aOptions)
{
  const std::vector<std::size_t> usable = NotAvoided(aCandidates);
  if (usable.empty()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  double work = 0;
  for (const std::size_t index : usable) {
    names.push_back(aCandidates[index].m_name);
    work += aCandidates[index].m_work;
  }
  const double mean = work / static_cast<double>(usable.size());
  const double limit = aOptions.m_overloadBase + aOptions.m_overloadMeanFactor * mean;
  const base::Digest128 key = base::HashWithSeed({}, aKey);
  const std::vector<std::size_t> homes = RendezvousHomes(key, names, aOptions.m_homeCount);
  const auto workAt = [&](std::size_t aHome) { return aCandidates[usable[aHome]].m_work; };
  if (!aCandidates[usable[homes.front()]].m_full && workAt(homes.front()) <= limit) {
    return Placement{ usable[homes.front()], usable[homes.front()] };
  }
  const auto hasLessWork = [&](std::size_t aLeft, std::size_t aRight) {
    return workAt(aLeft) < workAt(aRight);
  };
  const std::size_t next = *std::min_element(homes.begin(), homes.end(), hasLessWork);
  return Placement{ usable[next], usable[homes.front()] };
}

} // namespace ferrytray::routing
