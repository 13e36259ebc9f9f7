#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <string>     // for string

#include "ferrytray/gate/gate_core.hpp"    // for GateCore
#include "ferrytray/net/frame_channel.hpp" // for FrameServer

namespace ferrytray::gate {

/// @brief Gives this gate's tickets to one peer on a planned stop, and takes a peer's.
class TicketTransfer
{
public:
  explicit TicketTransfer(GateCore& aCore)
    : m_core(aCore)
  {
  }

  /// @brief Takes tables from known members. @return ListenFailed when the address is taken
  base::Result<void> Listen();
  [[nodiscard]] net::Address ControlAddress() const { return m_server->ListenAddress(); }
  /// @brief Freezes the table and sends it to one named peer, again and again to that one alone.
  /// @param aDone called when the peer has it, or when there is no peer or no more time
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
