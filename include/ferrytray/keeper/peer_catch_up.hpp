#pragma once

#include <span>   // for span
#include <string> // for string

#include "ferrytray/keeper/config_sync.hpp" // for ConfigSync
#include "ferrytray/membership/member.hpp"  // for Member
#include "ferrytray/net/loop.hpp"           // for Loop

namespace ferrytray::keeper {

/// @brief Requests the configuration from a peer with a higher position, so that a host that
/// cannot reach the log still receives changes.
class PeerCatchUp
{
public:
  /// @brief Keeps references to the loop and the configuration, which must outlive this object.
  /// @param aHost this host's name
  PeerCatchUp(net::Loop& aLoop, ConfigSync& aConfig, std::string aHost);
  /// @brief Sends a request to one peer, unless the log is reachable or a request is pending.
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
