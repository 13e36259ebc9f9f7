#pragma once

#include <cstdint> // for uint32_t, uint64_t

namespace ferrytray::routing {

/// @brief Load of open requests, in units of kTokensPerWork prompt tokens of engine memory.
///
/// Memory is the scarcest resource: a long prompt holds it until the last token of its answer, and
/// answers get slower the more of them an engine generates at once.
using Work = std::uint32_t;

/// Fine enough to distinguish short prompts, coarse enough for 16 bits per endpoint on the wire.
inline constexpr std::uint32_t kTokensPerWork = 128;

/// Base load of any request, with or without a prompt: a slot and a share of each engine step.
inline constexpr Work kWorkPerRequest = 2;

/// @param aPromptTokens zero for requests without a prompt
[[nodiscard]] constexpr Work WorkOf(std::uint32_t aPromptTokens)
{
  return kWorkPerRequest + aPromptTokens / kTokensPerWork;
}

/// @return approximate engine memory held by this much work, in tokens
[[nodiscard]] constexpr std::uint64_t TokensOf(Work aWork)
{
  return std::uint64_t{ aWork } * kTokensPerWork;
}

} // namespace ferrytray::routing
