#pragma once

#include <cstdint> // for uint32_t, uint64_t, uint8_t

#include "ferrytray/routing/work.hpp" // for Work

namespace ferrytray::routing {

/// @brief Size of a prompt relative to the memory of the engines that may run it.
enum class PromptSize : std::uint8_t
{
  Short, ///< starts immediately even on a nearly full engine
  Long,  ///< only a few fit at once, and each holds memory for seconds
};

struct EngineMemoryOptions
{
  /// Prompts below this share of an engine's memory are short: at least sixteen fit at once, and
  /// prefill takes tens of milliseconds.
  double m_maxShortPromptShare = 1.0 / 16;
  /// Long prompts are admitted up to this fill level of the engine's memory. Above it, a prompt
  /// would wait until another request completes, which exceeds acceptable first-token latency, and
  /// would evict the memory of running requests. Below 1, because requests recently sent by other
  /// hosts are not known yet. 0.65, 0.8 and 0.95 were tried.
  double m_maxFillForLong = 0.8;
  /// Fill limit for short prompts. Above 1, because the work of other hosts is known with a delay
  /// and short prompts overtake long ones that wait.
  double m_maxFillForShort = 1.3;
};

/// @param aPromptTokens length of the whole prompt
/// @param aMemoryTokens memory of one engine, shared by running requests and cached parts
[[nodiscard]] PromptSize ClassifyPrompt(std::uint32_t aPromptTokens,
                                        std::uint64_t aMemoryTokens,
                                        const EngineMemoryOptions& aOptions = {});

/// @brief Whether an engine is likely to start a prompt of this size without a long wait.
///
/// The memory that the prompt itself needs is not counted, so that the longest prompts are not
/// refused more often than others of the same size class.
/// @param aOpen known work of all open requests on the engine
[[nodiscard]] bool HasRoom(PromptSize aSize,
                           Work aOpen,
                           std::uint64_t aMemoryTokens,
                           const EngineMemoryOptions& aOptions = {});

} // namespace ferrytray::routing
