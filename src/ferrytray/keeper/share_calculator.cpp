#include "ferrytray/keeper/share_calculator.hpp"

#include <algorithm> // for sort

#include "ferrytray/limits/account_limiter.hpp" // for ComputeShare

namespace ferrytray::keeper {

namespace {

constexpr base::Duration kDemandExpiry = std::chrono::seconds(10);

} // namespace

void ShareCalculator::OnOwnDemand(const std::vector<std::pair<std::string, double>>& aDemand)
{
  m_ownDemand = { aDemand.begin(), aDemand.end() };
}

void ShareCalculator::OnPeerDemand(const std::string& aHost,
                                   const std::vector<membership::DemandDigest>& aDemand,
                                   base::TimePoint aNow)
{
  PeerDemand& peer = m_peerDemand[aHost];
  peer.m_receivedAt = aNow;
  peer.m_perSecond.clear();
  for (const membership::DemandDigest& digest : aDemand) {
    peer.m_perSecond[digest.m_account] = digest.m_perSecond;
  }
}

std::vector<membership::DemandDigest> ShareCalculator::Digest(std::size_t aCount) const
{
  std::vector<membership::DemandDigest> digests;
  for (const auto& [account, perSecond] : m_ownDemand) {
    digests.push_back({ account, static_cast<float>(perSecond) });
  }
  std::sort(digests.begin(), digests.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.m_perSecond > aRight.m_perSecond;
  });
  digests.resize(std::min(digests.size(), aCount));
  return digests;
}

wire::ShareUpdate ShareCalculator::Shares(std::uint32_t aGates, base::TimePoint aNow) const
{
  const limits::ShareOptions options;
  std::map<std::string, double> totals = m_ownDemand;
  for (const auto& [host, peer] : m_peerDemand) {
    if (aNow - peer.m_receivedAt > kDemandExpiry) {
      continue;
    }
    for (const auto& [account, perSecond] : peer.m_perSecond) {
      totals[account] += perSecond;
    }
  }
  wire::ShareUpdate update;
  update.m_default = limits::ComputeShare(0, 0, aGates, options);
  for (const auto& [account, totalDemand] : totals) {
    const auto own = m_ownDemand.find(account);
    const double ownDemand = own == m_ownDemand.end() ? 0 : own->second;
    update.m_shares.emplace_back(account,
                                 limits::ComputeShare(ownDemand, totalDemand, aGates, options));
  }
  return update;
}

} // namespace ferrytray::keeper
