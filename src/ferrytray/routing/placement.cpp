#include "ferrytray/routing/placement.hpp"

#include <algorithm> // for min_element
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
  if (!aOf[usable[homes.front()]].m_full && workAt(homes.front()) <= most) {
    return Placement{ usable[homes.front()], usable[homes.front()] };
  }
  const auto lessBusy = [&](std::size_t aLeft, std::size_t aRight) {
    return workAt(aLeft) < workAt(aRight);
  };
  const std::size_t next = *std::min_element(homes.begin(), homes.end(), lessBusy);
  return Placement{ usable[next], usable[homes.front()] };
}

} // namespace ferrytray::routing
