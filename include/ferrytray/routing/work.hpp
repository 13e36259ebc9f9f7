#pragma once

#include <cstdint> // for uint32_t, uint64_t

namespace ferrytray::routing {

/// @brief How much an open request weighs when endpoints are compared, in kTokensPerWork prompt
/// tokens of engine memory: that is what runs out first, since a long prompt holds its memory until
/// the last token of its answer, and answers get slower the more of them an engine makes.
using Work = std::uint32_t;

/// Fine enough to tell short prompts apart, coarse enough for 16 bits an endpoint on the wire.
inline constexpr std::uint32_t kTokensPerWork = 128;

/// Any request, also one without a prompt: a slot and a share of each step (work).
inline constexpr Work kWorkPerRequest = 2;

/// @param aPromptTokens zero if it is no prompt
[[nodiscard]] constexpr Work WorkOf(std::uint32_t aPromptTokens)
{
  return kWorkPerRequest + aPromptTokens / kTokensPerWork;
}

/// @return about the tokens of engine memory that this much work holds
[[nodiscard]] constexpr std::uint64_t TokensOf(Work aWork)
{
  return std::uint64_t{ aWork } * kTokensPerWork;
}

} // namespace ferrytray::routing
