#include "ferrytray/relay/relay_host.hpp"

#include <ctime>   // for clock
#include <map>     // for map
#include <utility> // for exchange, move

#include "ferrytray/base/digest.hpp"            // for Hash64
#include "ferrytray/relay/endpoint_signals.hpp" // for BackoffEndsAt
#include "ferrytray/telemetry/log_line.hpp"     // for LogLine

namespace ferrytray::relay {

namespace {

peers::PeerExchangeOptions WithTopic(peers::PeerExchangeOptions aOptions,
                                     const RecordFormat& aRecords)
{
  aOptions.m_topic = aRecords.HostTopic();
  return aOptions;
}

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// These limits only bound memory; the limits for callers are in the configuration and change with
// it.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr base::Duration kCallerReadTimeout = std::chrono::seconds(75);

constexpr base::Duration kShutdownCheckInterval = std::chrono::milliseconds(50);

constexpr base::Duration kTrafficLogInterval = std::chrono::seconds(10);

constexpr base::Duration kExpiryInterval = std::chrono::seconds(1);

} // namespace

RelayHost::RelayHost(net::Loop& aLoop, const HostPorts& aPorts, HostOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_core(aLoop, aPorts.m_client, aPorts.m_wire, m_options.m_relay)
  , m_log(aPorts.m_log, m_core.m_metrics)
  , m_front(m_core)
  , m_feeds(m_core, m_log, aPorts.m_records, m_options.m_feeds)
  , m_quarantine(m_core, m_log, aPorts.m_records.QuarantineTopic(), m_options.m_feeds)
  , m_stores(m_core, aPorts.m_stores)
  , m_peerExchange(aLoop,
                   aPorts.m_client,
                   m_log,
                   { m_core.m_stores,
                     m_core.m_peerLoads,
                     m_core.m_reloads,
                     m_core.m_crashes,
                     m_core.m_endpointLimits,
                     m_core.m_announcedLeaving,
                     m_core.m_reportedBackoffs,
                     m_core.m_brittleServices },
                   WithTopic(m_options.m_peers, aPorts.m_records))
  , m_dispatcher(m_core, m_peerExchange)
  , m_permitClient(m_core, m_peerExchange)
  , m_slotClient(m_core, m_peerExchange)
  , m_prober(m_core)
  , m_forwarder(
      m_core,
      [this] { return m_peerExchange.ReachableHosts(base::MonotonicNow()); },
      std::string(peers::PeerExchange::kForwardPath))
  , m_forwardReceiver(m_core)
  , m_crashReporter(m_core)
  , m_upkeep(m_core, aPorts.m_freer)
  , m_rollout(aLoop,
              m_log,
              m_core.m_directory,
              aPorts.m_engineClient,
              m_core.m_desiredWeights,
              m_options.m_rollout)
{
}

base::Result<void> RelayHost::Start()
{
  base::Result<void> listening = Listen();
  if (!listening) {
    return listening;
  }
  m_peerExchange.OnReaderChange([this](bool aIsReader) {
    m_stores.SetReader(aIsReader);
    m_rollout.SetStandby(!aIsReader);
  });
  for (auto& topic : m_feeds.Topics()) {
    m_peerExchange.AddTopic(std::move(topic));
  }
  m_peerExchange.AddTopic(m_quarantine.Topic());
  m_core.m_options.m_hostKey = base::Hash64("host", m_options.m_peers.m_name);
  m_core.m_dispatcher = &m_dispatcher;
  m_core.m_permitClient = &m_permitClient;
  m_core.m_slotClient = &m_slotClient;
  m_core.m_forwarder = &m_forwarder;
  m_core.m_crashReporter = &m_crashReporter;
  m_prober.OnStateChange(
    [this](routing::Reachability) { m_rollout.SetPaused(!m_core.m_reachability.CanConnect()); });
  m_peerExchange.OnForwarded(
    [this](const net::HttpRequest& aRequest, std::shared_ptr<net::HttpReply> aReply) {
      m_forwardReceiver.Handle(aRequest, std::move(aReply));
    });
  m_core.m_onEndpointReplaced = [this](const std::string& aIncarnation) {
    m_peerExchange.ReportReplaced(aIncarnation);
  };
  m_peerExchange.OnReplaced([this](peers::IncarnationKey aKey) { OnEndpointReplaced(aKey); });
  m_peerExchange.OnLeaving([this](peers::IncarnationKey aKey) { OnEndpointLeaving(aKey); });
  m_core.m_isAmongFirstHosts = [this](const std::string& aName, std::size_t aFirst) {
    return m_peerExchange.IsAmongFirst(aName, aFirst);
  };
  m_peerExchange.SetOwnLoadsProvider([this] { return LocalLoads(); });
  m_peerExchange.OnReloads([this] { m_rollout.NoteOrderByOtherHost(base::MonotonicNow()); });
  m_feeds.OnConfigured([this] {
    m_stores.OnConfiguration();
    if (!m_core.m_crashesLoaded && !m_quarantineLoadTimer) {
      StartQuarantineLoadTimer();
    }
  });
  StartQuarantine();
  if (base::Result<void> started = m_peerExchange.Start(); !started) {
    return started;
  }
  m_rollout.SetStandby(true); // until this host is known to be one of the readers
  m_rollout.AddDuty(m_upkeep);
  m_rollout.SetBackoffFunction([this](const std::string& aIncarnation) {
    return BackoffEndsAt(m_core, aIncarnation, base::MonotonicNow()).has_value();
  });
  m_rollout.OnReload([this](const rollout::PlannedReload& aReload) { OnReloadPlanned(aReload); });
  m_rollout.Start();
  m_prober.Start();
  m_trafficTimer = m_loop.Every(kTrafficLogInterval, [this] { LogTraffic(); });
  m_expiryTimer = m_loop.Every(kExpiryInterval, [this] {
    const base::TimePoint now = base::MonotonicNow();
    m_permitClient.Expire(now);
    m_slotClient.Expire(now);
    m_core.m_endpointBackoffs.Expire(now);
    m_core.m_retryWindow.SetHostCount(m_peerExchange.HostCount());
  });
  m_core.m_metrics.Set("build_info{commit=\"" + m_options.m_commit + "\",sources=\"" +
                         m_options.m_sourceDigest + "\"}",
                       1);
  telemetry::LogLine("start")
    .Add("commit", m_options.m_commit)
    .Add("sources", m_options.m_sourceDigest)
    .Add("callers", net::ToString(CallerAddress()))
    .Add("readiness", net::ToString(ReadinessAddress()))
    .Add("metrics", net::ToString(m_metrics->ListenAddress()))
    .Add("zone", m_options.m_relay.m_zone)
    .Add("incarnation", m_options.m_rollout.m_self);
  return {};
}

base::Result<void> RelayHost::Listen()
{
  net::HttpServerOptions callers;
  callers.m_listen = m_options.m_callers;
  callers.m_maxBodyBytes = kMaxBodyBytes;
  callers.m_readTimeout = kCallerReadTimeout;
  auto callerServer = net::HttpServer::Create(
    m_loop, callers, [this](net::HttpRequest aRequest, std::shared_ptr<net::HttpReply> aReply) {
      m_front.Handle(std::move(aRequest), std::move(aReply));
    });
  if (!callerServer) {
    return tl::unexpected(callerServer.error());
  }
  net::HttpServerOptions readiness;
  readiness.m_listen = m_options.m_readiness;
  auto readinessServer = net::HttpServer::Create(
    m_loop,
    readiness,
    [this](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
      AnswerReadiness(aReply);
    });
  if (!readinessServer) {
    return tl::unexpected(readinessServer.error());
  }
  net::HttpServerOptions metrics;
  metrics.m_listen = m_options.m_metrics;
  auto metricsServer = net::HttpServer::Create(
    m_loop,
    metrics,
    [this](const net::HttpRequest&, const std::shared_ptr<net::HttpReply>& aReply) {
      m_core.m_metrics.Set("open_requests", static_cast<double>(m_core.m_openExchanges));
      m_core.m_metrics.Set("limited_endpoints",
                           static_cast<double>(m_core.m_endpointLimits.Count()));
      m_core.m_metrics.Set(
        "endpoints_in_backoff",
        static_cast<double>(m_core.m_endpointBackoffs.Count(base::MonotonicNow())));
      UpdateEvacuationGauges();
      UpdateConnectionCounters();
      aReply->Send(
        kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_core.m_metrics.Render());
    });
  if (!metricsServer) {
    return tl::unexpected(metricsServer.error());
  }
  m_callers = std::move(*callerServer);
  m_readiness = std::move(*readinessServer);
  m_metrics = std::move(*metricsServer);
  return {};
}

void RelayHost::LogTraffic() const
{
  const peers::ExchangeCounters& counters = m_peerExchange.Counters();
  constexpr std::clock_t kMillisPerSecond = 1000;
  telemetry::LogLine("traffic")
    .Add("requests_sent", counters.m_requestsSent)
    .Add("requests_received", counters.m_requestsReceived)
    .Add("bytes_sent", counters.m_bytesSent)
    .Add("bytes_received", counters.m_bytesReceived)
    .Add("records", counters.m_records)
    .Add("store_deltas", counters.m_storeDeltas)
    .Add("store_changes", counters.m_storeChanges)
    .Add("loads", counters.m_loads)
    .Add("notices", counters.m_notices)
    .Add("client_bytes", m_core.m_client.Counters().m_bytes)
    .Add("connections_opened", m_core.m_client.Counters().m_opened)
    .Add("foreign_replies", m_core.m_client.Counters().m_foreignReplies)
    .Add("discarded_replies", m_core.m_client.Counters().m_discardedReplies)
    .Add("idle_inputs", m_core.m_client.Counters().m_idleInputs)
    .Add("moved_requests", m_core.m_client.Counters().m_movedRequests)
    .Add("used_ids", m_core.m_client.Counters().m_usedIds)
    .Add("processor_ms", std::clock() * kMillisPerSecond / CLOCKS_PER_SEC);
}

std::string RelayHost::FindListed(peers::IncarnationKey aKey) const
{
  for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
    if (peers::KeyOf(endpoint->m_incarnation) == aKey) {
      return endpoint->m_incarnation;
    }
  }
  return "";
}

void RelayHost::OnEndpointReplaced(peers::IncarnationKey aKey)
{
  const std::string incarnation = FindListed(aKey);
  if (!incarnation.empty()) {
    telemetry::LogLine("endpoint_gone").Add("endpoint", incarnation).Add("told_by", "another host");
    m_core.m_directory.MarkGone(incarnation);
  }
}

void RelayHost::OnEndpointLeaving(peers::IncarnationKey aKey)
{
  const std::string incarnation = FindListed(aKey);
  if (!incarnation.empty()) {
    const bool wasListed = m_core.m_directory.MarkLeaving(incarnation);
    telemetry::LogLine("endpoint_leaving")
      .Add("endpoint", incarnation)
      .Add("source", "host")
      .Add("listed", wasListed ? "usable" : "leaving");
  }
}

void RelayHost::UpdateEvacuationGauges()
{
  std::map<std::string, double> open;
  for (const std::string& zone : m_core.m_directory.EvacuatedZones()) {
    open[zone] = 0;
  }
  for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
    if (const auto zone = open.find(endpoint->m_zone); zone != open.end()) {
      zone->second += m_core.m_endpointTracker.OpenRequests(endpoint->m_incarnation);
    }
  }
  for (const auto& [zone, requests] : open) {
    m_core.m_metrics.Set("evacuated_zone_open_requests{zone=\"" + zone + "\"}", requests);
  }
}

void RelayHost::UpdateConnectionCounters()
{
  const net::HttpClientCounters& counters = m_core.m_client.Counters();
  const auto set = [this](const char* aName, std::uint64_t aValue) {
    m_core.m_metrics.Set(aName, static_cast<double>(aValue));
  };
  set("connections_opened_total", counters.m_opened);
  set("foreign_replies_total", counters.m_foreignReplies);
  set("discarded_replies_total", counters.m_discardedReplies);
  set("idle_inputs_total", counters.m_idleInputs);
  set("moved_requests_total", counters.m_movedRequests);
  set("used_ids_total", counters.m_usedIds);
}

peers::EndpointLoads RelayHost::LocalLoads() const
{
  peers::EndpointLoads loads;
  m_core.m_endpointTracker.ForEachWithOpenRequests(
    [&](const std::string& aEndpoint, routing::Work aWork) {
      loads.push_back({ peers::TagOf(aEndpoint), static_cast<std::uint16_t>(aWork) });
    });
  return loads;
}

void RelayHost::OnReloadPlanned(const rollout::PlannedReload& aReload)
{
  const base::TimePoint now = base::MonotonicNow();
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aReload.m_expectedEnd - now).count();
  m_core.m_reloads.OnNotice({ peers::TagOf(aReload.m_incarnation),
                              aReload.m_model,
                              aReload.m_version,
                              static_cast<std::int32_t>(remaining),
                              aReload.m_revision },
                            now);
  if (!std::exchange(m_reloadNoticePending, true)) {
    // Several reloads are planned at once; one notice announces them together.
    m_loop.Post([this] {
      m_reloadNoticePending = false;
      m_peerExchange.PushReloads();
    });
  }
}

void RelayHost::AnswerReadiness(const std::shared_ptr<net::HttpReply>& aReply) const
{
  const bool ready = m_feeds.Loaded() && m_core.m_crashesLoaded && !m_core.m_stopping;
  aReply->Send(ready ? kOk : kUnavailable, {}, ready ? "ready\n" : "not ready\n");
}

void RelayHost::Shutdown(std::function<void()> aDone)
{
  if (std::exchange(m_core.m_stopping, true)) {
    return;
  }
  telemetry::LogLine("stop").Add("outcome", "begun").Add("open", m_core.m_openExchanges);
  m_onStopped = std::move(aDone);
  m_peerExchange.Leave();
  m_stoppingSince = base::MonotonicNow();
  m_rollout.Stop();
  m_shutdownTimer = m_loop.Every(kShutdownCheckInterval, [this] { CheckShutdown(); });
}

void RelayHost::CheckShutdown()
{
  const base::Duration passed = base::MonotonicNow() - m_stoppingSince;
  if (passed >= m_options.m_refuseNewAfter) {
    m_core.m_refusesNewRequests = true;
    m_callers->CloseIdle();
  }
  const bool finished = m_core.m_openExchanges == 0 && m_callers->PendingRequests() == 0 &&
                        passed >= m_options.m_minDrainTime;
  if (!finished && passed < m_options.m_maxDrainTime) {
    return;
  }
  telemetry::LogLine("stop").Add("outcome", "done").Add("open", m_core.m_openExchanges);
  m_feeds.Stop();
  m_quarantine.Stop();
  m_prober.Stop();
  m_isolationTimer.reset();
  m_trafficTimer.reset();
  m_expiryTimer.reset();
  m_peerExchange.Stop();
  m_stores.Stop();
  m_shutdownTimer->Cancel();
  m_onStopped();
}

} // namespace ferrytray::relay
