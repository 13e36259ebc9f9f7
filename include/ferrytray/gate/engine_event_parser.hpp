#pragma once

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant
#include <vector>      // for vector

#include "ferrytray/gate/response_format.hpp" // for Usage

namespace ferrytray::gate {

/// @brief A piece of an engine's answer.
struct EngineChunk
{
  std::string m_text;
  std::uint64_t m_offset = 0;
  std::string m_version;
  bool m_last = false;
  TokenUsage m_usage; ///< with the last piece only
};

/// @brief The engine ended the attempt itself.
struct EngineError
{
  std::string m_message;
  bool m_started = true;
};

using EngineEvent = std::variant<EngineChunk, EngineError>;

/// @brief Cuts an engine's server-sent events apart; bytes may come in any pieces.
class EngineEventParser
{
public:
  /// @return the events that are whole now; one that is not JSON is dropped and counted
  std::vector<EngineEvent> Feed(std::string_view aBytes);
  [[nodiscard]] std::uint64_t MalformedEvents() const { return m_malformedEvents; }

private:
  std::string m_buffer;
  std::uint64_t m_malformedEvents = 0;
};

/// @brief Reads the body of an engine's refusal.
EngineError ParseEngineError(const std::string& aBody);

} // namespace ferrytray::gate
