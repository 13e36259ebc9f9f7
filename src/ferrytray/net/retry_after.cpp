#include "ferrytray/net/retry_after.hpp"

#include <algorithm> // for min
#include <charconv>  // for from_chars
#include <cmath>     // for isfinite

namespace ferrytray::net {

namespace {

constexpr double kMaxSeconds = 86'400;

} // namespace

std::optional<base::Duration> ParseRetryAfter(std::string_view aValue)
{
  const std::size_t first = aValue.find_first_not_of(" \t");
  const std::size_t last = aValue.find_last_not_of(" \t");
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = aValue.substr(first, last + 1 - first);
  double seconds = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool whole = read.ec == std::errc() && read.ptr == text.data() + text.size();
  if (!whole || !std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return base::FromSeconds(std::min(seconds, kMaxSeconds));
}

} // namespace ferrytray::net
