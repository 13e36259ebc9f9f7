#include "ferrytray/routing/engine_memory.hpp"

namespace ferrytray::routing {

PromptSize ClassifyPrompt(std::uint32_t aPromptTokens,
                          std::uint64_t aMemoryTokens,
                          const EngineMemoryOptions& aOptions)
{
  const double limit = static_cast<double>(aMemoryTokens) * aOptions.m_maxShortPromptShare;
  return static_cast<double>(aPromptTokens) < limit ? PromptSize::Short : PromptSize::Long;
}

bool HasRoom(PromptSize aSize,
             Work aOpen,
             std::uint64_t aMemoryTokens,
             const EngineMemoryOptions& aOptions)
{
  const double fill =
    aSize == PromptSize::Short ? aOptions.m_maxFillForShort : aOptions.m_maxFillForLong;
  const double held = static_cast<double>(TokensOf(aOpen));
  return held <= static_cast<double>(aMemoryTokens) * fill;
}

} // namespace ferrytray::routing
