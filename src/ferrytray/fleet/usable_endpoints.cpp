#include "ferrytray/fleet/usable_endpoints.hpp"

#include <bit>     // for bit_floor
#include <utility> // for move

#include "ferrytray/base/digest.hpp"     // for Hash64
#include "ferrytray/fleet/directory.hpp" // for Endpoint

namespace ferrytray::fleet {

UsableEndpoints::UsableEndpoints(std::vector<const Endpoint*> aAll)
  : m_all(std::move(aAll))
{
  for (const Endpoint* endpoint : m_all) {
    ++m_countByZone[endpoint->m_zone];
  }
  // A power of two, so that the number of groups rarely changes.
  const std::size_t groups = std::bit_floor(m_all.size() / kMinGroupSize);
  if (groups <= 1) {
    return;
  }
  m_groups.resize(groups);
  for (const Endpoint* endpoint : m_all) {
    m_groups[base::Hash64("group", endpoint->m_incarnation) % groups].push_back(endpoint);
  }
}

} // namespace ferrytray::fleet
