#include "ferrytray/rollout/rollout_driver.hpp"

#include <algorithm> // for max, stable_sort
#include <random>    // for random_device
#include <utility>   // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::rollout {

namespace {

/// After this an order without visible effect is given again (an answer may be lost, and a late
/// execution takes up to 12 s, but then the engine's order count has moved on).
constexpr base::Duration kConfirmWithin = std::chrono::milliseconds(3000);

} // namespace

RolloutDriver::RolloutDriver(net::Loop& aLoop,
                             store::RecordLog& aLog,
                             fleet::Directory& aDirectory,
                             OrderSink& aSink,
                             const std::map<std::string, fleet::WeightVersion>& aWanted,
                             RolloutOptions aOptions)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_directory(aDirectory)
  , m_sink(aSink)
  , m_wanted(aWanted)
  , m_options(std::move(aOptions))
  , m_lease(m_options.m_self, m_options.m_lease)
  , m_usualLoad(m_options.m_usualLoad)
{
}

void RolloutDriver::Start()
{
  m_lastTick = base::MonotonicNow();
  if (!m_standby) {
    ReadLease();
  }
  m_timer = m_loop.Every(m_options.m_tick, [this] { Tick(); });
}

void RolloutDriver::Stop()
{
  m_timer.reset();
  m_lease.Drop();
}

void RolloutDriver::Tick()
{
  const base::TimePoint now = base::MonotonicNow();
  if (now - m_lastTick > m_options.m_stall) {
    telemetry::LogLine("order_lease").Add("outcome", "dropped").Add("why", "process stood still");
    m_lease.Drop();
  }
  m_lastTick = now;
  const bool behind = EnginesBehind();
  if (!behind) {
    m_behindSince.clear();
  }
  if (!behind && !DutiesPending(now)) {
    m_tryFrom.reset();
    return;
  }
  for (const auto& [model, version] : m_wanted) {
    m_behindSince.try_emplace(model, now);
  }
  if (!m_tryFrom) {
    const base::Duration most = behind ? m_options.m_spread : m_options.m_dutySpread;
    const auto spread = static_cast<std::uint64_t>(most.count());
    m_tryFrom = now + base::Duration(m_wasHolder ? 0 : std::random_device{}() % (spread + 1));
    if (m_standby && !m_wasHolder) {
      *m_tryFrom += base::FromSeconds(m_options.m_standbyAfter * base::Seconds(m_options.m_due));
    }
  }
  if (now < *m_tryFrom || OthersOrder(now)) {
    return;
  }
  KeepLease(now);
  if (!m_lease.MaySendOrder(now)) {
    return;
  }
  for (const auto& [model, version] : m_wanted) {
    SendAnnounced(model, version);
    Drive(model, version, now);
  }
  for (LeasedDuty* duty : m_duties) {
    duty->Act(now);
  }
}

void RolloutDriver::SetStandby(bool aStandby)
{
  if (std::exchange(m_standby, aStandby) && !aStandby && m_timer && m_lease.NeedsRead()) {
    ReadLease(); // a holder's time is counted from when it was first read
  }
}

bool RolloutDriver::OthersOrder(base::TimePoint aNow) const
{
  if (m_wasHolder || !m_othersOrderedAt) {
    return false;
  }
  const base::Duration standby =
    base::FromSeconds(m_options.m_standbyAfter * base::Seconds(m_options.m_due));
  const base::Duration silence = m_standby ? standby : m_options.m_watchEvery;
  return aNow < *m_othersOrderedAt + silence;
}

bool RolloutDriver::DutiesPending(base::TimePoint aNow) const
{
  // Each is asked: one that has nothing to do keeps itself up to date by it.
  bool pending = false;
  for (LeasedDuty* duty : m_duties) {
    pending = duty->Pending(aNow) || pending;
  }
  return pending;
}

bool RolloutDriver::EnginesBehind() const
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

void RolloutDriver::KeepLease(base::TimePoint aNow)
{
  const bool watch = !m_lease.MaySendOrder(aNow) && aNow >= m_readAt + m_options.m_watchEvery;
  if (m_lease.NeedsRead() || (watch && !m_lease.ShouldAppend(aNow))) {
    ReadLease();
  } else if (m_lease.ShouldAppend(aNow)) {
    AppendLease(aNow);
  }
}

void RolloutDriver::ReadLease()
{
  const base::TimePoint now = base::MonotonicNow();
  constexpr base::Duration kRetry = std::chrono::milliseconds(300);
  if (m_reading || now < m_readAt + kRetry) {
    return;
  }
  m_reading = true;
  m_readAt = now;
  m_log.Read(m_options.m_topic,
             m_lease.End(),
             {},
             m_options.m_readPatience,
             [this](base::Result<store::Batch> aBatch) {
               m_reading = false;
               if (!aBatch) {
                 return; // the follower of the same log has said so
               }
               const bool any = !aBatch->m_records.empty();
               // A record that is no longer kept may be anybody's.
               const std::string lost = aBatch->m_truncated ? "unknown" : m_lease.Holder();
               const std::string holder = any ? aBatch->m_records.back().m_value : lost;
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

control::WorkerVersion RolloutDriver::ViewOf(const fleet::Endpoint& aEngine,
                                             const std::string& aModel) const
{
  fleet::WeightVersion version = aEngine.m_provenWeights.at(aModel);
  bool busy = false;
  const auto known = m_engines.find(aEngine.m_incarnation);
  if (known != m_engines.end() && known->second.m_state) {
    const fleet::WeightVersion reported = known->second.m_state->m_weights.value_or(0);
    // A reply or an entry has told newer weights since that report: the swap is over.
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

void RolloutDriver::Drive(const std::string& aModel,
                          fleet::WeightVersion aVersion,
                          base::TimePoint aNow)
{
  std::vector<control::WorkerVersion> workers;
  for (const fleet::Endpoint* endpoint : m_directory.All()) {
    if (endpoint->m_provenWeights.contains(aModel)) {
      workers.push_back(ViewOf(*endpoint, aModel));
    }
  }
  // Those on the oldest weights are the first that may begin nothing any more.
  std::stable_sort(workers.begin(), workers.end(), [](const auto& aLeft, const auto& aRight) {
    return std::stoul(aLeft.m_version) < std::stoul(aRight.m_version);
  });
  auto [planner, isNew] = m_planners.try_emplace(
    aModel,
    control::SwapPlannerOptions{ .m_maxConcurrent = 1, .m_confirmTimeout = kConfirmWithin });
  planner->second.SetMaxConcurrent(WidthFor(aModel, workers.size(), aNow));
  const std::string wanted = std::to_string(aVersion);
  for (const control::SwapOrder& order : planner->second.Plan(wanted, workers, aNow)) {
    Announce(order, aModel, aNow);
  }
  for (const control::WorkerVersion& worker : workers) {
    const bool underWay = worker.m_swapping || planner->second.HasPendingOrder(worker.m_worker);
    if (worker.m_version != wanted && underWay) {
      AskState(worker.m_worker, aModel, aNow);
    }
  }
}

std::uint32_t RolloutDriver::WidthFor(const std::string& aModel,
                                      std::size_t aEngines,
                                      base::TimePoint aNow)
{
  const base::TimePoint since = m_behindSince.try_emplace(aModel, aNow).first->second;
  const bool late =
    base::Seconds(aNow - since) > m_options.m_lateAfter * base::Seconds(m_options.m_due);
  const double share = late ? m_options.m_lateWidthShare : m_options.m_widthShare;
  return std::max(1U, static_cast<std::uint32_t>(share * static_cast<double>(aEngines)));
}

} // namespace ferrytray::rollout
