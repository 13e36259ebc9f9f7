#pragma once

#include <algorithm>   // for min
#include <charconv>    // for from_chars
#include <cstdint>     // for uint32_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::cache {

/// @brief Scope within which requests share cached parts: one model, one weight version and, for an
/// isolated client account, that account only.
struct Scope
{
  std::string m_model;
  std::uint32_t m_weights = 0;
  std::string m_account; ///< empty: shared by all accounts that are not isolated

  /// @brief MODEL/WEIGHTS or MODEL/WEIGHTS/ACCOUNT; unique per scope.
  [[nodiscard]] std::string ToText() const
  {
    const std::string shared = m_model + "/" + std::to_string(m_weights);
    return m_account.empty() ? shared : shared + "/" + m_account;
  }

  /// @brief Parses the output of ToText(); empty for any other text.
  static std::optional<Scope> FromText(std::string_view aText)
  {
    const std::size_t first = aText.find('/');
    if (first == std::string_view::npos) {
      return std::nullopt;
    }
    const std::size_t second = std::min(aText.find('/', first + 1), aText.size());
    Scope scope;
    scope.m_model = std::string(aText.substr(0, first));
    const std::string_view weights = aText.substr(first + 1, second - first - 1);
    const auto read =
      std::from_chars(weights.data(), weights.data() + weights.size(), scope.m_weights);
    if (read.ec != std::errc() || read.ptr != weights.data() + weights.size()) {
      return std::nullopt;
    }
    scope.m_account = std::string(aText.substr(std::min(second + 1, aText.size())));
    return scope;
  }
};

} // namespace ferrytray::cache
