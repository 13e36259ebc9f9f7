#pragma once

#include <cstddef>     // for size_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::routing {

/// @brief Selects the homes of a key by rendezvous hashing: if a candidate is added or removed,
/// only its share of the keys moves.
/// @param aKey such as the digest of a context's first block
/// @param aNames the candidates
/// @param aCount number of homes
/// @return indexes into aNames, highest score first; fewer if there are fewer candidates
std::vector<std::size_t> RendezvousHomes(const base::Digest128& aKey,
                                         std::span<const std::string> aNames,
                                         std::size_t aCount);

} // namespace ferrytray::routing
