#pragma once

#include <cstdint> // for uint64_t, uint8_t
#include <vector>  // for vector

namespace ferrytray::quarantine {

/// @brief Hash of an endpoint's incarnation.
using EndpointKey = std::uint64_t;

/// @brief Evidence against content: the endpoints that crashed while they ran a request with it.
struct Suspicion
{
  std::vector<EndpointKey> m_crashedEndpoints; ///< sorted, without duplicates
  bool m_knownGood = false;                    ///< answered completely before its first crash
  std::uint8_t m_probes = 0;                   ///< sends since it was quarantined
  bool operator==(const Suspicion&) const = default;
};

} // namespace ferrytray::quarantine
