#pragma once

#include <string_view> // for string_view

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::quarantine {

/// @brief Hash of a request's content, independent of its id; identical requests share a key.
using RequestKey = base::Digest128;

/// @brief The parts of a request that identify its content.
struct RequestTraits
{
  std::string_view m_account; ///< client account; empty on routes that require none
  std::string_view m_method;
  std::string_view m_hostName;
  std::string_view m_target; ///< path and query
  std::string_view m_body;
};

[[nodiscard]] RequestKey KeyOf(const RequestTraits& aTraits);

} // namespace ferrytray::quarantine
