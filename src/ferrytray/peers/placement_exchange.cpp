// Placement of long prompts: sends requests to the host that places them, and handles those of
// other hosts.
#include "ferrytray/peers/peer_exchange.hpp"

#include <utility> // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

} // namespace

std::optional<Peer> PeerExchange::PlacementHost(const std::string& aZone,
                                                base::TimePoint aNow) const
{
  return m_hostsKnown && !m_stopped ? std::optional(m_roster->HighestRanked(aZone, aNow))
                                    : std::nullopt;
}

void PeerExchange::RequestPlacement(const Peer& aPeer,
                                    const PlacementRequest& aRequest,
                                    std::function<void(std::optional<PlacementReply>)> aDone)
{
  SendCall(
    aPeer,
    kPlacementPath,
    Encode(aRequest),
    m_options.m_placementTimeout,
    [host = aPeer.m_name, done = std::move(aDone)](const base::Result<std::string>& aBody) {
      base::Result<PlacementReply> reply = aBody.and_then(DecodePlacementReply);
      if (reply) {
        done(std::move(*reply));
        return;
      }
      telemetry::LogLine("placement_missed").Add("host", host).Add("why", reply.error().m_message);
      done(std::nullopt);
    });
}

void PeerExchange::HandlePlacementRequest(const net::HttpRequest& aRequest,
                                          const std::shared_ptr<net::HttpReply>& aReply) const
{
  const base::Result<PlacementRequest> placementRequest = DecodePlacementRequest(aRequest.m_body);
  if (!placementRequest) {
    aReply->Send(kBadRequest, {}, placementRequest.error().m_message);
    return;
  }
  if (m_leaving || m_stopped || !m_onPlacement) {
    aReply->Send(kUnavailable, {}, "this host does not place prompts");
    return;
  }
  aReply->Send(kOk,
               { { "Content-Type", "application/octet-stream" } },
               Encode(m_onPlacement(*placementRequest)));
}

} // namespace ferrytray::peers
