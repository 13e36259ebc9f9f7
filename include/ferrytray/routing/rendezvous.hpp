#pragma once

#include <cstddef>     // for size_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::routing {

/// @brief Picks homes by rendezvous hashing: when a host comes or goes, only its share moves.
/// @param aKey what is placed, such as a context's first block
/// @param aNames the candidates
/// @param aCount how many homes
/// @return indexes into aNames, best first; fewer when there are fewer names
std::vector<std::size_t> RendezvousHomes(const base::Digest128& aKey,
                                         std::span<const std::string> aNames,
                                         std::size_t aCount);

} // namespace ferrytray::routing
