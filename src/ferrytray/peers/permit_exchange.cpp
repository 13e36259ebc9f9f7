// Permits for limited endpoints: which host issues them, requests to that host, and requests of
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

std::optional<Peer> PeerExchange::PermitIssuer(limits::EndpointKey aEndpoint,
                                               const std::string& aZone,
                                               const std::set<std::string>& aExcluded,
                                               base::TimePoint aNow) const
{
  if (!m_hostsKnown || m_stopped) {
    return std::nullopt;
  }
  std::set<std::string> excluded = aExcluded;
  if (m_leaving) {
    excluded.insert(m_options.m_name); // the other hosts use the next issuer, too
  }
  return m_roster->Issuer(std::to_string(aEndpoint), aZone, excluded, aNow);
}

bool PeerExchange::IsFirstPermitIssuer(limits::EndpointKey aEndpoint,
                                       const std::string& aZone) const
{
  return m_hostsKnown && m_roster->IsFirstIssuer(std::to_string(aEndpoint), aZone);
}

void PeerExchange::RequestPermits(const Peer& aPeer,
                                  const PermitRequest& aRequest,
                                  std::function<void(std::optional<PermitReply>)> aDone)
{
  SendCall(
    aPeer,
    kPermitPath,
    Encode(aRequest),
    m_options.m_permitTimeout,
    [host = aPeer.m_name, done = std::move(aDone)](const base::Result<std::string>& aBody) {
      const base::Result<PermitReply> reply = aBody.and_then(DecodePermitReply);
      if (reply) {
        done(*reply);
        return;
      }
      telemetry::LogLine("permit_missed").Add("host", host).Add("why", reply.error().m_message);
      done(std::nullopt);
    });
}

void PeerExchange::HandlePermitRequest(const net::HttpRequest& aRequest,
                                       const std::shared_ptr<net::HttpReply>& aReply)
{
  const base::Result<PermitRequest> permitRequest = DecodePermitRequest(aRequest.m_body);
  if (!permitRequest || !limits::IsRequestLimit(permitRequest->m_limit.m_limit)) {
    aReply->Send(kBadRequest, {}, "not a request for permits");
    return;
  }
  if (m_leaving || m_stopped || !m_onPermitRequest) {
    aReply->Send(kUnavailable, {}, "this host does not issue permits");
    return;
  }
  aReply->Send(kOk,
               { { "Content-Type", "application/octet-stream" } },
               Encode(m_onPermitRequest(*permitRequest)));
}

} // namespace ferrytray::peers
