#pragma once

#include <functional> // for function
#include <map>        // for map
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "ferrytray/base/time.hpp"             // for Duration, TimePoint
#include "ferrytray/control/order_lease.hpp"   // for OrderLease
#include "ferrytray/control/swap_planner.hpp"  // for SwapPlanner
#include "ferrytray/fleet/directory.hpp"       // for Directory
#include "ferrytray/net/loop.hpp"              // for Loop
#include "ferrytray/rollout/engine_client.hpp" // for EngineClient
#include "ferrytray/rollout/leased_duty.hpp"   // for LeasedDuty
#include "ferrytray/store/record_log.hpp"      // for RecordLog

namespace ferrytray::rollout {

struct RolloutOptions
{
  std::string m_self; ///< this incarnation of the host; its name as lease holder
  std::string m_topic = "ferrytray.orders";
  control::OrderLeaseOptions m_lease;
  /// Also the delay between announcing a reload and sending its order. All hosts receive the
  /// announcement within three ticks. Waiting for the last of them would idle the engine, which
  /// costs more than a few rejections that are reported within milliseconds: a delay of 350 ms
  /// lowered the mean worth of days with a roll-out by 0.013.
  base::Duration m_tickInterval = std::chrono::milliseconds(100);
  /// A longer gap between ticks means that the process was suspended; the lease is then dropped.
  base::Duration m_maxTickGap = std::chrono::milliseconds(700);
  /// Upper limit of the random delay before a host tries to take the lease, so that hosts do not
  /// compete for it.
  base::Duration m_leaseJitter = std::chrono::milliseconds(300);
  /// The same for leased duties. They are not urgent, and with a longer delay most hosts find them
  /// done before they try.
  base::Duration m_dutyLeaseJitter = std::chrono::milliseconds(3000);
  /// Interval at which the lease topic is read while another host holds the lease.
  base::Duration m_leasePollInterval = std::chrono::milliseconds(1500);
  base::Duration m_readTimeout = std::chrono::milliseconds(1000);
  /// Interval at which the state of an engine is queried while it loads weights.
  base::Duration m_statePollInterval = std::chrono::milliseconds(150);
  /// Initial estimate of the time that loading weights takes.
  base::Duration m_expectedLoadTime = std::chrono::milliseconds(1200);
  /// Share of a model's engines that may load weights at the same time. At both sites loads become
  /// slower beyond about a sixth of the engines (3 of 18, 2 of 14). In trials 0.34 cost a quarter
  /// of the worth of scenario quiet-1 through lost capacity.
  double m_maxSwapShare = 0.17;
  /// The same for a late roll-out, for example after the first lease holder died. Capacity then
  /// matters less than finishing before requests may no longer start on older weights.
  double m_lateMaxSwapShare = 0.23;
  /// How long requests may start on older weights (from the settings).
  base::Duration m_rolloutTimeLimit = std::chrono::seconds(12);
  double m_lateFraction = 0.4;    ///< of m_rolloutTimeLimit; a roll-out that takes longer is late
  double m_standbyFraction = 0.5; ///< of m_rolloutTimeLimit; then standby hosts try, too
};

/// @brief A planned load of weights, during which an engine starts no requests.
struct PlannedReload
{
  std::string m_incarnation;
  std::string m_model;
  fleet::WeightVersion m_version = 0;
  /// When requests are routed to the engine again: somewhat before the expected end of the load, or
  /// at its actual end.
  base::TimePoint m_expectedEnd;
  std::uint64_t m_revision = 0; ///< the highest one is valid, also across successive lease holders
};

/// @brief Rolls out the weight versions wanted by the operators. One host at a time sends orders.
///
/// Level-triggered: it compares the state in the directory and the engines' reports with the wanted
/// versions, so a new lease holder needs no state from the previous one.
class RolloutDriver
{
public:
  RolloutDriver(net::Loop& aLoop,
                store::RecordLog& aLog,
                fleet::Directory& aDirectory,
                EngineClient& aEngineClient,
                const std::map<std::string, fleet::WeightVersion>& aWanted,
                RolloutOptions aOptions);
  /// @brief Adds a duty to run while the lease is held. It must outlive the driver.
  void AddDuty(LeasedDuty& aDuty) { m_duties.push_back(&aDuty); }
  /// @brief Sets the callback for each planned reload; called again when its expected end changes.
  void OnReload(std::function<void(const PlannedReload&)> aCall) { m_onReload = std::move(aCall); }
  /// @brief Sets the function that returns whether an engine is in backoff. Its order waits for the
  /// end of the backoff, unless the roll-out is late. If unset: none is.
  void SetBackoffFunction(std::function<bool(const std::string& aIncarnation)> aIsInBackoff)
  {
    m_isInBackoff = std::move(aIsInBackoff);
  }
  void Start();
  /// @brief Sets whether this host sends orders only if the other hosts are late. Every read of the
  /// lease is charged, which adds up with many hosts.
  void SetStandby(bool aStandby);
  /// @brief Sets whether this host reaches no engine. It then lets its lease expire and takes none,
  /// so that another host sends the orders.
  void SetPaused(bool aPaused);
  /// @brief Records that another host announced a reload and therefore holds the lease. While such
  /// announcements continue, this host does not read the lease, as every read is charged.
  void NoteOrderByOtherHost(base::TimePoint aNow) { m_otherHostOrderedAt = aNow; }
  /// @brief Stops sending orders and drops the lease.
  void Stop();

private:
  struct Engine
  {
    bool m_queryPending = false;
    base::TimePoint m_lastQueryAt{};
    std::optional<EngineState> m_state;
    bool m_announced = false; ///< its order is due at the next tick
    std::optional<base::TimePoint> m_loadStart;
    std::optional<base::TimePoint> m_expectedLoadEnd;
    fleet::WeightVersion m_loadingVersion = 0; ///< the version being loaded
  };
  struct Behind
  {
    std::string m_model;
    std::string m_service;
  };

  void Tick();
  [[nodiscard]] bool HasOutdatedEngines() const;
  [[nodiscard]] bool IsOtherHostOrdering(base::TimePoint aNow) const;
  [[nodiscard]] bool HasDutyWork(base::TimePoint aNow) const;
  void MaintainLease(base::TimePoint aNow);
  void ReadLease();
  void AppendLease(base::TimePoint aNow);
  void PlanSwaps(const std::string& aModel, fleet::WeightVersion aVersion, base::TimePoint aNow);
  /// Whether the roll-out has taken more than RolloutOptions::m_lateFraction of its time.
  [[nodiscard]] bool IsLate(const std::string& aModel, base::TimePoint aNow);
  [[nodiscard]] std::uint32_t MaxConcurrentSwaps(const std::string& aModel,
                                                 std::size_t aEngines,
                                                 base::TimePoint aNow);
  /// Announces a reload; its order is sent at the next tick.
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
  /// By model; cleared when no engine is outdated.
  std::map<std::string, base::TimePoint> m_outdatedSince;
  std::map<std::string, Engine> m_engines; ///< by incarnation
  std::vector<LeasedDuty*> m_duties;
  std::function<bool(const std::string& aIncarnation)> m_isInBackoff;
  std::function<void(const PlannedReload&)> m_onReload;
  base::Duration m_expectedLoadTime; ///< moving estimate
  std::uint64_t m_revision = 0;
  net::TimerHandle m_timer;
  base::TimePoint m_lastTick{};
  std::optional<base::TimePoint> m_leaseAttemptAt;
  std::optional<base::TimePoint> m_otherHostOrderedAt;
  base::TimePoint m_lastLeaseReadAt{};
  bool m_leaseReadPending = false;
  bool m_wasHolder = false;
  bool m_standby = false;
  bool m_paused = false; ///< this host reaches no engine
};

} // namespace ferrytray::rollout
