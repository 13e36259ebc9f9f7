#include "ferrytray/routing/rendezvous.hpp"

#include <algorithm> // for min, partial_sort
#include <utility>   // for pair

namespace ferrytray::routing {

std::vector<std::size_t> RendezvousHomes(const base::Digest128& aKey,
                                         std::span<const std::string> aNames,
                                         std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> scored;
  scored.reserve(aNames.size());
  for (std::size_t i = 0; i < aNames.size(); ++i) {
    scored.emplace_back(base::HashWithSeed(aKey, aNames[i]).m_low, i);
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    std::greater<>());
  std::vector<std::size_t> homes;
  homes.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    homes.push_back(scored[i].second);
  }
  return homes;
}

} // namespace ferrytray::routing
