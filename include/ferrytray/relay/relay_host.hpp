#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr
#include <string>     // for string

#include "ferrytray/base/error.hpp"                // for Result
#include "ferrytray/net/http_server.hpp"           // for HttpServer
#include "ferrytray/peers/peer_exchange.hpp"       // for PeerExchange
#include "ferrytray/relay/crash_reporter.hpp"      // for CrashReporter
#include "ferrytray/relay/forward_receiver.hpp"    // for ForwardReceiver
#include "ferrytray/relay/forwarder.hpp"           // for Forwarder
#include "ferrytray/relay/permit_client.hpp"       // for PermitClient
#include "ferrytray/relay/prompt_dispatcher.hpp"   // for PromptDispatcher
#include "ferrytray/relay/quarantine_feed.hpp"     // for QuarantineFeed
#include "ferrytray/relay/reachability_prober.hpp" // for ReachabilityProber
#include "ferrytray/relay/relay_core.hpp"          // for RelayCore
#include "ferrytray/relay/relay_front.hpp"         // for RelayFront
#include "ferrytray/relay/slot_client.hpp"         // for SlotClient
#include "ferrytray/relay/state_feeds.hpp"         // for StateFeeds
#include "ferrytray/relay/store_watch.hpp"         // for StoreWatch
#include "ferrytray/relay/upkeep_duty.hpp"         // for UpkeepDuty, PartFreer
#include "ferrytray/rollout/rollout_driver.hpp"    // for RolloutDriver
#include "ferrytray/store/metered_log.hpp"         // for MeteredLog

namespace ferrytray::relay {

struct HostOptions
{
  std::string m_commit;       ///< that the program was built from, for the log and the metrics
  std::string m_sourceDigest; ///< of its sources, for the same
  net::Address m_callers;
  net::Address m_readiness;
  net::Address m_metrics;
  peers::PeerExchangeOptions m_peers;
  RelayOptions m_relay;
  FeedOptions m_feeds;
  rollout::RolloutOptions m_rollout;
  /// Minimum time from the start of the shutdown to the exit. A load balancer with one health check
  /// per second and a threshold of two failures keeps sending for this long.
  base::Duration m_minDrainTime = std::chrono::milliseconds(3000);
  /// From this time after the start of the shutdown new requests are refused at once and idle
  /// connections are closed, so that requests in progress can finish. Must be later than a load
  /// balancer takes to notice, and no later than 3 s: from then on the users' platform counts every
  /// request that a stopping host begins and does not finish as a failure.
  base::Duration m_refuseNewAfter = std::chrono::milliseconds(2900);
  /// Requests still open this long after the start of the shutdown are aborted, before the platform
  /// kills the process.
  base::Duration m_maxDrainTime = std::chrono::milliseconds(7500);
};

/// @brief The external interfaces that a host uses.
struct HostPorts
{
  net::HttpClient& m_client;
  const WireFormat& m_wire;
  const RecordFormat& m_records;
  store::RecordLog& m_log;
  rollout::EngineClient& m_engineClient;
  cache::StoreFeed& m_stores;
  PartFreer& m_freer;
};

/// @brief A host in one process: serves callers, follows the record log and drives weight rollouts.
class RelayHost
{
public:
  RelayHost(net::Loop& aLoop, const HostPorts& aPorts, HostOptions aOptions);
  /// @brief Opens the listening sockets and starts all components. @return ListenFailed
  base::Result<void> Start();
  /// @brief Begins a planned shutdown; aDone is called when the process may exit.
  void Shutdown(std::function<void()> aDone);
  [[nodiscard]] net::Address CallerAddress() const { return m_callers->ListenAddress(); }
  [[nodiscard]] net::Address ReadinessAddress() const { return m_readiness->ListenAddress(); }

private:
  base::Result<void> Listen();
  /// Returns the incarnation with a key; empty if the directory does not list it.
  [[nodiscard]] std::string FindListed(peers::IncarnationKey aKey) const;
  void OnEndpointReplaced(peers::IncarnationKey aKey);
  void OnEndpointLeaving(peers::IncarnationKey aKey);
  /// Sets the gauges of open requests in zones that are being evacuated.
  void UpdateEvacuationGauges();
  /// Copies the counters of the HTTP client to the metrics.
  void UpdateConnectionCounters();
  /// Logs what this host has sent, received and computed since its start.
  void LogTraffic() const;
  [[nodiscard]] peers::EndpointLoads LocalLoads() const;
  void OnReloadPlanned(const rollout::PlannedReload& aReload);
  void AnswerReadiness(const std::shared_ptr<net::HttpReply>& aReply) const;
  void CheckShutdown();
  void StartQuarantine();
  void StartQuarantineLoadTimer();
  /// Called some time after the configuration was read; serves requests without the quarantine
  /// records if these have not been read by then.
  void ServeWithoutQuarantine();
  /// Schedules a notice to other hosts about this host's changes to the crash tracker.
  void OnCrashesChanged(std::span<const quarantine::ContentKey> aContent);

  net::Loop& m_loop;
  HostOptions m_options;
  RelayCore m_core;
  store::MeteredLog m_log;
  RelayFront m_front;
  StateFeeds m_feeds;
  QuarantineFeed m_quarantine;
  StoreWatch m_stores;
  peers::PeerExchange m_peerExchange;
  PromptDispatcher m_dispatcher;
  PermitClient m_permitClient;
  SlotClient m_slotClient;
  ReachabilityProber m_prober;
  Forwarder m_forwarder;
  ForwardReceiver m_forwardReceiver;
  CrashReporter m_crashReporter;
  UpkeepDuty m_upkeep;
  rollout::RolloutDriver m_rollout;
  std::unique_ptr<net::HttpServer> m_callers;
  std::unique_ptr<net::HttpServer> m_readiness;
  std::unique_ptr<net::HttpServer> m_metrics;
  net::TimerHandle m_shutdownTimer;
  bool m_reloadNoticePending = false; ///< a notice is posted but not sent
  net::TimerHandle m_crashNoticeTimer;
  net::TimerHandle m_isolationTimer;
  net::TimerHandle m_trafficTimer;
  net::TimerHandle m_expiryTimer;
  net::TimerHandle m_quarantineLoadTimer;
  base::TimePoint m_stoppingSince{};
  std::function<void()> m_onStopped;
};

} // namespace ferrytray::relay
