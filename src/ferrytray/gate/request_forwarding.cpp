#include "ferrytray/gate/request_forwarding.hpp"

#include "ferrytray/gate/answer_format.hpp" // for SendError

namespace ferrytray::gate {

namespace {

/// State of a request that is being forwarded.
struct ForwardedRequest
{
  std::shared_ptr<net::HttpReply> m_reply;
  std::string m_requestId;
  int m_status = 0;
  bool m_streaming = false;
};

net::Headers ForwardedHeaders(const net::HttpRequest& aRequest, const std::string& aRequestId)
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

void OnChunk(ForwardedRequest& aForwarded, std::string_view aBytes)
{
  if (!aForwarded.m_streaming) {
    aForwarded.m_streaming = true;
    const char* type = aBytes.substr(0, 5) == "data:" ? "text/event-stream" : "application/json";
    aForwarded.m_reply->StartStream(
      aForwarded.m_status,
      { { "Content-Type", type }, { "X-Request-Id", aForwarded.m_requestId } });
  }
  aForwarded.m_reply->Write(std::string(aBytes));
}

void OnForwardEnd(ForwardedRequest& aForwarded, const net::ClientOutcome& aOutcome)
{
  const bool complete = aOutcome.m_end == net::WireEnd::Complete;
  // The other gate may have run it earlier, so the run state is unknown even if nothing was sent.
  const base::Failure failure{ base::ErrorCode::TicketUnknown,
                               "the gate that holds the state of this request did not respond",
                               base::RunState::Unknown,
                               {} };
  if (aForwarded.m_streaming && complete) {
    aForwarded.m_reply->Finish();
  } else if (aForwarded.m_streaming) {
    aForwarded.m_reply->Abort(); // the response may have broken off anywhere, also within an event
  } else if (complete) {
    aForwarded.m_reply->Send(aForwarded.m_status, {}, "");
  } else {
    SendError(*aForwarded.m_reply, failure, aForwarded.m_requestId);
  }
}

} // namespace

void ForwardRequest(GateCore& aCore,
                    const std::string& aAddress,
                    const net::HttpRequest& aRequest,
                    const std::string& aRequestId,
                    std::shared_ptr<net::HttpReply> aReply)
{
  net::ClientRequest request;
  request.m_method = aRequest.m_method;
  request.m_url = "http://" + aAddress + aRequest.m_path +
                  (aRequest.m_query.empty() ? "" : "?" + aRequest.m_query);
  request.m_headers = ForwardedHeaders(aRequest, aRequestId);
  request.m_body = aRequest.m_body;
  request.m_timeout = aCore.m_options.m_maxDeadline;
  auto forwarded =
    std::make_shared<ForwardedRequest>(ForwardedRequest{ std::move(aReply), aRequestId });
  net::ClientEvents events;
  events.m_onStatus = [forwarded](int aStatus) { forwarded->m_status = aStatus; };
  events.m_onData = [forwarded](std::string_view aBytes) { OnChunk(*forwarded, aBytes); };
  events.m_onEnd = [forwarded](const net::ClientOutcome& aOutcome) {
    OnForwardEnd(*forwarded, aOutcome);
  };
  aCore.m_metrics.Count("requests_passed_on_total");
  aCore.m_http->Start(std::move(request), std::move(events));
}

} // namespace ferrytray::gate
