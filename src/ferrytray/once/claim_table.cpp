#include "ferrytray/once/claim_table.hpp"

#include <algorithm> // for find_if

namespace ferrytray::once {

namespace {

auto HasId(const base::Digest128& aId)
{
  return [aId](const LiveClaim& aLive) { return aLive.m_claim.m_id == aId; };
}

} // namespace

void ClaimTable::Apply(const LogPosition& aPosition, std::span<const ClaimEntry> aEntries)
{
  Expire(aPosition.m_time);
  for (const ClaimEntry& entry : aEntries) {
    std::visit([&](const auto& aEntry) { ApplyEntry(aPosition, aEntry); }, entry);
  }
}

void ClaimTable::ApplyEntry(const LogPosition& aPosition, const Claim& aClaim)
{
  if (m_releasedIds.contains(aClaim.m_id) || m_keyOfClaim.contains(aClaim.m_id)) {
    return;
  }
  std::vector<LiveClaim>& live = m_claimsByKey[aClaim.m_key];
  live.push_back({ aClaim, aPosition, live.empty(), false });
  m_keyOfClaim.emplace(aClaim.m_id, aClaim.m_key);
  m_expiryQueue.push_back({ aPosition.m_time + m_window, aClaim.m_id });
}

void ClaimTable::ApplyEntry(const LogPosition& aPosition, const Release& aRelease)
{
  Remove(aRelease.m_id);
  if (m_releasedIds.insert(aRelease.m_id).second) {
    m_expiryQueue.push_back({ aPosition.m_time + m_window, aRelease.m_id });
  }
}

void ClaimTable::ApplyEntry(const LogPosition&, const Done& aDone)
{
  const auto key = m_keyOfClaim.find(aDone.m_id);
  if (key == m_keyOfClaim.end()) {
    return;
  }
  std::vector<LiveClaim>& live = m_claimsByKey.at(key->second);
  std::find_if(live.begin(), live.end(), HasId(aDone.m_id))->m_done = true;
}

void ClaimTable::Expire(base::Duration aTime)
{
  while (!m_expiryQueue.empty() && m_expiryQueue.front().m_expiresAt <= aTime) {
    const base::Digest128 id = m_expiryQueue.front().m_id;
    m_expiryQueue.pop_front();
    // An id that was claimed and then released is queued twice; its release already removed the
    // claim.
    m_releasedIds.erase(id);
    Remove(id);
  }
}

void ClaimTable::Remove(const base::Digest128& aId)
{
  const auto key = m_keyOfClaim.find(aId);
  if (key == m_keyOfClaim.end()) {
    return;
  }
  std::vector<LiveClaim>& live = m_claimsByKey.at(key->second);
  std::erase_if(live, HasId(aId));
  if (live.empty()) {
    m_claimsByKey.erase(key->second);
  }
  m_keyOfClaim.erase(key);
}

std::optional<LiveClaim> ClaimTable::Find(const base::Digest128& aKey) const
{
  const auto found = m_claimsByKey.find(aKey);
  return found == m_claimsByKey.end() ? std::nullopt : std::optional(found->second.front());
}

bool ClaimTable::HasWon(const Claim& aClaim) const
{
  const auto found = m_claimsByKey.find(aClaim.m_key);
  if (found == m_claimsByKey.end()) {
    return false;
  }
  const std::vector<LiveClaim>& live = found->second;
  const auto mine = std::find_if(live.begin(), live.end(), HasId(aClaim.m_id));
  return mine != live.end() && mine->m_won;
}

} // namespace ferrytray::once
