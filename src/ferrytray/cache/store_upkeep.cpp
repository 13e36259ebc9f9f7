#include "ferrytray/cache/store_upkeep.hpp"

#include "ferrytray/cache/scope.hpp" // for Scope

namespace ferrytray::cache {

std::vector<FreeParts> StoreUpkeep::Plan(const Stores& aStores,
                                         const std::map<std::string, std::uint32_t>& aOldest,
                                         base::TimePoint aNow)
{
  for (const auto& [model, weights] : aOldest) {
    const auto [floor, isNew] = m_floors.try_emplace(model, Floor{ weights, aNow });
    if (!isNew && floor->second.m_weights != weights) {
      floor->second = { weights, aNow };
    }
  }
  std::vector<FreeParts> plan;
  for (const auto& [address, store] : aStores) {
    const auto asked = m_asked.find(address);
    if (asked != m_asked.end() && aNow < asked->second + m_options.m_again) {
      continue;
    }
    FreeParts free{ address, store.Epoch(), {} };
    for (const auto& [part, tokens] : store.Parts()) {
      const auto scope = Scope::FromText(part.m_scope);
      const auto floor = scope ? m_floors.find(scope->m_model) : m_floors.end();
      const bool unused = floor != m_floors.end() && scope->m_weights < floor->second.m_weights &&
                          aNow >= floor->second.m_since + m_options.m_quiet;
      if (unused && free.m_parts.size() < m_options.m_batch) {
        free.m_parts.push_back(part);
      }
    }
    if (!free.m_parts.empty()) {
      plan.push_back(std::move(free));
    }
  }
  return plan;
}

void StoreUpkeep::OnAsked(const std::string& aStore, base::TimePoint aNow)
{
  m_asked[aStore] = aNow;
}

} // namespace ferrytray::cache
