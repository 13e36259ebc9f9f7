#include "ferrytray/once/claim_table.hpp"

#include <algorithm> // for find_if

namespace ferrytray::once {

namespace {

auto ById(const base::Digest128& aId)
{
  return [aId](const LiveClaim& aLive) { return aLive.m_claim.m_id == aId; };
}

} // namespace

void ClaimTable::Apply(const LogPosition& aAt, std::span<const ClaimEntry> aEntries)
{
  Expire(aAt.m_time);
  for (const ClaimEntry& entry : aEntries) {
    std::visit([&](const auto& aEntry) { ApplyEntry(aAt, aEntry); }, entry);
  }
}

void ClaimTable::ApplyEntry(const LogPosition& aAt, const Claim& aClaim)
{
  if (m_void.contains(aClaim.m_id) || m_keyOfClaim.contains(aClaim.m_id)) {
    return;
  }
  std::vector<LiveClaim>& live = m_live[aClaim.m_key];
  live.push_back({ aClaim, aAt, live.empty(), false });
  m_keyOfClaim.emplace(aClaim.m_id, aClaim.m_key);
  m_byAge.push_back({ aAt.m_time + m_window, aClaim.m_id });
}

void ClaimTable::ApplyEntry(const LogPosition& aAt, const Release& aRelease)
{
  Drop(aRelease.m_id);
  if (m_void.insert(aRelease.m_id).second) {
    m_byAge.push_back({ aAt.m_time + m_window, aRelease.m_id });
  }
}

void ClaimTable::ApplyEntry(const LogPosition&, const Done& aDone)
{
  const auto key = m_keyOfClaim.find(aDone.m_id);
  if (key == m_keyOfClaim.end()) {
    return;
  }
  std::vector<LiveClaim>& live = m_live.at(key->second);
  std::find_if(live.begin(), live.end(), ById(aDone.m_id))->m_done = true;
}

void ClaimTable::Expire(base::Duration aTime)
{
  while (!m_byAge.empty() && m_byAge.front().m_expires <= aTime) {
    const base::Digest128 id = m_byAge.front().m_id;
    m_byAge.pop_front();
    // An id stands twice when it was claimed and released; the release decides.
    m_void.erase(id);
    Drop(id);
  }
}

void ClaimTable::Drop(const base::Digest128& aId)
{
  const auto key = m_keyOfClaim.find(aId);
  if (key == m_keyOfClaim.end()) {
    return;
  }
  std::vector<LiveClaim>& live = m_live.at(key->second);
  std::erase_if(live, ById(aId));
  if (live.empty()) {
    m_live.erase(key->second);
  }
  m_keyOfClaim.erase(key);
}

std::optional<LiveClaim> ClaimTable::Find(const base::Digest128& aKey) const
{
  const auto found = m_live.find(aKey);
  return found == m_live.end() ? std::nullopt : std::optional(found->second.front());
}

bool ClaimTable::Won(const Claim& aClaim) const
{
  const auto found = m_live.find(aClaim.m_key);
  if (found == m_live.end()) {
    return false;
  }
  const std::vector<LiveClaim>& live = found->second;
  const auto mine = std::find_if(live.begin(), live.end(), ById(aClaim.m_id));
  return mine != live.end() && mine->m_won;
}

} // namespace ferrytray::once
