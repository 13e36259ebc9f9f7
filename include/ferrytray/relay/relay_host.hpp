#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr

#include "ferrytray/base/error.hpp"              // for Result
#include "ferrytray/net/http_server.hpp"         // for HttpServer
#include "ferrytray/peers/news_exchange.hpp"     // for NewsExchange
#include "ferrytray/relay/prompt_dispatcher.hpp" // for PromptDispatcher
#include "ferrytray/relay/quarantine_feed.hpp"   // for QuarantineFeed
#include "ferrytray/relay/relay_core.hpp"        // for RelayCore
#include "ferrytray/relay/relay_front.hpp"       // for RelayFront
#include "ferrytray/relay/state_feeds.hpp"       // for StateFeeds
#include "ferrytray/relay/store_watch.hpp"       // for StoreWatch
#include "ferrytray/relay/upkeep_duty.hpp"       // for UpkeepDuty, PartFreer
#include "ferrytray/rollout/rollout_driver.hpp"  // for RolloutDriver
#include "ferrytray/store/metered_log.hpp"       // for MeteredLog

namespace ferrytray::relay {

struct HostOptions
{
  net::Address m_callers;
  net::Address m_readiness;
  net::Address m_metrics;
  peers::NewsOptions m_peers;
  RelayOptions m_relay;
  FeedOptions m_feeds;
  rollout::RolloutOptions m_rollout;
  /// A balancer that asks once a second and needs two misses sends callers for so long.
  base::Duration m_leaveAtLeast = std::chrono::milliseconds(3000);
  /// From then on nothing new is begun: what still arrives is refused at once, and connections on
  /// which nothing is being answered are closed, so that what was begun can end in time.
  /// Later than a balancer takes to notice, and no later than the 3 s after which the users'
  /// platform takes no excuse for a request that a stopping host began and did not finish.
  base::Duration m_leaveRefuseAfter = std::chrono::milliseconds(2900);
  /// What is not finished then is broken off, before the platform kills the process.
  base::Duration m_leaveAtMost = std::chrono::milliseconds(7500);
};

/// @brief The outside of a host: what its decisions are carried out on.
struct HostPorts
{
  net::HttpClient& m_client;
  const WireFormat& m_wire;
  const RecordFormat& m_records;
  store::RecordLog& m_log;
  rollout::EngineClient& m_orders;
  cache::StoreFeed& m_stores;
  PartFreer& m_freer;
};

/// @brief One host of the system in one process: serves callers, follows state, gives orders.
class RelayHost
{
public:
  RelayHost(net::Loop& aLoop, const HostPorts& aPorts, HostOptions aOptions);
  /// @brief Listens and begins. @return ListenFailed
  base::Result<void> Start();
  /// @brief Begins a planned stop; aDone is called when the process may end.
  void Leave(std::function<void()> aDone);
  [[nodiscard]] net::Address CallerAddress() const { return m_callers->ListenAddress(); }
  [[nodiscard]] net::Address ReadinessAddress() const { return m_readiness->ListenAddress(); }

private:
  base::Result<void> Listen();
  void OnReplaced(peers::IncarnationKey aKey);
  /// Sets the gauges of what is still open in zones that are being evacuated.
  void CountEvacuated();
  [[nodiscard]] peers::EndpointLoads OwnLoads() const;
  void OnReload(const rollout::PlannedReload& aReload);
  void AnswerReadiness(const std::shared_ptr<net::HttpReply>& aReply) const;
  void CheckLeft();
  void StartQuarantine();
  /// The record log answers for the configuration and not for the quarantine.
  void ServeWithoutQuarantine();
  /// Tells other hosts soon of what the crash board has got here.
  void OnCrashesChanged(const quarantine::RequestKey& aRequest);

  net::Loop& m_loop;
  HostOptions m_options;
  RelayCore m_core;
  store::MeteredLog m_log;
  RelayFront m_front;
  StateFeeds m_feeds;
  QuarantineFeed m_quarantine;
  StoreWatch m_stores;
  peers::NewsExchange m_news;
  PromptDispatcher m_dispatcher;
  UpkeepDuty m_upkeep;
  rollout::RolloutDriver m_rollout;
  std::unique_ptr<net::HttpServer> m_callers;
  std::unique_ptr<net::HttpServer> m_readiness;
  std::unique_ptr<net::HttpServer> m_metrics;
  net::TimerHandle m_leaveTimer;
  bool m_tellsReloads = false; ///< soon
  net::TimerHandle m_tellsCrashes;
  net::TimerHandle m_aloneTimer;
  net::TimerHandle m_withoutQuarantine;
  base::TimePoint m_leavingSince{};
  std::function<void()> m_onLeft;
};

} // namespace ferrytray::relay
