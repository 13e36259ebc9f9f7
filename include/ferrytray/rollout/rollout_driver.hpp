#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include "ferrytray/base/time.hpp"             // for Duration, TimePoint
#include "ferrytray/control/order_lease.hpp"   // for OrderLease
#include "ferrytray/control/swap_planner.hpp"  // for SwapPlanner
#include "ferrytray/fleet/directory.hpp"       // for Directory
#include "ferrytray/net/loop.hpp"              // for Loop
#include "ferrytray/rollout/engine_client.hpp" // for EngineClient
#include "ferrytray/rollout/leased_task.hpp"   // for LeasedTask
#include "ferrytray/store/record_log.hpp"      // for RecordLog

namespace ferrytray::rollout {

struct RolloutOptions
{
  std::string m_self; ///< this incarnation of the host; the lease's holder
  std::string m_topic = "ferrytray.orders";
  control::OrderLeaseOptions m_lease;
  /// Also the time from an announcement to its order. Hosts hear of it within three of these.
  /// Waiting for the last of them would idle the engine, which costs more than a few rejections,
  /// each told within milliseconds: with 350 ms instead, mean worth of days with a roll-out was
  /// 0.013 lower.
  base::Duration m_tickInterval = std::chrono::milliseconds(100);
  /// A longer gap between ticks means that the process stood still: the lease is given up.
  base::Duration m_maxTickGap = std::chrono::milliseconds(700);
  /// Hosts wait a random part of this before they try for the lease, so that one of them is first.
  base::Duration m_leaseJitter = std::chrono::milliseconds(300);
  /// The same for duties, which are in no hurry: most hosts see them done before they try.
  base::Duration m_taskLeaseJitter = std::chrono::milliseconds(3000);
  /// While another host holds the lease, the topic is read again after this.
  base::Duration m_leasePollInterval = std::chrono::milliseconds(1500);
  base::Duration m_readTimeout = std::chrono::milliseconds(1000);
  base::Duration m_statePollInterval = std::chrono::milliseconds(150); ///< while an engine loads
  /// How long a load takes before one was seen here.
  base::Duration m_expectedLoadTime = std::chrono::milliseconds(1200);
  /// Part of a model's engines that may swap at once. Both sites slow loads down past a sixth or so
  /// (3 of 18, 2 of 14); in trials 0.34 cost a quarter of quiet-1's worth through lost capacity.
  double m_maxSwapShare = 0.17;
  /// The same when a roll-out is late, such as after its first holder died: capacity counts less
  /// then than the time in which no request may begin on older weights any more.
  double m_lateMaxSwapShare = 0.23;
  /// Requests may begin on older weights for so long (settings); late is after m_lateFraction of
  /// it.
  base::Duration m_rolloutTimeLimit = std::chrono::seconds(12);
  double m_lateFraction = 0.4;
  double m_standbyFraction = 0.5; ///< of m_rolloutTimeLimit; then hosts on standby try, too
};

/// @brief An engine that begins nothing until its load is over.
struct PlannedReload
{
  std::string m_incarnation;
  std::string m_model;
  fleet::WeightVersion m_version = 0;
  base::TimePoint m_expectedEnd; ///< when the load should be over, or was
  std::uint64_t m_revision = 0;  ///< the higher one counts, also among hosts that order in turn
};

/// @brief Brings engines to the weights that the operators named. One host at a time gives orders.
///
/// Level-triggered: it compares what the directory and the engines themselves say with what is
/// wanted, so a new holder needs nothing from the one before.
class RolloutDriver
{
public:
  RolloutDriver(net::Loop& aLoop,
                store::RecordLog& aLog,
                fleet::Directory& aDirectory,
                EngineClient& aEngineClient,
                const std::map<std::string, fleet::WeightVersion>& aWanted,
                RolloutOptions aOptions);
  /// @brief Does this, too, while the lease is held. It must outlive the driver.
  void AddLeasedTask(LeasedTask& aTask) { m_leasedTasks.push_back(&aTask); }
  /// @brief Calls with each reload when it is planned, and again when its end is known better.
  void OnReload(std::function<void(const PlannedReload&)> aCall) { m_onReload = std::move(aCall); }
  void Start();
  /// @brief Whether this host leaves the orders to others unless they take very long. With many
  /// hosts, each one's looking at the lease is charged.
  void SetStandby(bool aStandby);
  /// @brief Another host was heard to announce a reload: somebody gives orders. While that goes on
  /// this host does not look at the lease, which would be charged.
  void NoteOrderByOtherHost(base::TimePoint aNow) { m_otherHostOrderedAt = aNow; }
  /// @brief Gives no orders any more.
  void Stop();

private:
  struct Engine
  {
    bool m_queryPending = false;
    base::TimePoint m_lastQueryAt{};
    std::optional<EngineState> m_state;
    bool m_announced = false; ///< its order is sent at the next tick
    std::optional<base::TimePoint> m_loadStart;
    std::optional<base::TimePoint> m_expectedLoadEnd; ///< as expected
    fleet::WeightVersion m_loadingVersion = 0;        ///< what it loads since then
  };
  struct Behind
  {
    std::string m_model;
    std::string m_service;
  };

  void Tick();
  [[nodiscard]] bool HasOutdatedEngines() const;
  [[nodiscard]] bool IsOtherHostOrdering(base::TimePoint aNow) const;
  [[nodiscard]] bool HasTaskWork(base::TimePoint aNow) const;
  void MaintainLease(base::TimePoint aNow);
  void ReadLease();
  void AppendLease(base::TimePoint aNow);
  void PlanSwaps(const std::string& aModel, fleet::WeightVersion aVersion, base::TimePoint aNow);
  [[nodiscard]] std::uint32_t MaxConcurrentSwaps(const std::string& aModel,
                                                 std::size_t aEngines,
                                                 base::TimePoint aNow);
  /// Announces an order, which is sent at the next tick.
  void Announce(const control::SwapOrder& aOrder, const std::string& aModel, base::TimePoint aNow);
  void OnOrderReply(const std::string& aIncarnation, const WeightOrder& aOrder, OrderReply aReply);
  void SendAnnouncedOrders(const std::string& aModel, fleet::WeightVersion aVersion);
  [[nodiscard]] base::Duration RoutingResumeDelay() const;
  void ReportReload(const std::string& aIncarnation,
                    const std::string& aModel,
                    base::TimePoint aExpectedEnd);
  void TrackLoad(const std::string& aIncarnation, const std::string& aModel, base::TimePoint aNow);
  void QueryState(const std::string& aIncarnation, const std::string& aModel, base::TimePoint aNow);
  void SendOrder(const std::string& aIncarnation,
                 const std::string& aModel,
                 fleet::WeightVersion aVersion);
  [[nodiscard]] control::WorkerVersion WorkerVersionOf(const fleet::Endpoint& aEngine,
                                                       const std::string& aModel) const;

  net::Loop& m_loop;
  store::RecordLog& m_log;
  fleet::Directory& m_directory;
  EngineClient& m_engineClient;
  const std::map<std::string, fleet::WeightVersion>& m_wanted;
  RolloutOptions m_options;
  control::OrderLease m_lease;
  std::map<std::string, control::SwapPlanner> m_planners; ///< by model
  std::map<std::string, base::TimePoint> m_outdatedSince; ///< by model; until all engines follow
  std::map<std::string, Engine> m_engines;                ///< by incarnation
  std::vector<LeasedTask*> m_leasedTasks;
  std::function<void(const PlannedReload&)> m_onReload;
  base::Duration m_expectedLoadTime; ///< learnt
  std::uint64_t m_revision = 0;
  net::TimerHandle m_timer;
  base::TimePoint m_lastTick{};
  std::optional<base::TimePoint> m_leaseAttemptAt;
  std::optional<base::TimePoint> m_otherHostOrderedAt;
  base::TimePoint m_lastLeaseReadAt{};
  bool m_leaseReadPending = false;
  bool m_wasHolder = false;
  bool m_standby = false;
};

} // namespace ferrytray::rollout
