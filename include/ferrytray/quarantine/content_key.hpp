#pragma once

#include <string_view> // for string_view

#include "ferrytray/base/digest.hpp" // for Digest128

namespace ferrytray::quarantine {

/// @brief Hash of content that several requests may share: a whole request, or a part of a prompt.
using ContentKey = base::Digest128;

/// @brief The fields that make requests identical; the request id is none of them.
struct RequestTraits
{
  std::string_view m_account; ///< client account; empty on routes that require none
  std::string_view m_method;
  std::string_view m_hostName;
  std::string_view m_target; ///< path and query
  std::string_view m_body;
};

/// @brief The fields that make parts of prompts identical, for all client accounts.
struct PartTraits
{
  std::string_view m_model;
  std::string_view m_id;
};

[[nodiscard]] ContentKey KeyOf(const RequestTraits& aTraits);
[[nodiscard]] ContentKey KeyOf(const PartTraits& aTraits);
/// @brief Whether the content is a part of a prompt.
[[nodiscard]] bool IsPart(const ContentKey& aContent);

} // namespace ferrytray::quarantine
