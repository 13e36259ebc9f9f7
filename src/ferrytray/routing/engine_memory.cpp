#include "ferrytray/routing/engine_memory.hpp"

namespace ferrytray::routing {

PromptSize SizeOf(std::uint32_t aPromptTokens,
                  std::uint64_t aMemoryTokens,
                  const EngineMemoryOptions& aOptions)
{
  const double most = static_cast<double>(aMemoryTokens) * aOptions.m_shortPart;
  return static_cast<double>(aPromptTokens) < most ? PromptSize::Short : PromptSize::Long;
}

bool HasRoom(PromptSize aSize,
             Work aOpen,
             std::uint64_t aMemoryTokens,
             const EngineMemoryOptions& aOptions)
{
  const double fill = aSize == PromptSize::Short ? aOptions.m_shortFill : aOptions.m_longFill;
  const double held = static_cast<double>(TokensOf(aOpen));
  return held <= static_cast<double>(aMemoryTokens) * fill;
}

} // namespace ferrytray::routing
