#include "ferrytray/cache/store_cleanup.hpp"

#include "ferrytray/cache/scope.hpp" // for Scope

namespace ferrytray::cache {

std::vector<FreeParts> StoreCleanup::Plan(
  const Stores& aStores,
  const std::map<std::string, std::uint32_t>& aOldestWeights,
  base::TimePoint aNow)
{
  for (const auto& [model, weights] : aOldestWeights) {
    const auto [oldest, isNew] = m_oldestWeights.try_emplace(model, OldestWeights{ weights, aNow });
    if (!isNew && oldest->second.m_weights != weights) {
      oldest->second = { weights, aNow };
    }
  }
  std::vector<FreeParts> plan;
  for (const auto& [address, store] : aStores) {
    const auto requested = m_requestedAt.find(address);
    if (requested != m_requestedAt.end() && aNow < requested->second + m_options.m_retryInterval) {
      continue;
    }
    FreeParts free{ address, store.Epoch(), {} };
    for (const auto& [part, tokens] : store.Parts()) {
      const auto scope = Scope::FromText(part.m_scope);
      const auto oldest = scope ? m_oldestWeights.find(scope->m_model) : m_oldestWeights.end();
      const bool unused = oldest != m_oldestWeights.end() &&
                          scope->m_weights < oldest->second.m_weights &&
                          aNow >= oldest->second.m_since + m_options.m_gracePeriod;
      if (unused && free.m_parts.size() < m_options.m_maxBatch) {
        free.m_parts.push_back(part);
      }
    }
    if (!free.m_parts.empty()) {
      plan.push_back(std::move(free));
    }
  }
  return plan;
}

void StoreCleanup::OnFreeRequested(const std::string& aStore, base::TimePoint aNow)
{
  m_requestedAt[aStore] = aNow;
}

} // namespace ferrytray::cache
