#pragma once

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant
#include <vector>      // for vector

#include "ferrytray/gate/answer_format.hpp" // for Usage

namespace ferrytray::gate {

/// @brief A piece of an engine's answer.
struct EnginePiece
{
  std::string m_text;
  std::uint64_t m_offset = 0;
  std::string m_version;
  bool m_last = false;
  Usage m_usage; ///< with the last piece only
};

/// @brief The engine ended the attempt itself.
struct EngineRefusal
{
  std::string m_message;
  bool m_started = true;
};

using EngineEvent = std::variant<EnginePiece, EngineRefusal>;

/// @brief Cuts an engine's server-sent events apart; bytes may come in any pieces.
class EngineStream
{
public:
  /// @return the events that are whole now; one that is not JSON is dropped and counted
  std::vector<EngineEvent> Feed(std::string_view aBytes);
  [[nodiscard]] std::uint64_t Malformed() const { return m_malformed; }

private:
  std::string m_rest;
  std::uint64_t m_malformed = 0;
};

/// @brief Reads the body of an engine's refusal.
EngineRefusal ReadRefusal(const std::string& aBody);

} // namespace ferrytray::gate
