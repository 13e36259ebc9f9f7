#pragma once

#include <span>   // for span
#include <string> // for string

#include "ferrytray/keeper/config_sync.hpp" // for ConfigSync
#include "ferrytray/membership/member.hpp"  // for Member
#include "ferrytray/net/loop.hpp"           // for Loop

namespace ferrytray::keeper {

/// @brief Asks a peer that is ahead for its configuration, so that a host that is cut off from the
/// log still learns.
class PeerCatchUp
{
public:
  /// Keeps references to the loop and the configuration.
  /// @param aHost this host's name
  PeerCatchUp(net::Loop& aLoop, ConfigSync& aConfig, std::string aHost);
  /// @brief Asks one peer, unless the log answers or a peer has not answered yet.
  void RequestStateIfBehind(std::span<const membership::Member> aLive);

private:
  void RequestState(const net::Address& aPeer, std::uint64_t aOwnPosition);

  net::Loop& m_loop;
  ConfigSync& m_config;
  std::string m_host;
  net::TimerHandle m_timeoutTimer;
  bool m_requestPending = false;
};

} // namespace ferrytray::keeper
