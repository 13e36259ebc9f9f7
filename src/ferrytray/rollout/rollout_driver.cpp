#include "ferrytray/rollout/rollout_driver.hpp"

#include <algorithm> // for max, stable_sort
#include <random>    // for random_device
#include <utility>   // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::rollout {

namespace {

std::string_view NameOf(OrderReply aReply)
{
  switch (aReply) {
    case OrderReply::Accepted:
      return "accepted";
    case OrderReply::Holds:
      return "holds";
    case OrderReply::Refused:
      return "refused";
    case OrderReply::Unknown:
      break;
  }
  return "unknown";
}

/// After this an order without visible effect is given again (an answer may be lost, and a late
/// execution takes up to 12 s, but then the engine's order count has moved on).
constexpr base::Duration kConfirmWithin = std::chrono::milliseconds(3000);

/// An engine that loads for longer than usual is taken to need so much more.
constexpr base::Duration kStillLoads = std::chrono::milliseconds(300);

/// Requests are sent again from this part of a usual load on: a rejection costs milliseconds, an
/// idle engine its whole work, and reports tell a load's end some hundred milliseconds late.
constexpr double kOpenFrom = 0.8;

/// Reports are asked for from this part of a usual load on.
constexpr double kAskFrom = 0.8;

/// Reports come late, never early: the usual time follows shorter loads at once and longer ones
/// slowly.
constexpr double kFollowShorter = 0.5;
constexpr double kFollowLonger = 0.1;

/// Changes of one lease's reloads, far more than there are in its time.
constexpr unsigned kRevisionBits = 24;

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
  if (!m_lease.MayOrder(now)) {
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
  const bool watch = !m_lease.MayOrder(aNow) && aNow >= m_readAt + m_options.m_watchEvery;
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
               const std::string lost = aBatch->m_historyGone ? "unknown" : m_lease.Holder();
               const std::string holder = any ? aBatch->m_records.back().m_value : lost;
               m_lease.OnRead(aBatch->m_end, holder, base::MonotonicNow());
             });
}

void RolloutDriver::AppendLease(base::TimePoint aNow)
{
  m_lease.OnAppendSent(aNow);
  const bool held = m_lease.MayOrder(aNow);
  m_log.Append(m_options.m_topic,
               m_options.m_self,
               m_lease.End(),
               [this, held](base::Result<store::AppendResult> aResult) {
                 if (aResult && aResult->m_taken) {
                   m_lease.OnAppendTaken(aResult->m_offset, base::MonotonicNow());
                   m_wasHolder = true;
                 } else {
                   m_lease.OnAppendUnsure();
                 }
                 const bool taken = aResult && aResult->m_taken;
                 if (!held || !taken) {
                   telemetry::LogLine("order_lease")
                     .Add("outcome", taken ? "taken" : (aResult ? "lost_race" : "unsure"))
                     .Add("fence", m_lease.Fence());
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
    aModel, control::SwapOptions{ .m_maxConcurrent = 1, .m_confirmTimeout = kConfirmWithin });
  planner->second.SetMaxConcurrent(WidthFor(aModel, workers.size(), aNow));
  const std::string wanted = std::to_string(aVersion);
  for (const control::SwapOrder& order : planner->second.Plan(wanted, workers, aNow)) {
    Announce(order, aModel, aNow);
  }
  for (const control::WorkerVersion& worker : workers) {
    const bool underWay = worker.m_swapping || planner->second.IsOrdered(worker.m_worker);
    if (worker.m_version != wanted && underWay) {
      AskState(worker.m_worker, aModel, aNow);
    }
  }
}

void RolloutDriver::OnOrdered(const std::string& aIncarnation,
                              const WeightOrder& aOrder,
                              OrderReply aReply)
{
  const base::TimePoint now = base::MonotonicNow();
  if (aReply == OrderReply::Refused) {
    Tell(aIncarnation, aOrder.m_model, now);
    return;
  }
  Engine& engine = m_engines[aIncarnation];
  engine.m_loads = aOrder.m_version;
  engine.m_loadsSince = now;
  engine.m_loadsUntil = aReply == OrderReply::Holds ? now : now + OpenAfter();
  Tell(aIncarnation, aOrder.m_model, *engine.m_loadsUntil);
}

base::Duration RolloutDriver::OpenAfter() const
{
  return base::FromSeconds(kOpenFrom * base::Seconds(m_usualLoad));
}

void RolloutDriver::Announce(const control::SwapOrder& aOrder,
                             const std::string& aModel,
                             base::TimePoint aNow)
{
  Engine& engine = m_engines[aOrder.m_worker];
  engine.m_announced = true;
  engine.m_loadsSince.reset();
  engine.m_loadsUntil.reset();
  Tell(aOrder.m_worker, aModel, aNow + m_options.m_tick + OpenAfter());
}

void RolloutDriver::SendAnnounced(const std::string& aModel, fleet::WeightVersion aVersion)
{
  std::vector<std::string> due;
  for (const auto& [incarnation, engine] : m_engines) {
    const fleet::Endpoint* endpoint = m_directory.Find(incarnation);
    const bool runsIt = endpoint != nullptr && endpoint->m_provenWeights.contains(aModel);
    if (runsIt && engine.m_announced) {
      due.push_back(incarnation);
    }
  }
  std::stable_sort(due.begin(), due.end(), [&](const auto& aLeft, const auto& aRight) {
    return m_directory.Find(aLeft)->m_provenWeights.at(aModel) <
           m_directory.Find(aRight)->m_provenWeights.at(aModel);
  });
  for (const std::string& incarnation : due) {
    m_engines[incarnation].m_announced = false;
    const auto planner = m_planners.find(aModel);
    if (planner != m_planners.end()) {
      // Newer weights may have been named since it was announced.
      planner->second.Retarget(incarnation, std::to_string(aVersion));
    }
    Order(incarnation, aModel, aVersion);
  }
}

void RolloutDriver::Tell(const std::string& aIncarnation,
                         const std::string& aModel,
                         base::TimePoint aUntil)
{
  if (m_onReload) {
    const std::uint64_t revision = (m_lease.Fence() << kRevisionBits) + ++m_revision;
    m_onReload({ aIncarnation, aModel, m_wanted.at(aModel), aUntil, revision });
  }
}

void RolloutDriver::NoteLoad(const std::string& aIncarnation,
                             const std::string& aModel,
                             base::TimePoint aNow)
{
  Engine& engine = m_engines[aIncarnation];
  if (!engine.m_loadsSince || !engine.m_state) {
    return;
  }
  const bool over = !engine.m_state->m_busy && engine.m_state->m_weights >= engine.m_loads;
  if (over) {
    const base::Duration took = aNow - *engine.m_loadsSince;
    const double follow = took < m_usualLoad ? kFollowShorter : kFollowLonger;
    m_usualLoad += base::FromSeconds(follow * base::Seconds(took - m_usualLoad));
    engine.m_loadsSince.reset();
    if (aNow < *engine.m_loadsUntil) {
      Tell(aIncarnation, aModel, aNow);
    }
    engine.m_loadsUntil.reset();
  } else if (engine.m_state->m_busy && *engine.m_loadsUntil <= aNow) {
    engine.m_loadsUntil = aNow + kStillLoads;
    Tell(aIncarnation, aModel, *engine.m_loadsUntil);
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

void RolloutDriver::AskState(const std::string& aIncarnation,
                             const std::string& aModel,
                             base::TimePoint aNow)
{
  Engine& engine = m_engines[aIncarnation];
  const fleet::Endpoint* endpoint = m_directory.Find(aIncarnation);
  const base::Duration early = base::FromSeconds(kAskFrom * base::Seconds(m_usualLoad));
  const bool soon = aNow < engine.m_askedAt + m_options.m_stateEvery ||
                    (engine.m_loadsSince && aNow < *engine.m_loadsSince + early);
  if (engine.m_asking || soon || endpoint == nullptr) {
    return;
  }
  engine.m_asking = true;
  engine.m_askedAt = aNow;
  m_sink.ReadState(
    *endpoint, aModel, [this, aIncarnation, aModel](std::optional<EngineState> aState) {
      Engine& asked = m_engines[aIncarnation];
      asked.m_asking = false;
      if (!aState) {
        return;
      }
      const bool changed = !asked.m_state || asked.m_state->m_busy != aState->m_busy ||
                           asked.m_state->m_weights != aState->m_weights;
      asked.m_state = aState;
      if (changed) {
        telemetry::LogLine("engine_state")
          .Add("endpoint", aIncarnation)
          .Add("weights", aState->m_weights.value_or(0))
          .Add("busy", aState->m_busy ? "yes" : "no")
          .Add("orders_taken", aState->m_ordersTaken);
      }
      if (aState->m_weights) {
        m_directory.NoteWeights(aIncarnation, aModel, *aState->m_weights);
      }
      NoteLoad(aIncarnation, aModel, base::MonotonicNow());
    });
}

void RolloutDriver::Order(const std::string& aIncarnation,
                          const std::string& aModel,
                          fleet::WeightVersion aVersion)
{
  const fleet::Endpoint* endpoint = m_directory.Find(aIncarnation);
  if (endpoint == nullptr) {
    return;
  }
  // The engine's own count of orders makes one that arrives late do nothing.
  m_engines[aIncarnation].m_askedAt = base::MonotonicNow();
  m_sink.ReadState(
    *endpoint, aModel, [this, aIncarnation, aModel, aVersion](std::optional<EngineState> aState) {
      const fleet::Endpoint* engine = m_directory.Find(aIncarnation);
      const bool stillWanted = m_wanted.at(aModel) == aVersion;
      if (!aState || engine == nullptr || !stillWanted || !m_lease.MayOrder(base::MonotonicNow())) {
        Tell(aIncarnation, aModel, base::MonotonicNow());
        return; // the planner orders again after kConfirmWithin
      }
      m_engines[aIncarnation].m_state = aState;
      WeightOrder order;
      order.m_model = aModel;
      order.m_version = aVersion;
      order.m_holder = m_options.m_self;
      order.m_fence = m_lease.Fence();
      order.m_expectedOrders = aState->m_ordersTaken;
      m_sink.Send(*engine, order, [this, aIncarnation, order](OrderReply aReply) {
        OnOrdered(aIncarnation, order, aReply);
        telemetry::LogLine("weight_order")
          .Add("endpoint", aIncarnation)
          .Add("version", order.m_version)
          .Add("fence", order.m_fence)
          .Add("expected_orders", order.m_expectedOrders)
          .Add("outcome", NameOf(aReply));
      });
    });
}

} // namespace ferrytray::rollout
