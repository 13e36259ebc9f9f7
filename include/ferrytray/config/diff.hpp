#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/document.hpp" // for Document

namespace ferrytray::config {

/// @brief What one object of a scope goes through.
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

/// @brief The objects that differ between two contents of a scope, by name.
std::vector<Change> Diff(const Document& aBefore, const Document& aAfter);

/// @brief "+ account lab", "~ account lab" or "- account lab".
std::string ToString(const Change& aChange);

} // namespace ferrytray::config
