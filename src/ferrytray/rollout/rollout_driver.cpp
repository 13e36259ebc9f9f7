#include "ferrytray/rollout/rollout_driver.hpp"

#include <algorithm> // for max, stable_sort
#include <random>    // for random_device
#include <utility>   // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::rollout {

namespace {

/// An order without visible effect is sent again after this time, as its reply may be lost. A late
/// execution takes up to 12 s; repeating the order is safe because the engine's order count has
/// then changed.
constexpr base::Duration kConfirmTimeout = std::chrono::milliseconds(3000);

} // namespace

RolloutDriver::RolloutDriver(net::Loop& aLoop,
                             store::RecordLog& aLog,
                             fleet::Directory& aDirectory,
                             EngineClient& aEngineClient,
                             const std::map<std::string, fleet::WeightVersion>& aWanted,
                             RolloutOptions aOptions)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_directory(aDirectory)
  , m_engineClient(aEngineClient)
  , m_wanted(aWanted)
  , m_options(std::move(aOptions))
  , m_lease(m_options.m_self, m_options.m_lease)
  , m_expectedLoadTime(m_options.m_expectedLoadTime)
{
}

void RolloutDriver::Start()
{
  m_lastTick = base::MonotonicNow();
  if (!m_standby) {
    ReadLease();
  }
  m_timer = m_loop.Every(m_options.m_tickInterval, [this] { Tick(); });
}

void RolloutDriver::Stop()
{
  m_timer.reset();
  m_lease.Drop();
}

void RolloutDriver::Tick()
{
  const base::TimePoint now = base::MonotonicNow();
  if (now - m_lastTick > m_options.m_maxTickGap) {
    telemetry::LogLine("order_lease").Add("outcome", "dropped").Add("why", "process was suspended");
    m_lease.Drop();
  }
  m_lastTick = now;
  if (m_paused) {
    return;
  }
  const bool outdated = HasOutdatedEngines();
  if (!outdated) {
    m_outdatedSince.clear();
  }
  if (!outdated && !HasDutyWork(now)) {
    m_leaseAttemptAt.reset();
    return;
  }
  for (const auto& [model, version] : m_wanted) {
    m_outdatedSince.try_emplace(model, now);
  }
  if (!m_leaseAttemptAt) {
    const base::Duration maxJitter =
      outdated ? m_options.m_leaseJitter : m_options.m_dutyLeaseJitter;
    const auto jitter = static_cast<std::uint64_t>(maxJitter.count());
    m_leaseAttemptAt =
      now + base::Duration(m_wasHolder ? 0 : std::random_device{}() % (jitter + 1));
    if (m_standby && !m_wasHolder) {
      *m_leaseAttemptAt += base::FromSeconds(m_options.m_standbyFraction *
                                             base::Seconds(m_options.m_rolloutTimeLimit));
    }
  }
  if (now < *m_leaseAttemptAt || IsOtherHostOrdering(now)) {
    return;
  }
  MaintainLease(now);
  if (!m_lease.MaySendOrder(now)) {
    return;
  }
  for (const auto& [model, version] : m_wanted) {
    SendAnnouncedOrders(model, version);
    PlanSwaps(model, version, now);
  }
  for (LeasedDuty* duty : m_duties) {
    duty->DoWork(now);
  }
}

void RolloutDriver::SetStandby(bool aStandby)
{
  if (std::exchange(m_standby, aStandby) && !aStandby && m_timer && m_lease.NeedsRead()) {
    ReadLease(); // the holder's lease time is counted from the first read
  }
}

void RolloutDriver::SetPaused(bool aPaused)
{
  if (std::exchange(m_paused, aPaused) == aPaused) {
    return;
  }
  telemetry::LogLine("order_lease").Add("outcome", aPaused ? "paused" : "resumed");
  if (aPaused) {
    m_lease.Drop();
    m_wasHolder = false;
    m_leaseAttemptAt.reset();
  }
}

bool RolloutDriver::IsOtherHostOrdering(base::TimePoint aNow) const
{
  if (m_wasHolder || !m_otherHostOrderedAt) {
    return false;
  }
  const base::Duration standby =
    base::FromSeconds(m_options.m_standbyFraction * base::Seconds(m_options.m_rolloutTimeLimit));
  const base::Duration holdOff = m_standby ? standby : m_options.m_leasePollInterval;
  return aNow < *m_otherHostOrderedAt + holdOff;
}

bool RolloutDriver::HasDutyWork(base::TimePoint aNow) const
{
  // Every duty is queried, as an idle duty updates its state in HasWork().
  bool pending = false;
  for (LeasedDuty* duty : m_duties) {
    pending = duty->HasWork(aNow) || pending;
  }
  return pending;
}

bool RolloutDriver::HasOutdatedEngines() const
{
  for (const fleet::Endpoint* endpoint : m_directory.All()) {
    for (const auto& [model, version] : endpoint->m_provenWeights) {
      const auto wanted = m_wanted.find(model);
      if (wanted != m_wanted.end() && version < wanted->second && !endpoint->m_leaving) {
        return true;
      }
    }
  }
  return false;
}

void RolloutDriver::MaintainLease(base::TimePoint aNow)
{
  const bool pollDue =
    !m_lease.MaySendOrder(aNow) && aNow >= m_lastLeaseReadAt + m_options.m_leasePollInterval;
  if (m_lease.NeedsRead() || (pollDue && !m_lease.ShouldAppend(aNow))) {
    ReadLease();
  } else if (m_lease.ShouldAppend(aNow)) {
    AppendLease(aNow);
  }
}

void RolloutDriver::ReadLease()
{
  const base::TimePoint now = base::MonotonicNow();
  constexpr base::Duration kRetry = std::chrono::milliseconds(300);
  if (m_leaseReadPending || now < m_lastLeaseReadAt + kRetry) {
    return;
  }
  m_leaseReadPending = true;
  m_lastLeaseReadAt = now;
  m_log.Read(m_options.m_topic,
             m_lease.End(),
             {},
             m_options.m_readTimeout,
             [this](base::Result<store::Batch> aBatch) {
               m_leaseReadPending = false;
               if (!aBatch) {
                 return; // already logged by the follower of this log
               }
               const bool hasRecords = !aBatch->m_records.empty();
               // A record that is no longer retained may be from any host.
               const std::string fallbackHolder =
                 aBatch->m_truncated ? "unknown" : m_lease.Holder();
               const std::string holder =
                 hasRecords ? aBatch->m_records.back().m_value : fallbackHolder;
               m_lease.OnRead(aBatch->m_end, holder, base::MonotonicNow());
             });
}

void RolloutDriver::AppendLease(base::TimePoint aNow)
{
  m_lease.OnAppendSent(aNow);
  const bool held = m_lease.MaySendOrder(aNow);
  m_log.Append(m_options.m_topic,
               m_options.m_self,
               m_lease.End(),
               [this, held](base::Result<store::AppendResult> aResult) {
                 if (aResult && aResult->m_appended) {
                   m_lease.OnAppendAccepted(aResult->m_offset, base::MonotonicNow());
                   m_wasHolder = true;
                 } else {
                   m_lease.OnAppendUncertain();
                 }
                 const bool taken = aResult && aResult->m_appended;
                 if (!held || !taken) {
                   telemetry::LogLine("order_lease")
                     .Add("outcome", taken ? "taken" : (aResult ? "lost_race" : "unsure"))
                     .Add("fence", m_lease.CurrentFencingToken());
                 }
                 if (!taken) {
                   m_wasHolder = false;
                 }
               });
}

control::WorkerVersion RolloutDriver::WorkerVersionOf(const fleet::Endpoint& aEngine,
                                                      const std::string& aModel) const
{
  fleet::WeightVersion version = aEngine.m_provenWeights.at(aModel);
  bool busy = false;
  const auto known = m_engines.find(aEngine.m_incarnation);
  if (known != m_engines.end() && known->second.m_state) {
    const fleet::WeightVersion reported = known->second.m_state->m_weights.value_or(0);
    // If newer weights are proven by a reply or an entry since that report, the swap is finished.
    busy = known->second.m_state->m_busy && reported >= version;
    version = std::max(version, reported);
  }
  control::WorkerVersion view;
  view.m_worker = aEngine.m_incarnation;
  view.m_incarnation = aEngine.m_incarnation;
  view.m_version = std::to_string(version);
  view.m_swapping = busy;
  view.m_leaving = aEngine.m_leaving;
  return view;
}

void RolloutDriver::PlanSwaps(const std::string& aModel,
                              fleet::WeightVersion aVersion,
                              base::TimePoint aNow)
{
  const bool late = IsLate(aModel, aNow);
  std::vector<control::WorkerVersion> workers;
  for (const fleet::Endpoint* endpoint : m_directory.All()) {
    if (endpoint->m_provenWeights.contains(aModel)) {
      workers.push_back(WorkerVersionOf(*endpoint, aModel));
      workers.back().m_inBackoff = !late && m_isInBackoff && m_isInBackoff(endpoint->m_incarnation);
    }
  }
  // Engines with the oldest weights are the first that may no longer start requests.
  std::stable_sort(workers.begin(), workers.end(), [](const auto& aLeft, const auto& aRight) {
    return std::stoul(aLeft.m_version) < std::stoul(aRight.m_version);
  });
  auto [planner, isNew] = m_planners.try_emplace(
    aModel,
    control::SwapPlannerOptions{ .m_maxConcurrent = 1, .m_confirmTimeout = kConfirmTimeout });
  planner->second.SetMaxConcurrent(MaxConcurrentSwaps(aModel, workers.size(), aNow));
  const std::string wanted = std::to_string(aVersion);
  for (const control::SwapOrder& order : planner->second.Plan(wanted, workers, aNow)) {
    Announce(order, aModel, aNow);
  }
  for (const control::WorkerVersion& worker : workers) {
    const bool inProgress = worker.m_swapping || planner->second.HasPendingOrder(worker.m_worker);
    if (worker.m_version != wanted && inProgress) {
      QueryState(worker.m_worker, aModel, aNow);
    }
  }
}

bool RolloutDriver::IsLate(const std::string& aModel, base::TimePoint aNow)
{
  const base::TimePoint since = m_outdatedSince.try_emplace(aModel, aNow).first->second;
  return base::Seconds(aNow - since) >
         m_options.m_lateFraction * base::Seconds(m_options.m_rolloutTimeLimit);
}

std::uint32_t RolloutDriver::MaxConcurrentSwaps(const std::string& aModel,
                                                std::size_t aEngines,
                                                base::TimePoint aNow)
{
  const double share =
    IsLate(aModel, aNow) ? m_options.m_lateMaxSwapShare : m_options.m_maxSwapShare;
  return std::max(1U, static_cast<std::uint32_t>(share * static_cast<double>(aEngines)));
}

} // namespace ferrytray::rollout
