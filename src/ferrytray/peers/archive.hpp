#pragma once

#include <cstdint>     // for uint32_t
#include <sstream>     // for ostringstream
#include <string>      // for string
#include <string_view> // for string_view

#include <cereal/archives/binary.hpp> // for BinaryOutputArchive
#include <cereal/types/chrono.hpp>    // for duration
#include <cereal/types/string.hpp>    // for string
#include <cereal/types/vector.hpp>    // for vector

#include "ferrytray/base/error.hpp"          // for Result
#include "ferrytray/net/bounded_archive.hpp" // for BoundedInputArchive

namespace ferrytray::peers {

/// Both ends are of one version but while hosts are replaced; another version's bytes are refused.
inline constexpr std::uint32_t kFormatVersion = 0x66740005;

/// @brief A message between hosts as bytes.
template<typename Message>
std::string WriteMessage(const Message& aMessage)
{
  std::ostringstream bytes;
  {
    cereal::BinaryOutputArchive archive(bytes);
    archive(kFormatVersion, aMessage);
  }
  return bytes.str();
}

/// @return PeerMalformed when the bytes are anything else
template<typename Message>
base::Result<Message> ReadMessage(std::string_view aBytes)
{
  try {
    net::BoundedInputArchive archive(aBytes);
    std::uint32_t format = 0;
    Message message;
    archive(format);
    if (format != kFormatVersion) {
      return base::Fail(base::ErrorCode::PeerMalformed, "another format");
    }
    archive(message);
    return message;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PeerMalformed, error.what());
  }
}

} // namespace ferrytray::peers
