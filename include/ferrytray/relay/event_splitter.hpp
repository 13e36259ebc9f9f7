#pragma once

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::relay {

/// @brief Splits a server-sent event stream into complete events.
class EventSplitter
{
public:
  /// @brief The events completed by a call of Feed().
  struct CompleteEvents
  {
    std::string m_bytes; ///< complete events, unchanged
    std::optional<std::uint64_t> m_lastId;
  };

  /// @param aSkipThrough events with ids up to this one are dropped because the caller has them
  explicit EventSplitter(std::optional<std::uint64_t> aSkipThrough = {})
    : m_skipThrough(aSkipThrough)
  {
  }

  CompleteEvents Feed(std::string_view aBytes);
  /// @brief The bytes after the last complete event.
  [[nodiscard]] const std::string& Remainder() const { return m_buffer; }

private:
  std::optional<std::uint64_t> m_skipThrough;
  std::string m_buffer;
};

} // namespace ferrytray::relay
