#include "ferrytray/relay/prompt_placement.hpp"

#include "ferrytray/cache/scope.hpp" // for Scope

namespace ferrytray::relay {

std::string PromptPlacement::CacheScope(const std::string& aModel,
                                        fleet::WeightVersion aVersion,
                                        const fleet::ClientAccount* aAccount)
{
  const bool isolated = aAccount != nullptr && aAccount->m_isolated;
  return cache::Scope{ aModel, aVersion, isolated ? aAccount->m_name : "" }.ToText();
}

std::string PromptPlacement::HomeKey(const Prompt& aPrompt,
                                     const fleet::ClientAccount* aAccount) const
{
  const std::string owner = aAccount != nullptr && aAccount->m_isolated ? aAccount->m_name : "";
  for (const PromptPart& part : aPrompt.m_parts) {
    if (part.m_tokens >= m_options.m_minHomePartTokens) {
      return owner + "/" + part.m_id;
    }
  }
  if (aPrompt.m_parts.empty()) {
    return owner + "/";
  }
  // The last part is the request's own; the one before it recurs within the session.
  const std::size_t count = aPrompt.m_parts.size();
  return owner + "/" + aPrompt.m_parts[count > 1 ? count - 2 : 0].m_id;
}

std::optional<routing::Placement> PromptPlacement::Place(
  const Prompt& aPrompt,
  const fleet::ClientAccount* aAccount,
  std::span<const routing::PlacementCandidate> aCandidates) const
{
  return routing::PlaceAtHome(aCandidates, HomeKey(aPrompt, aAccount), m_options.m_homes);
}

} // namespace ferrytray::relay
