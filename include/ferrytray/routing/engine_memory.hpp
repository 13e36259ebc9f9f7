#pragma once

#include <cstdint> // for uint32_t, uint64_t, uint8_t

#include "ferrytray/routing/work.hpp" // for Work

namespace ferrytray::routing {

/// @brief How a prompt compares with the memory of the engines that may run it.
enum class PromptSize : std::uint8_t
{
  Short, ///< begins at once on an engine that is nearly full
  Long,  ///< few fit at once; each holds its memory for seconds
};

struct EngineMemoryOptions
{
  /// A prompt under this part of an engine's memory is short: sixteen and more fit at once, and it
  /// is read in some tens of milliseconds.
  double m_maxShortPromptShare = 1.0 / 16;
  /// Long prompts begin at an engine while open requests hold less than this part of its memory.
  /// A prompt over it would wait for another one's whole answer, which takes longer than a caller
  /// wants to wait for its first token, and would push out what running ones hold. What other hosts
  /// sent meanwhile is not known yet, hence less than all of it. Tried 0.65, 0.8, 0.95.
  double m_maxFillForLong = 0.8;
  /// The same for short ones. Over 1, since other hosts' work is known late and they run ahead of
  /// long ones that wait.
  double m_maxFillForShort = 1.3;
};

/// @param aPromptTokens of the whole prompt
/// @param aMemoryTokens of one engine, for running requests and cached parts
[[nodiscard]] PromptSize ClassifyPrompt(std::uint32_t aPromptTokens,
                                        std::uint64_t aMemoryTokens,
                                        const EngineMemoryOptions& aOptions = {});

/// @brief Whether a prompt sent to an engine now is likely to begin in time. Pure.
///
/// What the prompt itself needs does not count, so that the longest are not refused more often than
/// others of their kind.
/// @param aOpen work of all open requests there, as far as known
[[nodiscard]] bool HasRoom(PromptSize aSize,
                           Work aOpen,
                           std::uint64_t aMemoryTokens,
                           const EngineMemoryOptions& aOptions = {});

} // namespace ferrytray::routing
