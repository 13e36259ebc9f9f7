#pragma once

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant
#include <vector>      // for vector

#include "ferrytray/gate/answer_format.hpp" // for TokenUsage

namespace ferrytray::gate {

/// @brief One chunk of an engine's response.
struct EngineChunk
{
  std::string m_text;
  std::uint64_t m_offset = 0;
  std::string m_version;
  bool m_last = false;
  TokenUsage m_usage; ///< set in the last chunk only
};

/// @brief An error reported by the engine.
struct EngineError
{
  std::string m_message;
  bool m_started = true;
};

using EngineEvent = std::variant<EngineChunk, EngineError>;

/// @brief Incremental parser of an engine's server-sent events.
class EngineEventParser
{
public:
  /// @return the events completed by these bytes; malformed events are dropped and counted
  std::vector<EngineEvent> Feed(std::string_view aBytes);
  [[nodiscard]] std::uint64_t MalformedEvents() const { return m_malformedEvents; }

private:
  std::string m_buffer;
  std::uint64_t m_malformedEvents = 0;
};

/// @brief Parses the body of an engine's error response.
EngineError ParseEngineError(const std::string& aBody);

} // namespace ferrytray::gate
