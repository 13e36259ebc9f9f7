#include "ferrytray/keeper/operator_pages.hpp"

#include <utility> // for move

#include "ferrytray/keeper/status_json.hpp" // for StatusJson

namespace ferrytray::keeper {

namespace {

void SendText(net::HttpReply& aReply, int aStatus, std::string aText)
{
  aReply.Send(aStatus, { { "Content-Type", "text/plain" } }, std::move(aText));
}

} // namespace

OperatorPages::OperatorPages(const OperatorView& aView, std::function<void()> aOnDrainStarted)
  : m_view(aView)
  , m_onDrainStarted(std::move(aOnDrainStarted))
{
}

void OperatorPages::Handle(const net::HttpRequest& aRequest,
                           net::HttpReply& aReply,
                           const membership::MemberTable& aMembers)
{
  if (aRequest.m_path == "/healthz") {
    SendText(aReply, 200, "ok\n");
  } else if (aRequest.m_path == "/readyz") {
    const bool ready = m_view.m_config.Ready();
    SendText(aReply, ready ? 200 : 503, ready ? "ready\n" : "no configuration yet\n");
  } else if (aRequest.m_path == "/metrics") {
    SendText(aReply, 200, Metrics(aMembers));
  } else if (aRequest.m_path == "/status") {
    aReply.Send(200, { { "Content-Type", "application/json" } }, Status(aMembers));
  } else if (aRequest.m_path == "/drain" && aRequest.m_method == "POST") {
    Drain(aRequest, aReply);
  } else {
    SendText(aReply, 404, "no such path\n");
  }
}

std::string OperatorPages::Metrics(const membership::MemberTable& aMembers) const
{
  telemetry::Metrics& metrics = m_view.m_metrics;
  metrics.Set("members_live", static_cast<double>(aMembers.Live().size()));
  metrics.Set("config_position", static_cast<double>(m_view.m_config.Replay().Position()));
  metrics.Set("http_bytes_total", static_cast<double>(m_view.m_http.Counters().m_bytes));
  metrics.Set("log_reachable", m_view.m_config.LogReachable() ? 1 : 0);
  return metrics.Render();
}

std::string OperatorPages::Status(const membership::MemberTable& aMembers) const
{
  return StatusJson({ m_view.m_host,
                      m_view.m_config.Replay(),
                      m_view.m_config.Ready(),
                      m_view.m_config.LogReachable(),
                      aMembers.Live(),
                      m_view.m_endpoints.Endpoints(base::MonotonicNow()) });
}

void OperatorPages::Drain(const net::HttpRequest& aRequest, net::HttpReply& aReply)
{
  const std::string wanted = aRequest.QueryValue("endpoint");
  for (const wire::EndpointStatus& endpoint : m_view.m_endpoints.Endpoints(base::MonotonicNow())) {
    if (endpoint.m_host.m_name == wanted) {
      m_view.m_endpoints.MarkLeaving(wanted, endpoint.m_host.m_incarnation);
      m_onDrainStarted();
      aReply.Send(200, {}, "draining\n");
      return;
    }
  }
  aReply.Send(404, {}, "no such endpoint\n");
}

} // namespace ferrytray::keeper
