#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string

namespace ferrytray::relay {

/// @brief The engine that a long prompt was given to.
struct Assignment
{
  std::string m_engine;      ///< incarnation; empty: none, the host chooses by itself
  std::string m_cacheHolder; ///< another engine that read its shared part lately, or empty
  std::uint32_t m_prefillTokens = 0;
  bool m_engineIdle = false;     ///< nothing waits at that engine
  bool m_allEnginesFull = false; ///< the memory of all engines is taken
};

} // namespace ferrytray::relay
