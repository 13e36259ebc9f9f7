#pragma once

#include <compare>     // for strong_ordering
#include <cstdint>     // for uint16_t
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp" // for Result

namespace ferrytray::net {

/// @brief An IP address and a port. Host names are not supported.
struct Address
{
  std::string m_ip;
  std::uint16_t m_port = 0;
  auto operator<=>(const Address&) const = default;
};

/// @brief Parses "10.0.0.1:80" or "[::1]:80".
/// @return the address, or SettingInvalid for any other text
base::Result<Address> ParseAddress(std::string_view aText);

/// @brief Formats an address in the form that ParseAddress accepts.
std::string ToString(const Address& aAddress);

/// @brief Returns "http://" followed by the address.
std::string HttpBaseUrl(const Address& aAddress);

} // namespace ferrytray::net
