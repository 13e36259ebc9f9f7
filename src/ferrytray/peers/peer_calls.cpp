// Calls between hosts, by path.
#include "ferrytray/peers/peer_exchange.hpp"

#include <utility> // for move

namespace ferrytray::peers {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

void PeerExchange::HandleRequest(const net::HttpRequest& aRequest,
                                 const std::shared_ptr<net::HttpReply>& aReply)
{
  if (aRequest.m_path == kPlacementPath) {
    HandlePlacementRequest(aRequest, aReply);
  } else if (aRequest.m_path == kPermitPath) {
    HandlePermitRequest(aRequest, aReply);
  } else if (aRequest.m_path == kSlotPath) {
    HandleSlotRequest(aRequest, aReply);
  } else if (aRequest.m_path == kForwardPath) {
    HandleForwardedRequest(aRequest, aReply);
  } else {
    HandleSyncRequest(aRequest, aReply);
  }
}

void PeerExchange::HandleForwardedRequest(const net::HttpRequest& aRequest,
                                          const std::shared_ptr<net::HttpReply>& aReply)
{
  if (m_leaving || m_stopped || !m_onForwarded) {
    aReply->Send(kUnavailable, {}, "this host accepts no forwarded requests");
    return;
  }
  m_onForwarded(aRequest, aReply);
}

std::vector<Peer> PeerExchange::ReachableHosts(base::TimePoint aNow) const
{
  return m_hostsKnown && !m_stopped ? m_roster->ReachableHosts(aNow) : std::vector<Peer>();
}

void PeerExchange::SendCall(const Peer& aPeer,
                            std::string_view aPath,
                            std::string aBody,
                            base::Duration aTimeout,
                            std::function<void(const base::Result<std::string>&)> aDone)
{
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aPeer.m_address + std::string(aPath);
  request.m_headers = { { "Content-Type", "application/octet-stream" } };
  request.m_body = std::move(aBody);
  request.m_match = net::InOrder(); // hosts send one reply to each request
  request.m_connectTimeout = aTimeout;
  request.m_timeout = aTimeout;
  m_client.Fetch(
    std::move(request),
    [done = std::move(aDone)](const net::ClientOutcome& aOutcome, const std::string& aReply) {
      if (aOutcome.m_end == net::WireEnd::Complete && aOutcome.m_status == kOk) {
        done(aReply);
        return;
      }
      done(base::Fail(base::ErrorCode::EndpointUnreachable,
                      "status " + std::to_string(aOutcome.m_status) + ", " + aOutcome.m_detail));
    });
}

} // namespace ferrytray::peers
