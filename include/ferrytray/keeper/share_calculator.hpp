#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/base/time.hpp"         // for TimePoint
#include "ferrytray/membership/member.hpp" // for DemandDigest
#include "ferrytray/wire/frames.hpp"       // for ShareUpdate

namespace ferrytray::keeper {

/// @brief Tracks each host's demand by account and computes this host's share of each account's
/// limits.
class ShareCalculator
{
public:
  /// @brief Records the demand reported by this host's gate, in requests per second by account.
  void OnOwnDemand(const std::vector<std::pair<std::string, double>>& aDemand);
  /// @brief Replaces the demand of a peer host with that of its latest digest.
  void OnPeerDemand(const std::string& aHost,
                    const std::vector<membership::DemandDigest>& aDemand,
                    base::TimePoint aNow);
  /// @brief Returns this host's aCount accounts with the highest demand, for the next datagram.
  [[nodiscard]] std::vector<membership::DemandDigest> Digest(std::size_t aCount) const;
  /// @brief Computes this host's share of every account with reported demand.
  /// @param aGates number of live hosts, including this one
  [[nodiscard]] wire::ShareUpdate Shares(std::uint32_t aGates, base::TimePoint aNow) const;

private:
  struct PeerDemand
  {
    base::TimePoint m_receivedAt;
    std::map<std::string, double> m_perSecond;
  };

  std::map<std::string, double> m_ownDemand;
  std::map<std::string, PeerDemand> m_peerDemand;
};

} // namespace ferrytray::keeper
