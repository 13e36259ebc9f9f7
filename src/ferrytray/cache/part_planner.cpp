#include "ferrytray/cache/part_planner.hpp"

#include <algorithm> // for all_of, any_of, min, sort
#include <cmath>     // for log
#include <utility>   // for pair

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::cache {

namespace {

std::uint64_t SharedTokens(std::span<const PlannedPart> aParts)
{
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    tokens += aParts[i].m_tokens;
  }
  return tokens;
}

bool AnyFresh(const Stores& aStores, base::TimePoint aNow)
{
  return std::any_of(aStores.begin(), aStores.end(), [aNow](const auto& aStore) {
    return aStore.second.IsFresh(aNow);
  });
}

} // namespace

std::string_view ToString(PartOutcome aOutcome)
{
  switch (aOutcome) {
    case PartOutcome::Unshared:
      return "unshared";
    case PartOutcome::Fetched:
      return "fetched";
    case PartOutcome::Saved:
      return "saved";
    case PartOutcome::OnItsWay:
      return "on_its_way";
    case PartOutcome::NoRoom:
      return "no_room";
    case PartOutcome::NoContact:
      break;
  }
  return "no_contact";
}

std::array<std::uint64_t, kPartOutcomes> PartPlan::TokensByOutcome(
  std::span<const PlannedPart> aParts) const
{
  std::array<std::uint64_t, kPartOutcomes> tokens{};
  for (std::size_t i = 0; i < std::min(aParts.size(), m_transfers.size()); ++i) {
    tokens.at(static_cast<std::size_t>(m_transfers[i].m_outcome)) += aParts[i].m_tokens;
  }
  return tokens;
}

bool PartPlan::Empty() const
{
  return std::all_of(m_transfers.begin(), m_transfers.end(), [](const PartTransfers& aTransfers) {
    return aTransfers.m_fetchFrom.empty() && aTransfers.m_saveTo.empty();
  });
}

std::vector<std::string> PartPlanner::RankStores(const std::string& aId, const Stores& aStores)
{
  // Weighted rendezvous hashing: stores get parts in proportion to their link speed, so that link
  // waits are similar. Once the fast stores are full, the others get the rest.
  std::vector<std::pair<double, std::string>> scored;
  for (const auto& [address, store] : aStores) {
    constexpr double kRange = 18446744073709551616.0; // 2^64
    const double point = (static_cast<double>(base::Hash64(aId, address)) + 1.0) / (kRange + 2.0);
    scored.emplace_back(-store.Traits().m_linkMegabits / std::log(point), address);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<std::string> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, address] : scored) {
    ranked.push_back(std::move(address));
  }
  return ranked;
}

PartPlan PartPlanner::Plan(const PlannedPrompt& aPrompt,
                           Stores& aStores,
                           base::TimePoint aNow) const
{
  PartPlan plan;
  plan.m_transfers.resize(aPrompt.m_parts.size());
  if (SharedTokens(aPrompt.m_parts) < m_options.m_minSharedTokens) {
    return plan;
  }
  for (std::size_t i = 0; i + 1 < aPrompt.m_parts.size(); ++i) {
    const PlannedPart& part = aPrompt.m_parts[i];
    const PartName name{ aPrompt.m_scope, part.m_id };
    const std::vector<std::string> ranked = RankStores(part.m_id, aStores);
    PartTransfers& transfers = plan.m_transfers[i];
    for (const std::string& address : ranked) {
      const StoreContents& store = aStores.at(address);
      if (store.MayFetch(name, aNow)) {
        transfers.m_fetchFrom = address;
        plan.m_fetchDeadline = store.FetchDeadline(aNow, aPrompt.m_fetchTimeout);
        break;
      }
    }
    if (!transfers.m_fetchFrom.empty()) {
      transfers.m_outcome = PartOutcome::Fetched;
      continue;
    }
    transfers.m_fetchFrom = aPrompt.m_home;
    const bool expected = std::any_of(aStores.begin(), aStores.end(), [&](const auto& aStore) {
      return aStore.second.IsPending(name);
    });
    if (expected) {
      transfers.m_outcome = PartOutcome::OnItsWay;
      continue;
    }
    transfers.m_outcome = AnyFresh(aStores, aNow) ? PartOutcome::NoRoom : PartOutcome::NoContact;
    for (const std::string& address : ranked) {
      StoreContents& store = aStores.at(address);
      if (store.MaySave(name, part.m_tokens, aNow)) {
        transfers.m_saveTo = address;
        transfers.m_outcome = PartOutcome::Saved;
        store.OnSaveRequested(name, part.m_tokens, aNow);
        break;
      }
    }
  }
  return plan;
}

} // namespace ferrytray::cache
