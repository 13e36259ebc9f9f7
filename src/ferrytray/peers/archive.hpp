#pragma once

#include <cstdint>     // for uint32_t
#include <cstring>     // for memcpy
#include <optional>    // for optional
#include <sstream>     // for ostringstream
#include <string>      // for string
#include <string_view> // for string_view

#include <cereal/archives/binary.hpp> // for BinaryOutputArchive
#include <cereal/types/chrono.hpp>    // for duration
#include <cereal/types/string.hpp>    // for string
#include <cereal/types/vector.hpp>    // for vector

#include "ferrytray/base/deflate.hpp"        // for Deflate, Inflate
#include "ferrytray/base/error.hpp"          // for Result
#include "ferrytray/net/bounded_archive.hpp" // for BoundedInputArchive

namespace ferrytray::peers {

/// Format version of the records that the record log keeps; hosts of several builds read them.
inline constexpr std::uint32_t kRecordVersion = 0x66740005;

/// Format version of the messages between hosts. All hosts run the same build except during an
/// upgrade; messages of another version are rejected, and the hosts read the log instead.
inline constexpr std::uint32_t kMessageVersion = 0x6674000a;

/// @brief Serializes a message between hosts or a record.
template<typename Message>
std::string WriteMessage(const Message& aMessage, std::uint32_t aVersion)
{
  std::ostringstream bytes;
  {
    cereal::BinaryOutputArchive archive(bytes);
    archive(aVersion, aMessage);
  }
  return bytes.str();
}

/// @return PeerMalformed if the bytes are not such a message or record
template<typename Message>
base::Result<Message> ReadMessage(std::string_view aBytes, std::uint32_t aVersion)
{
  try {
    net::BoundedInputArchive archive(aBytes);
    std::uint32_t format = 0;
    Message message;
    archive(format);
    if (format != aVersion) {
      return base::Fail(base::ErrorCode::PeerMalformed, "format version mismatch");
    }
    archive(message);
    return message;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PeerMalformed, error.what());
  }
}

/// Smaller messages are not compressed.
inline constexpr std::size_t kMinCompressedBytes = 1024;

/// Larger messages are rejected before memory is allocated for them.
inline constexpr std::size_t kMaxMessageBytes = 16U << 20U;

/// @brief Serializes a message and compresses it if it is large: its size, zero if it is not
/// compressed, and its bytes.
template<typename Message>
std::string WriteCompressed(const Message& aMessage)
{
  const std::string bytes = WriteMessage(aMessage, kMessageVersion);
  const bool compress = bytes.size() >= kMinCompressedBytes;
  const auto size = static_cast<std::uint32_t>(compress ? bytes.size() : 0);
  std::string message(reinterpret_cast<const char*>(&size), sizeof(size));
  return message + (compress ? base::Deflate(bytes) : bytes);
}

/// @return PeerMalformed if the bytes are not such a message
template<typename Message>
base::Result<Message> ReadCompressed(std::string_view aBytes)
{
  std::uint32_t size = 0;
  if (aBytes.size() < sizeof(size)) {
    return base::Fail(base::ErrorCode::PeerMalformed, "the message is truncated");
  }
  std::memcpy(&size, aBytes.data(), sizeof(size));
  const std::string_view body = aBytes.substr(sizeof(size));
  if (size == 0) {
    return ReadMessage<Message>(body, kMessageVersion);
  }
  if (size > kMaxMessageBytes) {
    return base::Fail(base::ErrorCode::PeerMalformed, "the message is too large");
  }
  const std::optional<std::string> bytes = base::Inflate(body, size);
  if (!bytes) {
    return base::Fail(base::ErrorCode::PeerMalformed, "the compressed bytes are damaged");
  }
  return ReadMessage<Message>(*bytes, kMessageVersion);
}

} // namespace ferrytray::peers
