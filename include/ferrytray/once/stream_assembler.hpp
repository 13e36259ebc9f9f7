#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::once {

/// @brief Names one attempt at a request; a retry gets a new one.
using AttemptId = std::uint64_t;

/// @brief A part of an answer.
struct StreamChunk
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< bytes of the answer before this piece
  std::string m_text;
  bool m_last = false;
};

/// @brief Puts an answer together from pieces that may be late, repeated or out of order.
///
/// Nothing is delivered twice, short, or from a past attempt.
class StreamAssembler
{
public:
  /// @param aMaxBufferedBytes the most that may wait for a missing piece
  explicit StreamAssembler(std::size_t aMaxBufferedBytes)
    : m_maxBufferedBytes(aMaxBufferedBytes)
  {
  }

  /// @brief From now on only this attempt's pieces count. Only before the first delivery.
  /// @return false when text was delivered already
  bool Begin(AttemptId aAttempt);
  /// @brief Takes a piece and returns the text that can be delivered now, perhaps none.
  std::string Accept(StreamChunk aChunk);

  /// @brief Where a broken stream has to be resumed (bytes).
  [[nodiscard]] std::uint64_t NextOffset() const { return m_nextOffset; }
  /// @brief Whether every byte up to the last piece's end was delivered.
  [[nodiscard]] bool IsComplete() const { return m_endOffset && m_nextOffset == *m_endOffset; }
  /// @brief Whether pieces wait for one that is missing.
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
