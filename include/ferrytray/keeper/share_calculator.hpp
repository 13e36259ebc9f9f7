#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/base/time.hpp"         // for TimePoint
#include "ferrytray/membership/member.hpp" // for DemandDigest
#include "ferrytray/wire/frames.hpp"       // for ShareUpdate

namespace ferrytray::keeper {

/// @brief What each host's gate saw of each account, and the shares that follow from it.
class ShareCalculator
{
public:
  /// @brief This host's gate reported its demand (requests a second by account).
  void OnOwnDemand(const std::vector<std::pair<std::string, double>>& aDemand);
  /// @brief A peer's digest came.
  void OnPeerDemand(const std::string& aHost,
                    const std::vector<membership::DemandDigest>& aDemand,
                    base::TimePoint aNow);
  /// @brief The heaviest accounts here, for the next datagram.
  [[nodiscard]] std::vector<membership::DemandDigest> Digest(std::size_t aCount) const;
  /// @brief This host's share of every account heard of.
  /// @param aGates live hosts, this one included
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
