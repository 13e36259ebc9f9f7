#include "ferrytray/relay/upkeep_duty.hpp"

#include <algorithm> // for min
#include <utility>   // for exchange

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

// Scanning all stores costs more than the other duties' checks.
constexpr base::Duration kPlanInterval = std::chrono::seconds(1);

std::map<std::string, std::uint32_t> OldestWeights(const fleet::Directory& aDirectory)
{
  std::map<std::string, std::uint32_t> oldest;
  for (const fleet::Endpoint* endpoint : aDirectory.All()) {
    for (const auto& [model, weights] : endpoint->m_provenWeights) {
      const auto [found, isNew] = oldest.try_emplace(model, weights);
      found->second = std::min(found->second, weights);
    }
  }
  return oldest;
}

} // namespace

bool UpkeepDuty::HasWork(base::TimePoint aNow)
{
  // Planned again even if frees are pending: another host may have done them meanwhile.
  if (aNow >= m_plannedAt + kPlanInterval) {
    m_plannedAt = aNow;
    m_pendingFrees = m_cleanup.Plan(m_core.m_stores, OldestWeights(m_core.m_directory), aNow);
  }
  return !m_pendingFrees.empty();
}

void UpkeepDuty::DoWork(base::TimePoint aNow)
{
  for (const cache::FreeParts& parts : std::exchange(m_pendingFrees, {})) {
    m_cleanup.OnFreeRequested(parts.m_store, aNow);
    m_freer.Free(parts, [this, parts](bool aDone) {
      const auto store = m_core.m_stores.find(parts.m_store);
      if (aDone && store != m_core.m_stores.end()) {
        store->second.OnFreed(parts.m_epoch, parts.m_parts);
      }
      telemetry::LogLine("parts_freed")
        .Add("store", parts.m_store)
        .Add("parts", parts.m_parts.size())
        .Add("why", "no engine runs the weights of these parts")
        .Add("outcome", aDone ? "done" : "failed");
    });
  }
}

} // namespace ferrytray::relay
