#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::once {

/// @brief Identifies one attempt at a request; every retry has a new id.
using AttemptId = std::uint64_t;

/// @brief A contiguous range of an answer's bytes, received from one attempt.
struct StreamChunk
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< offset of the first byte in the answer
  std::string m_text;
  bool m_last = false;
};

/// @brief Reassembles an answer from chunks that may be late, repeated or out of order.
///
/// Delivers every byte once and in order, and none from an earlier attempt.
class StreamAssembler
{
public:
  /// @param aMaxBufferedBytes limit of the bytes buffered while an earlier chunk is missing
  explicit StreamAssembler(std::size_t aMaxBufferedBytes)
    : m_maxBufferedBytes(aMaxBufferedBytes)
  {
  }

  /// @brief Switches to a new attempt; chunks of other attempts are dropped from now on.
  /// @return false, without effect, if text was already delivered
  bool Begin(AttemptId aAttempt);
  /// @brief Adds a chunk and returns the text that can now be delivered, possibly none.
  std::string Accept(StreamChunk aChunk);

  /// @brief Returns the offset (bytes) from which an interrupted stream has to be resumed.
  [[nodiscard]] std::uint64_t NextOffset() const { return m_nextOffset; }
  /// @brief Returns whether every byte up to the end of the last chunk was delivered.
  [[nodiscard]] bool IsComplete() const { return m_endOffset && m_nextOffset == *m_endOffset; }
  /// @brief Returns whether chunks are buffered because an earlier one is missing.
  [[nodiscard]] bool HasGap() const { return !m_buffered.empty(); }
  [[nodiscard]] std::uint64_t DroppedChunks() const { return m_droppedChunks; }

private:
  std::string TakeInOrder();

  std::size_t m_maxBufferedBytes;
  std::size_t m_bufferedBytes = 0;
  AttemptId m_attempt = 0;
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_droppedChunks = 0;
  std::optional<std::uint64_t> m_endOffset;
  std::map<std::uint64_t, std::string> m_buffered;
};

} // namespace ferrytray::once
