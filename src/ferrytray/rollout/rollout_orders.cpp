// Orders to engines: announced, sent, and what engines and the ends of their loads tell.
#include "ferrytray/rollout/rollout_driver.hpp"

#include <algorithm> // for stable_sort

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

/// An engine that loads for longer than usual is taken to need so much more.
constexpr base::Duration kStillLoads = std::chrono::milliseconds(300);

/// Requests are sent again from this part of a usual load on: a rejection costs milliseconds, an
/// idle engine its whole work, and reports tell a load's end some hundred milliseconds late.
constexpr double kOpenFrom = 0.8;

/// Reports come late, never early: the usual time follows shorter loads at once and longer ones
/// slowly.
constexpr double kFollowShorter = 0.5;
constexpr double kFollowLonger = 0.1;

/// Changes of one lease's reloads, far more than there are in its time.
constexpr unsigned kRevisionBits = 24;

} // namespace

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

base::Duration RolloutDriver::OpenAfter() const
{
  return base::FromSeconds(kOpenFrom * base::Seconds(m_usualLoad));
}

void RolloutDriver::Tell(const std::string& aIncarnation,
                         const std::string& aModel,
                         base::TimePoint aUntil)
{
  if (m_onReload) {
    const std::uint64_t revision = (m_lease.CurrentFencingToken() << kRevisionBits) + ++m_revision;
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

void RolloutDriver::AskState(const std::string& aIncarnation,
                             const std::string& aModel,
                             base::TimePoint aNow)
{
  Engine& engine = m_engines[aIncarnation];
  const fleet::Endpoint* endpoint = m_directory.Find(aIncarnation);
  const bool soon = aNow < engine.m_askedAt + m_options.m_stateEvery;
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
        m_directory.NoteProvenWeights(aIncarnation, aModel, *aState->m_weights);
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
      if (!aState || engine == nullptr || !stillWanted ||
          !m_lease.MaySendOrder(base::MonotonicNow())) {
        Tell(aIncarnation, aModel, base::MonotonicNow());
        return; // the planner orders again after kConfirmWithin
      }
      m_engines[aIncarnation].m_state = aState;
      WeightOrder order;
      order.m_model = aModel;
      order.m_version = aVersion;
      order.m_holder = m_options.m_self;
      order.m_fence = m_lease.CurrentFencingToken();
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
