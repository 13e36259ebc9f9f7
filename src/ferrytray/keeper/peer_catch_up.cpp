#include "ferrytray/keeper/peer_catch_up.hpp"

#include <utility> // for move

#include "ferrytray/net/frame_channel.hpp" // for ConnectFrameChannel
#include "ferrytray/wire/frames.hpp"       // for DecodeFrame, EncodeFrame, Hello

namespace ferrytray::keeper {

namespace {

/// A peer on the same network replies within milliseconds. After the timeout, the next round
/// sends a new request.
constexpr base::Duration kReplyTimeout = std::chrono::seconds(2);

} // namespace

PeerCatchUp::PeerCatchUp(net::Loop& aLoop, ConfigSync& aConfig, std::string aHost)
  : m_loop(aLoop)
  , m_config(aConfig)
  , m_host(std::move(aHost))
{
}

void PeerCatchUp::RequestStateIfBehind(std::span<const membership::Member> aLive)
{
  const std::uint64_t ownPosition = m_config.Replay().Position();
  const bool currentFromLog = m_config.LogReachable() && m_config.Ready();
  if (currentFromLog || m_requestPending) {
    return;
  }
  for (const membership::Member& member : aLive) {
    const bool ahead = member.m_position > ownPosition || !m_config.Ready();
    if (member.m_host == m_host || member.m_control.empty() || !ahead) {
      continue;
    }
    const auto address = net::ParseAddress(member.m_control);
    if (address) {
      RequestState(*address, ownPosition);
      return;
    }
  }
}

void PeerCatchUp::RequestState(const net::Address& aPeer, std::uint64_t aOwnPosition)
{
  m_requestPending = true;
  net::ConnectFrameChannel(
    m_loop, aPeer, [this, aOwnPosition](const std::shared_ptr<net::FrameChannel>& aChannel) {
      if (!aChannel) {
        m_requestPending = false;
        return;
      }
      const std::weak_ptr<net::FrameChannel> weak = aChannel;
      m_timeoutTimer = m_loop.After(kReplyTimeout, [weak] {
        if (const auto channel = weak.lock()) {
          channel->Close();
        }
      });
      aChannel->OnClosed([this] { m_requestPending = false; });
      aChannel->OnFrame([this, weak](std::string_view aBytes) {
        const auto frame = wire::DecodeFrame(aBytes);
        if (frame && std::holds_alternative<wire::StateUpdate>(*frame)) {
          m_config.OnPeerState(std::get<wire::StateUpdate>(*frame));
        }
        if (const auto channel = weak.lock()) {
          channel->Close();
        }
      });
      aChannel->Send(wire::EncodeFrame(wire::Hello{ m_host, false, aOwnPosition }));
    });
}

} // namespace ferrytray::keeper
