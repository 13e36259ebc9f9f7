#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string

namespace ferrytray::relay {

/// @brief The engine that a prompt dispatcher assigned to a long prompt.
struct Assignment
{
  std::string m_engine;      ///< incarnation; empty: no engine assigned, this host chooses one
  std::string m_cacheHolder; ///< incarnation of another engine that recently read the prompt's
                             ///< shared part, or empty
  std::uint32_t m_prefillTokens = 0;
  bool m_engineIdle = false;     ///< no prompt is queued at the assigned engine
  bool m_allEnginesFull = false; ///< no engine has memory for the prompt
};

} // namespace ferrytray::relay
