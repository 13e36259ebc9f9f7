#include "ferrytray/once/claim_coordinator.hpp"

#include <utility> // for move

namespace ferrytray::once {

ClaimActions ClaimCoordinator::OnClaim(const Claim& aClaim, base::TimePoint aNow)
{
  if (m_pending.size() >= m_options.m_maxPending) {
    return { ClaimUnsettled{ aClaim.m_id } };
  }
  m_pending.emplace(aClaim.m_id, Pending{ aClaim, aNow + m_options.m_settleTimeout });
  m_queued.emplace_back(aClaim);
  return AppendIfIdle();
}

ClaimActions ClaimCoordinator::OnDone(const base::Digest128& aClaim)
{
  m_queued.emplace_back(Done{ aClaim });
  return AppendIfIdle();
}

ClaimActions ClaimCoordinator::OnNotRun(const base::Digest128& aClaim)
{
  QueueRelease(aClaim);
  return AppendIfIdle();
}

void ClaimCoordinator::QueueRelease(const base::Digest128& aClaim)
{
  m_releases.emplace(aClaim, Release{ aClaim });
  m_queued.emplace_back(Release{ aClaim });
}

ClaimActions ClaimCoordinator::OnAppendEnded(bool aReplied)
{
  m_appending = false;
  const std::vector<ClaimEntry> sent = std::exchange(m_inFlight, {});
  if (!aReplied) {
    // Appending an entry twice is harmless: claims and releases are identified by id.
    m_queued.insert(m_queued.begin(), sent.begin(), sent.end());
    return {};
  }
  return AppendIfIdle();
}

ClaimActions ClaimCoordinator::OnRecord(const LogPosition& aPosition,
                                        std::span<const ClaimEntry> aEntries)
{
  ClaimActions actions;
  for (const ClaimEntry& entry : aEntries) {
    m_table.Apply(aPosition, { &entry, 1 });
    if (const auto* claim = std::get_if<Claim>(&entry)) {
      Settle(*claim, actions);
    } else if (const auto* release = std::get_if<Release>(&entry)) {
      m_releases.erase(release->m_id);
    }
  }
  for (ClaimAction& action : AppendIfIdle()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

void ClaimCoordinator::Settle(const Claim& aReadBack, ClaimActions& aActions)
{
  const auto pending = m_pending.find(aReadBack.m_id);
  if (pending == m_pending.end()) {
    return;
  }
  m_pending.erase(pending);
  if (m_table.HasWon(aReadBack)) {
    aActions.emplace_back(ClaimWon{ aReadBack.m_id });
    return;
  }
  QueueRelease(aReadBack.m_id);
  const auto holder = m_table.Find(aReadBack.m_key);
  if (holder && holder->m_claim.m_id != aReadBack.m_id) {
    aActions.emplace_back(ClaimLost{ aReadBack.m_id, *holder });
  } else {
    aActions.emplace_back(ClaimUnsettled{ aReadBack.m_id });
  }
}

ClaimActions ClaimCoordinator::OnTick(base::TimePoint aNow)
{
  ClaimActions actions;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (aNow < it->second.m_deadline) {
      ++it;
      continue;
    }
    // The claim may still reach the log later, so it is released without waiting to read it.
    m_releases.emplace(it->first, Release{ it->first });
    actions.emplace_back(ClaimUnsettled{ it->first });
    it = m_pending.erase(it);
  }
  if (!m_appending && m_queued.empty()) {
    for (const auto& [id, release] : m_releases) {
      m_queued.emplace_back(release);
    }
  }
  for (ClaimAction& action : AppendIfIdle()) {
    actions.push_back(std::move(action));
  }
  return actions;
}

ClaimActions ClaimCoordinator::AppendIfIdle()
{
  if (m_appending || m_queued.empty()) {
    return {};
  }
  m_appending = true;
  m_inFlight = std::exchange(m_queued, {});
  return { AppendBatch{ m_inFlight } };
}

} // namespace ferrytray::once
