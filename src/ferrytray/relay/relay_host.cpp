#include "ferrytray/relay/relay_host.hpp"

#include <map>     // for map
#include <utility> // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

peers::NewsOptions WithTopic(peers::NewsOptions aOptions, const RecordFormat& aRecords)
{
  aOptions.m_topic = aRecords.HostTopic();
  return aOptions;
}

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// Callers' own limits are the configuration's and change with it; these bound memory only.
constexpr std::size_t kMostBodyBytes = 16U << 20U;
constexpr base::Duration kCallerReadTimeout = std::chrono::seconds(75);

// Endpoints that end break off many requests at once; what is told of them goes together.
constexpr base::Duration kTellCrashesAfter = std::chrono::milliseconds(20);

// After the configuration: a record log that answers for it and not for this is no reason to serve
// nobody.
constexpr base::Duration kQuarantineWithin = std::chrono::milliseconds(1500);

constexpr base::Duration kLeaveCheck = std::chrono::milliseconds(50);

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
  , m_news(aLoop,
           aPorts.m_client,
           m_log,
           m_core.m_stores,
           m_core.m_otherLoads,
           m_core.m_reloads,
           m_core.m_crashes,
           WithTopic(m_options.m_peers, aPorts.m_records))
  , m_dispatcher(m_core, m_news)
  , m_upkeep(m_core, aPorts.m_freer)
  , m_rollout(aLoop,
              m_log,
              m_core.m_directory,
              aPorts.m_orders,
              m_core.m_wanted,
              m_options.m_rollout)
{
}

base::Result<void> RelayHost::Start()
{
  base::Result<void> listening = Listen();
  if (!listening) {
    return listening;
  }
  m_news.OnDirect([this](bool aDirect) {
    m_stores.SetDirect(aDirect);
    m_rollout.SetStandby(!aDirect);
  });
  for (auto& topic : m_feeds.Topics()) {
    m_news.AddTopic(std::move(topic));
  }
  m_news.AddTopic(m_quarantine.Topic());
  m_core.m_dispatcher = &m_dispatcher;
  m_core.m_onReplaced = [this](const std::string& aIncarnation) {
    m_news.TellReplaced(aIncarnation);
  };
  m_news.OnReplaced([this](peers::IncarnationKey aKey) { OnReplaced(aKey); });
  m_core.m_isAmongHosts = [this](const std::string& aName, std::size_t aFirst) {
    return m_news.IsAmong(aName, aFirst);
  };
  m_news.OwnLoads([this] { return OwnLoads(); });
  m_news.OnReloads([this] { m_rollout.NoteOthersOrder(base::MonotonicNow()); });
  m_feeds.OnConfigured([this] {
    m_stores.OnConfiguration();
    if (!m_core.m_crashesLoaded && !m_withoutQuarantine) {
      m_withoutQuarantine = m_loop.After(kQuarantineWithin, [this] { ServeWithoutQuarantine(); });
    }
  });
  StartQuarantine();
  if (base::Result<void> news = m_news.Start(); !news) {
    return news;
  }
  m_rollout.SetStandby(true); // until it is known to be one of those that read
  m_rollout.AddDuty(m_upkeep);
  m_rollout.OnReload([this](const rollout::PlannedReload& aReload) { OnReload(aReload); });
  m_rollout.Start();
  telemetry::LogLine("start")
    .Add("callers", net::ToString(CallerAddress()))
    .Add("readiness", net::ToString(ReadinessAddress()))
    .Add("metrics", net::ToString(m_metrics->ListenAddress()))
    .Add("zone", m_options.m_relay.m_zone)
    .Add("incarnation", m_options.m_rollout.m_self);
  return {};
}

void RelayHost::ServeWithoutQuarantine()
{
  if (!std::exchange(m_core.m_crashesLoaded, true)) {
    telemetry::LogLine("quarantine")
      .Add("outcome", "not_read")
      .Add("why", "the record log does not answer for it; requests are served without");
  }
}

void RelayHost::StartQuarantine()
{
  m_core.m_onCrashesChanged = [this](const quarantine::RequestKey& aRequest) {
    OnCrashesChanged(aRequest);
  };
  m_news.OnCrashes([this] { m_quarantine.OnChange(); });
  m_quarantine.OnRank([this](const quarantine::RequestKey& aRequest) {
    constexpr std::size_t kFirst = 2;
    if (m_news.IsAmong(base::ToHex(aRequest), kFirst)) {
      return quarantine::WriterRank::First;
    }
    return m_news.IsReader() ? quarantine::WriterRank::Reader : quarantine::WriterRank::Other;
  });
  m_core.m_claimTry = [this](const quarantine::RequestKey& aRequest,
                             std::function<void(bool)> aDone) {
    if (m_news.IsAmong(base::ToHex(aRequest), 1)) {
      m_quarantine.ClaimTry(aRequest, std::move(aDone));
    } else {
      aDone(false);
    }
  };
  m_quarantine.Start();
  const base::Duration alone = m_options.m_feeds.m_quarantineAlone;
  m_aloneTimer = m_loop.Every(alone, [this, alone] {
    if (m_news.IsAlone(alone, base::MonotonicNow())) {
      m_quarantine.OnAlone();
    }
  });
}

void RelayHost::OnCrashesChanged(const quarantine::RequestKey& aRequest)
{
  m_quarantine.OnOwn(aRequest);
  if (!m_tellsCrashes) {
    m_tellsCrashes = m_loop.After(kTellCrashesAfter, [this] {
      m_tellsCrashes.reset();
      m_news.TellCrashes();
    });
  }
}

base::Result<void> RelayHost::Listen()
{
  net::HttpServerOptions callers;
  callers.m_listen = m_options.m_callers;
  callers.m_maxBodyBytes = kMostBodyBytes;
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
      m_core.m_metrics.Set("open_requests", static_cast<double>(m_core.m_open));
      CountEvacuated();
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

void RelayHost::OnReplaced(peers::IncarnationKey aKey)
{
  for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
    if (peers::KeyOf(endpoint->m_incarnation) == aKey) {
      const std::string gone = endpoint->m_incarnation;
      telemetry::LogLine("endpoint_gone").Add("endpoint", gone).Add("told_by", "another host");
      m_core.m_directory.MarkGone(gone);
      return;
    }
  }
}

void RelayHost::CountEvacuated()
{
  std::map<std::string, double> open;
  for (const std::string& zone : m_core.m_directory.EvacuatedZones()) {
    open[zone] = 0;
  }
  for (const fleet::Endpoint* endpoint : m_core.m_directory.All()) {
    if (const auto zone = open.find(endpoint->m_zone); zone != open.end()) {
      zone->second += m_core.m_board.OpenRequests(endpoint->m_incarnation);
    }
  }
  for (const auto& [zone, requests] : open) {
    m_core.m_metrics.Set("evacuated_zone_open_requests{zone=\"" + zone + "\"}", requests);
  }
}

peers::EndpointLoads RelayHost::OwnLoads() const
{
  peers::EndpointLoads loads;
  m_core.m_board.ForEachWithOpenRequests([&](const std::string& aEndpoint, routing::Work aWork) {
    loads.push_back({ peers::TagOf(aEndpoint), static_cast<std::uint16_t>(aWork) });
  });
  return loads;
}

void RelayHost::OnReload(const rollout::PlannedReload& aReload)
{
  const base::TimePoint now = base::MonotonicNow();
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aReload.m_until - now).count();
  m_core.m_reloads.OnNotice({ peers::TagOf(aReload.m_incarnation),
                              aReload.m_model,
                              aReload.m_version,
                              static_cast<std::int32_t>(left),
                              aReload.m_revision },
                            now);
  if (!std::exchange(m_tellsReloads, true)) {
    // Reloads are planned many at a time.
    m_loop.Post([this] {
      m_tellsReloads = false;
      m_news.TellReloads();
    });
  }
}

void RelayHost::AnswerReadiness(const std::shared_ptr<net::HttpReply>& aReply) const
{
  const bool ready = m_feeds.Loaded() && m_core.m_crashesLoaded && !m_core.m_leaving;
  aReply->Send(ready ? kOk : kUnavailable, {}, ready ? "ready\n" : "not ready\n");
}

void RelayHost::Leave(std::function<void()> aDone)
{
  if (std::exchange(m_core.m_leaving, true)) {
    return;
  }
  telemetry::LogLine("stop").Add("outcome", "begun").Add("open", m_core.m_open);
  m_onLeft = std::move(aDone);
  m_news.Leave();
  m_leavingSince = base::MonotonicNow();
  m_rollout.Stop();
  m_leaveTimer = m_loop.Every(kLeaveCheck, [this] { CheckLeft(); });
}

void RelayHost::CheckLeft()
{
  const base::Duration passed = base::MonotonicNow() - m_leavingSince;
  if (passed >= m_options.m_leaveRefuseAfter) {
    m_core.m_beginsNothing = true;
    m_callers->CloseIdle();
  }
  const bool finished =
    m_core.m_open == 0 && m_callers->Unanswered() == 0 && passed >= m_options.m_leaveAtLeast;
  if (!finished && passed < m_options.m_leaveAtMost) {
    return;
  }
  telemetry::LogLine("stop").Add("outcome", "done").Add("open", m_core.m_open);
  m_feeds.Stop();
  m_quarantine.Stop();
  m_aloneTimer.reset();
  m_news.Stop();
  m_stores.Stop();
  m_leaveTimer->Cancel();
  m_onLeft();
}

} // namespace ferrytray::relay
