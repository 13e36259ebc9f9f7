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

/// All hosts run the same version except during an upgrade; messages of another format version are
/// rejected.
inline constexpr std::uint32_t kFormatVersion = 0x66740005;

/// @brief Serializes a message between hosts.
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

/// @return PeerMalformed if the bytes are not such a message
template<typename Message>
base::Result<Message> ReadMessage(std::string_view aBytes)
{
  try {
    net::BoundedInputArchive archive(aBytes);
    std::uint32_t format = 0;
    Message message;
    archive(format);
    if (format != kFormatVersion) {
      return base::Fail(base::ErrorCode::PeerMalformed, "format version mismatch");
    }
    archive(message);
    return message;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PeerMalformed, error.what());
  }
}

} // namespace ferrytray::peers
