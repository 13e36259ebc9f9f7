#include "ferrytray/gate/pass_through.hpp"

#include "ferrytray/gate/answer_format.hpp" // for SendFailure

namespace ferrytray::gate {

namespace {

/// One request on its way through this gate to another.
struct Passing
{
  std::shared_ptr<net::HttpReply> m_reply;
  std::string m_requestId;
  int m_status = 0;
  bool m_streaming = false;
};

net::Headers HeadersToPass(const net::HttpRequest& aRequest, const std::string& aRequestId)
{
  net::Headers headers{ { "Ferrytray-Forwarded", "true" }, { "X-Request-Id", aRequestId } };
  for (const char* name : { "Authorization",
                            "Content-Type",
                            "Idempotency-Key",
                            "Ferrytray-Ticket",
                            "Ferrytray-Idempotent",
                            "Ferrytray-Deadline-Ms" }) {
    const std::string_view value = aRequest.Header(name);
    if (!value.empty()) {
      headers.emplace_back(name, std::string(value));
    }
  }
  return headers;
}

void OnPiece(Passing& aPassing, std::string_view aBytes)
{
  if (!aPassing.m_streaming) {
    aPassing.m_streaming = true;
    const char* type = aBytes.substr(0, 5) == "data:" ? "text/event-stream" : "application/json";
    aPassing.m_reply->StartStream(
      aPassing.m_status, { { "Content-Type", type }, { "X-Request-Id", aPassing.m_requestId } });
  }
  aPassing.m_reply->Write(std::string(aBytes));
}

void OnPassed(Passing& aPassing, const net::ClientOutcome& aOutcome)
{
  const bool whole = aOutcome.m_end == net::WireEnd::Complete;
  // The other gate may have run it before, so even a request that was not sent is not "not run".
  const base::Failure failure{ base::ErrorCode::TicketUnknown,
                               "the gate that would know did not answer",
                               base::RunState::Unknown,
                               {} };
  if (aPassing.m_streaming) {
    if (!whole) {
      aPassing.m_reply->Write(ErrorEvent(failure, aPassing.m_requestId));
    }
    aPassing.m_reply->Finish();
  } else if (whole) {
    aPassing.m_reply->Send(aPassing.m_status, {}, "");
  } else {
    SendFailure(*aPassing.m_reply, failure, aPassing.m_requestId);
  }
}

} // namespace

void PassToGate(GateCore& aCore,
                const std::string& aAddress,
                const net::HttpRequest& aRequest,
                const std::string& aRequestId,
                std::shared_ptr<net::HttpReply> aReply)
{
  net::ClientRequest request;
  request.m_method = aRequest.m_method;
  request.m_url = "http://" + aAddress + aRequest.m_path +
                  (aRequest.m_query.empty() ? "" : "?" + aRequest.m_query);
  request.m_headers = HeadersToPass(aRequest, aRequestId);
  request.m_body = aRequest.m_body;
  request.m_timeout = aCore.m_options.m_longestDeadline;
  // The home gate sees to it that nothing runs twice, but a resend would be refused as in use.
  request.m_freshConnection = true;
  auto passing = std::make_shared<Passing>(Passing{ std::move(aReply), aRequestId });
  net::ClientEvents events;
  events.m_onStatus = [passing](int aStatus) { passing->m_status = aStatus; };
  events.m_onData = [passing](std::string_view aBytes) { OnPiece(*passing, aBytes); };
  events.m_onEnd = [passing](const net::ClientOutcome& aOutcome) { OnPassed(*passing, aOutcome); };
  aCore.m_metrics.Count("requests_passed_on_total");
  aCore.m_http->Start(std::move(request), std::move(events));
}

} // namespace ferrytray::gate
