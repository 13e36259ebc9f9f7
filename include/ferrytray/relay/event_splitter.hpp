#pragma once

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::relay {

/// @brief Cuts a server-sent event stream into whole events.
class EventSplitter
{
public:
  /// @brief What a call of Feed() completed.
  struct CompleteEvents
  {
    std::string m_bytes; ///< whole events, as they came
    std::optional<std::uint64_t> m_lastId;
  };

  /// @param aSkipThrough events up to this id are left out (the caller has them)
  explicit EventSplitter(std::optional<std::uint64_t> aSkipThrough = {})
    : m_skipThrough(aSkipThrough)
  {
  }

  CompleteEvents Feed(std::string_view aBytes);
  /// @brief What follows the last whole event.
  [[nodiscard]] const std::string& Remainder() const { return m_buffer; }

private:
  std::optional<std::uint64_t> m_skipThrough;
  std::string m_buffer;
};

} // namespace ferrytray::relay
