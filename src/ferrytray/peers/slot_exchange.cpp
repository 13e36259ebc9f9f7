// Slots of brittle endpoints: requests to the host that issues them, and requests of other hosts.
#include "ferrytray/peers/peer_exchange.hpp"

#include <utility> // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

} // namespace

void PeerExchange::RequestSlots(const Peer& aPeer,
                                const limits::SlotRequest& aRequest,
                                std::function<void(std::optional<SlotReply>)> aDone)
{
  SendCall(
    aPeer,
    kSlotPath,
    Encode(aRequest),
    m_options.m_permitTimeout,
    [host = aPeer.m_name, done = std::move(aDone)](const base::Result<std::string>& aBody) {
      const base::Result<SlotReply> reply = aBody.and_then(DecodeSlotReply);
      if (reply) {
        done(*reply);
        return;
      }
      telemetry::LogLine("slots_missed").Add("host", host).Add("why", reply.error().m_message);
      done(std::nullopt);
    });
}

void PeerExchange::HandleSlotRequest(const net::HttpRequest& aRequest,
                                     const std::shared_ptr<net::HttpReply>& aReply)
{
  const base::Result<limits::SlotRequest> slotRequest = DecodeSlotRequest(aRequest.m_body);
  if (!slotRequest) {
    aReply->Send(kBadRequest, {}, slotRequest.error().m_message);
    return;
  }
  if (m_leaving || m_stopped || !m_onSlotRequest) {
    aReply->Send(kUnavailable, {}, "this host does not issue slots");
    return;
  }
  aReply->Send(
    kOk, { { "Content-Type", "application/octet-stream" } }, Encode(m_onSlotRequest(*slotRequest)));
}

} // namespace ferrytray::peers
