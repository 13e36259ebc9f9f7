#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/document.hpp" // for Document

namespace ferrytray::config {

/// @brief How an object of a scope changes.
enum class ChangeKind : std::uint8_t
{
  Added,
  Changed,
  Removed,
};

struct Change
{
  ChangeKind m_kind = ChangeKind::Added;
  std::string m_object; ///< such as "account lab"
};

/// @brief Returns the objects that differ between two versions of a scope, matched by name.
std::vector<Change> Diff(const Document& aBefore, const Document& aAfter);

/// @brief Formats a change such as "+ account lab" (added), "~ account lab" (changed) or
/// "- account lab" (removed).
std::string ToString(const Change& aChange);

} // namespace ferrytray::config
