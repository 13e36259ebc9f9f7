#include "ferrytray/keeper/share_board.hpp"

#include <algorithm> // for sort

#include "ferrytray/limits/account_limiter.hpp" // for ShareOf

namespace ferrytray::keeper {

namespace {

constexpr base::Duration kForgetAfter = std::chrono::seconds(10);

} // namespace

void ShareBoard::OnOwnDemand(const std::vector<std::pair<std::string, double>>& aDemand)
{
  m_own = { aDemand.begin(), aDemand.end() };
}

void ShareBoard::OnPeerDemand(const std::string& aHost,
                              const std::vector<membership::DemandDigest>& aDemand,
                              base::TimePoint aNow)
{
  PeerDemand& peer = m_peers[aHost];
  peer.m_heard = aNow;
  peer.m_perSecond.clear();
  for (const membership::DemandDigest& digest : aDemand) {
    peer.m_perSecond[digest.m_account] = digest.m_perSecond;
  }
}

std::vector<membership::DemandDigest> ShareBoard::Digest(std::size_t aCount) const
{
  std::vector<membership::DemandDigest> digests;
  for (const auto& [account, perSecond] : m_own) {
    digests.push_back({ account, static_cast<float>(perSecond) });
  }
  std::sort(digests.begin(), digests.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.m_perSecond > aRight.m_perSecond;
  });
  digests.resize(std::min(digests.size(), aCount));
  return digests;
}

wire::ShareUpdate ShareBoard::Shares(std::uint32_t aGates, base::TimePoint aNow) const
{
  const limits::ShareOptions options;
  std::map<std::string, double> total = m_own;
  for (const auto& [host, peer] : m_peers) {
    if (aNow - peer.m_heard > kForgetAfter) {
      continue;
    }
    for (const auto& [account, perSecond] : peer.m_perSecond) {
      total[account] += perSecond;
    }
  }
  wire::ShareUpdate update;
  update.m_default = limits::ComputeShare(0, 0, aGates, options);
  for (const auto& [account, all] : total) {
    const auto own = m_own.find(account);
    const double mine = own == m_own.end() ? 0 : own->second;
    update.m_shares.emplace_back(account, limits::ComputeShare(mine, all, aGates, options));
  }
  return update;
}

} // namespace ferrytray::keeper
