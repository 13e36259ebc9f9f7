#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <string>     // for string

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/net/frame_channel.hpp" // for FrameServer

namespace ferrytray::gate {

/// @brief Transfers this gate's tickets to a peer on a planned stop and accepts those of peers.
class TicketTransfer
{
public:
  explicit TicketTransfer(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Accepts ticket tables from known members. @return ListenFailed if the address is in use
  base::Result<void> Listen();
  [[nodiscard]] net::Address ControlAddress() const { return m_server->ListenAddress(); }
  /// @brief Freezes the ticket table and sends it to one peer; retries go to the same peer.
  /// @param aDone called on acknowledgement, on timeout, or if there are no tickets or no peer
  void TransferToPeer(std::function<void()> aDone);

private:
  void OnChannel(const std::shared_ptr<net::FrameChannel>& aChannel);
  void AcceptTable(const wire::TicketHandover& aTable, net::FrameChannel& aChannel);
  void SendTo(const net::Address& aPeer);
  void Finish();

  GateCore& m_core;
  std::unique_ptr<net::FrameServer> m_server;
  std::string m_frame;
  std::function<void()> m_done;
  net::TimerHandle m_retryTimer;
  net::TimerHandle m_transferTimeout;
};

} // namespace ferrytray::gate
