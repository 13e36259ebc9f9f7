#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::net {

/// @brief Splits a stream of server-sent events into complete events.
///
/// Lines end with LF, CR LF or CR, also mixed in one stream. Takes time linear in the bytes of the
/// stream, no matter how they are divided into pieces.
/// @see https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream
class EventSplitter
{
public:
  /// @brief The events completed by a call of Feed().
  struct CompleteEvents
  {
    std::string m_bytes;                   ///< complete events, unchanged
    std::optional<std::uint64_t> m_lastId; ///< of the last event with an id
    bool m_endsWithoutId = false;          ///< the last event has no id
  };

  /// @param aSkipThrough events with ids up to this one are dropped because the caller has them
  explicit EventSplitter(std::optional<std::uint64_t> aSkipThrough = {})
    : m_skipThrough(aSkipThrough)
  {
  }

  CompleteEvents Feed(std::string_view aBytes);
  /// @brief Whether a stream that ends here is truncated: the last line has no end, or a field is
  /// not followed by the blank line that ends its event.
  [[nodiscard]] bool IsInsideEvent() const { return m_hasFields || m_lineStart < m_buffer.size(); }
  /// @brief The bytes after the last complete event; only comments unless IsInsideEvent().
  [[nodiscard]] const std::string& Remainder() const { return m_buffer; }

private:
  /// Consumes the LF of a line end whose CR was the last byte of the previous piece.
  void FinishLineEnd(CompleteEvents& aComplete);
  /// Processes a line without its end. @return whether it is blank, so that the event is complete
  bool OnLine(std::string_view aLine);
  /// Moves the event that ends at m_lineStart from the buffer to the complete ones.
  void EndEvent(CompleteEvents& aComplete, std::size_t aStart);

  std::optional<std::uint64_t> m_skipThrough;
  std::string m_buffer;        ///< after the last complete event
  std::size_t m_lineStart = 0; ///< in the buffer
  std::size_t m_scanned = 0;   ///< bytes of the buffer without a further line end
  std::optional<std::uint64_t> m_eventId;
  bool m_hasFields = false;              ///< the event in the buffer has a line that is no comment
  bool m_atStreamStart = true;           ///< the next line is the first one
  bool m_endsWithCarriageReturn = false; ///< an LF that follows belongs to the same line end
  bool m_skippedLastEvent = false;
};

} // namespace ferrytray::net
