#include "ferrytray/gate/operator_requests.hpp"

#include <utility> // for move

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

const std::string kHandoverPrefix = "/handover/";
const std::string kExplainPrefix = "/explain/";

bool SendText(net::HttpReply& aReply, int aStatus, std::string aText)
{
  aReply.Send(aStatus, { { "Content-Type", "text/plain" } }, std::move(aText));
  return true;
}

std::string RenderMetrics(GateCore& aCore, const net::HttpServerCounters& aCounters)
{
  telemetry::Metrics& metrics = aCore.m_metrics;
  metrics.Set("open_requests", static_cast<double>(aCore.m_openWork));
  metrics.Set("open_connections", static_cast<double>(aCounters.m_accepted - aCounters.m_closed));
  metrics.Set("connections_without_request_total",
              static_cast<double>(aCounters.m_closedBeforeRequest));
  metrics.Set("endpoints_known", static_cast<double>(aCore.m_view.Endpoints().size()));
  metrics.Set("tickets", static_cast<double>(aCore.m_tickets.Size()));
  metrics.Set("held_keys", static_cast<double>(aCore.m_claims.HeldKeys()));
  metrics.Set("config_position", static_cast<double>(aCore.m_keeper->Position()));
  metrics.Set("config_may_be_behind", aCore.m_keeper->MayBeBehind(base::MonotonicNow()) ? 1 : 0);
  metrics.Set("keeper_connected", aCore.m_keeper->Connected() ? 1 : 0);
  return metrics.Render();
}

bool SendEpoch(const GateCore& aCore, const std::string& aRule, net::HttpReply& aReply)
{
  const auto epochs = aCore.m_keeper->Epochs(aRule);
  const nlohmann::json body{ { "epoch", epochs ? epochs->m_given : 0 } };
  aReply.Send(200, { { "Content-Type", "application/json" } }, body.dump());
  return true;
}

} // namespace

bool HandleOperatorRequest(GateCore& aCore,
                           const net::HttpServerCounters& aCounters,
                           bool aDraining,
                           const net::HttpRequest& aRequest,
                           const std::shared_ptr<net::HttpReply>& aReply)
{
  const std::string& path = aRequest.m_path;
  if (path == "/healthz") {
    return SendText(*aReply, 200, "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = !aDraining && aCore.m_keeper->HasConfig() && aCore.m_view.Ready();
    return SendText(*aReply, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics") {
    return SendText(*aReply, 200, RenderMetrics(aCore, aCounters));
  }
  if (path.starts_with(kHandoverPrefix)) {
    return SendEpoch(aCore, path.substr(kHandoverPrefix.size()), *aReply);
  }
  if (path.starts_with(kExplainPrefix)) {
    const std::string found = aCore.m_decisions.Explain(path.substr(kExplainPrefix.size()));
    return SendText(*aReply,
                    found.empty() ? 404 : 200,
                    found.empty() ? "no decision is recorded for this request\n" : found);
  }
  return false;
}

} // namespace ferrytray::gate
