#pragma once

#include <cstdint> // for uint8_t, uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/error.hpp" // for Result

namespace ferrytray::wire {

/// @brief What stands behind an address of the platform's host list.
enum class Role : std::uint8_t
{
  Entry, ///< a host of this system
  Engine,
  Service,
  Store,
};

/// @brief One row of the platform's host list.
struct ListedHost
{
  std::string m_name;
  Role m_role = Role::Engine;
  std::string m_pool; ///< the fleet or service that it belongs to; empty for stores
  std::string m_zone;
  std::string m_address;     ///< IP:PORT; for an entry host its keeper's datagrams
  std::string m_incarnation; ///< changes when another process takes the address
  bool m_leaving = false;
};

/// @brief Reads the platform's host list. @return PlatformMalformed for anything else
base::Result<std::vector<ListedHost>> ParseHostList(const std::string& aJson);

/// @brief An engine's own report of its load.
struct LoadReport
{
  std::string m_incarnation;
  std::string m_version; ///< weight version it runs; empty while it swaps
  bool m_swapping = false;
  bool m_leaving = false;
  std::uint32_t m_queuedMillis = 0;
  std::uint32_t m_ageMillis = 0; ///< the report's lag
  double m_tokensPerSecond = 0;  ///< prefill speed
};

/// @brief Reads an engine's load report. @return PlatformMalformed for anything else
base::Result<LoadReport> ParseLoadReport(const std::string& aJson);

} // namespace ferrytray::wire
