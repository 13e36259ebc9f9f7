#include "ferrytray/gate/ticket_transfer.hpp"

#include <algorithm> // for any_of

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr base::Duration kRetryInterval = std::chrono::milliseconds(500);
constexpr base::Duration kTransferTimeout = std::chrono::seconds(20);

} // namespace

base::Result<void> TicketTransfer::Listen()
{
  auto server = net::FrameServer::Create(m_core.m_loop,
                                         m_core.m_options.m_control,
                                         [this](const auto& aChannel) { OnChannel(aChannel); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  return {};
}

void TicketTransfer::OnChannel(const std::shared_ptr<net::FrameChannel>& aChannel)
{
  const std::string ip = aChannel->RemoteIp();
  const auto& members = m_core.m_keeper->Members();
  const bool isMember =
    std::any_of(members.begin(), members.end(), [&](const membership::Member& aMember) {
      return aMember.m_gossip.substr(0, aMember.m_gossip.rfind(':')) == ip;
    });
  if (!isMember) {
    m_core.m_metrics.Count("ticket_tables_refused_total");
    m_core.m_loop.Post([aChannel] { aChannel->Close(); });
    return;
  }
  const std::weak_ptr<net::FrameChannel> weak = aChannel;
  aChannel->OnFrame([this, weak](std::string_view aBytes) {
    const auto frame = wire::DecodeFrame(aBytes);
    const auto channel = weak.lock();
    if (frame && channel && std::holds_alternative<wire::TicketHandover>(*frame)) {
      AcceptTable(std::get<wire::TicketHandover>(*frame), *channel);
    }
  });
  // The channel owns itself while it is reading.
}

void TicketTransfer::AcceptTable(const wire::TicketHandover& aTable, net::FrameChannel& aChannel)
{
  if (aTable.m_incarnations.empty()) {
    return;
  }
  const std::string& from = aTable.m_incarnations.front();
  m_core.m_tickets.Import(from, aTable.m_rows, base::MonotonicNow());
  for (const std::string& incarnation : aTable.m_incarnations) {
    m_core.m_tickets.Import(incarnation, {}, base::MonotonicNow());
  }
  telemetry::LogLine("tickets_taken").Add("from", from).Add("count", aTable.m_rows.size());
  m_core.m_keeper->ReportNow();
  aChannel.Send(wire::EncodeFrame(wire::TicketAck{ from }));
}

void TicketTransfer::TransferToPeer(std::function<void()> aDone)
{
  m_done = std::move(aDone);
  m_core.m_tickets.Freeze();
  const auto rows = m_core.m_tickets.Export(base::MonotonicNow());
  const membership::Member* peer = nullptr;
  for (const membership::Member& member : m_core.m_keeper->Members()) {
    const bool eligible = member.m_state == membership::MemberState::Alive &&
                          !member.m_gateControl.empty() && member.m_host != m_core.m_options.m_host;
    const bool better = peer == nullptr || member.m_zone == m_core.m_options.m_zone;
    if (eligible && better) {
      peer = &member;
    }
  }
  const auto address =
    peer == nullptr ? tl::unexpected(base::Failure{}) : net::ParseAddress(peer->m_gateControl);
  if (rows.empty() || !address) {
    Finish();
    return;
  }
  telemetry::LogLine("tickets_given").Add("to", peer->m_host).Add("count", rows.size());
  m_frame = wire::EncodeFrame(wire::TicketHandover{ m_core.m_tickets.Incarnations(), rows });
  m_transferTimeout = m_core.m_loop.After(kTransferTimeout, [this] { Finish(); });
  SendTo(*address);
}

void TicketTransfer::SendTo(const net::Address& aPeer)
{
  m_retryTimer = m_core.m_loop.After(kRetryInterval, [this, aPeer] { SendTo(aPeer); });
  net::ConnectFrameChannel(
    m_core.m_loop, aPeer, [this](const std::shared_ptr<net::FrameChannel>& aChannel) {
      if (!aChannel) {
        return;
      }
      aChannel->OnFrame([this](std::string_view aBytes) {
        const auto frame = wire::DecodeFrame(aBytes);
        if (frame && std::holds_alternative<wire::TicketAck>(*frame)) {
          Finish();
        }
      });
      aChannel->Send(m_frame);
    });
}

void TicketTransfer::Finish()
{
  m_retryTimer.reset();
  m_transferTimeout.reset();
  const auto done = std::exchange(m_done, nullptr);
  if (done) {
    done();
  }
}

} // namespace ferrytray::gate
