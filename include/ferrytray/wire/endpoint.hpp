#pragma once

#include <cstdint> // for uint8_t, uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "ferrytray/base/error.hpp" // for Result

namespace ferrytray::wire {

/// @brief Kind of a process in the platform's host list.
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
  std::string m_pool; ///< fleet or service that it belongs to; empty for stores
  std::string m_zone;
  std::string m_address;     ///< IP:PORT; for an entry host, its keeper's datagram address
  std::string m_incarnation; ///< changes when another process takes the address
  bool m_leaving = false;
};

/// @brief Parses the platform's host list (JSON). @return PlatformMalformed for any other input
base::Result<std::vector<ListedHost>> ParseHostList(const std::string& aJson);

/// @brief Load of an engine as it reports it.
struct LoadReport
{
  std::string m_incarnation;
  std::string m_version; ///< weight version in use; empty during a swap
  bool m_swapping = false;
  bool m_leaving = false;
  std::uint32_t m_queuedMillis = 0;
  std::uint32_t m_ageMillis = 0; ///< age of the report when the engine sent it
  double m_tokensPerSecond = 0;  ///< prefill speed
};

/// @brief Parses an engine's load report (JSON). @return PlatformMalformed for any other input
base::Result<LoadReport> ParseLoadReport(const std::string& aJson);

} // namespace ferrytray::wire
