#pragma once

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

namespace ferrytray::fleet {

struct Endpoint;

/// @brief The endpoints of one service that may get new requests, divided into groups by a hash of
/// their incarnations. Does no I/O.
///
/// A request considers the endpoints of one group, so that its cost does not grow with the number
/// of endpoints. Hosts with the same endpoints form the same groups, and an endpoint that is added
/// or removed changes only its own group, unless the number of groups changes.
class UsableEndpoints
{
public:
  /// Groups have this many endpoints at least, and twice as many on average at most.
  static constexpr std::size_t kMinGroupSize = 128;

  UsableEndpoints() = default;
  /// @param aAll in order of incarnation
  explicit UsableEndpoints(std::vector<const Endpoint*> aAll);

  [[nodiscard]] const std::vector<const Endpoint*>& All() const { return m_all; }
  /// @brief Returns the group of a request.
  /// @param aKey hash of what the request should share an endpoint's cache for, or random
  [[nodiscard]] const std::vector<const Endpoint*>& Group(std::uint64_t aKey) const
  {
    return m_groups.empty() ? m_all : m_groups[aKey % m_groups.size()];
  }
  [[nodiscard]] const std::map<std::string, std::size_t>& CountByZone() const
  {
    return m_countByZone;
  }

private:
  std::vector<const Endpoint*> m_all;
  std::vector<std::vector<const Endpoint*>> m_groups; ///< empty: all endpoints are one group
  std::map<std::string, std::size_t> m_countByZone;
};

} // namespace ferrytray::fleet
