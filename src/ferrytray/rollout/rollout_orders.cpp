// Order handling of RolloutDriver: announcing and sending orders, querying engines, tracking loads.
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
    case OrderReply::AlreadyLoaded:
      return "holds";
    case OrderReply::Refused:
      return "refused";
    case OrderReply::Unknown:
      break;
  }
  return "unknown";
}

/// Extension of the expected end of a load that takes longer than expected.
constexpr base::Duration kOverdueExtension = std::chrono::milliseconds(300);

/// Fraction of the expected load time after which requests are routed to the engine again. A
/// rejection costs milliseconds, an idle engine all of its capacity, and reports show the end of a
/// load some hundred milliseconds late.
constexpr double kRoutingResumeFraction = 0.8;

/// Reports are late, never early, so the expected load time adapts quickly to shorter loads and
/// slowly to longer ones.
constexpr double kShorterLoadGain = 0.5;
constexpr double kLongerLoadGain = 0.1;

/// Bits of the reload revision counter below the fencing token; more than one lease term needs.
constexpr unsigned kRevisionBits = 24;

} // namespace

void RolloutDriver::Announce(const control::SwapOrder& aOrder,
                             const std::string& aModel,
                             base::TimePoint aNow)
{
  Engine& engine = m_engines[aOrder.m_worker];
  engine.m_announced = true;
  engine.m_loadStart.reset();
  engine.m_expectedLoadEnd.reset();
  ReportReload(aOrder.m_worker, aModel, aNow + m_options.m_tickInterval + RoutingResumeDelay());
}

void RolloutDriver::OnOrderReply(const std::string& aIncarnation,
                                 const WeightOrder& aOrder,
                                 OrderReply aReply)
{
  const base::TimePoint now = base::MonotonicNow();
  if (aReply == OrderReply::Refused) {
    ReportReload(aIncarnation, aOrder.m_model, now);
    return;
  }
  Engine& engine = m_engines[aIncarnation];
  engine.m_loadingVersion = aOrder.m_version;
  engine.m_loadStart = now;
  engine.m_expectedLoadEnd = aReply == OrderReply::AlreadyLoaded ? now : now + RoutingResumeDelay();
  ReportReload(aIncarnation, aOrder.m_model, *engine.m_expectedLoadEnd);
}

void RolloutDriver::SendAnnouncedOrders(const std::string& aModel, fleet::WeightVersion aVersion)
{
  std::vector<std::string> due;
  for (const auto& [incarnation, engine] : m_engines) {
    const fleet::Endpoint* endpoint = m_directory.Find(incarnation);
    const bool servesModel = endpoint != nullptr && endpoint->m_provenWeights.contains(aModel);
    if (servesModel && engine.m_announced) {
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
      // Newer weights may be wanted since the reload was announced.
      planner->second.Retarget(incarnation, std::to_string(aVersion));
    }
    SendOrder(incarnation, aModel, aVersion);
  }
}

base::Duration RolloutDriver::RoutingResumeDelay() const
{
  return base::FromSeconds(kRoutingResumeFraction * base::Seconds(m_expectedLoadTime));
}

void RolloutDriver::ReportReload(const std::string& aIncarnation,
                                 const std::string& aModel,
                                 base::TimePoint aExpectedEnd)
{
  if (m_onReload) {
    const std::uint64_t revision = (m_lease.CurrentFencingToken() << kRevisionBits) + ++m_revision;
    m_onReload({ aIncarnation, aModel, m_wanted.at(aModel), aExpectedEnd, revision });
  }
}

void RolloutDriver::TrackLoad(const std::string& aIncarnation,
                              const std::string& aModel,
                              base::TimePoint aNow)
{
  Engine& engine = m_engines[aIncarnation];
  if (!engine.m_loadStart || !engine.m_state) {
    return;
  }
  const bool finished =
    !engine.m_state->m_busy && engine.m_state->m_weights >= engine.m_loadingVersion;
  if (finished) {
    const base::Duration duration = aNow - *engine.m_loadStart;
    const double gain = duration < m_expectedLoadTime ? kShorterLoadGain : kLongerLoadGain;
    m_expectedLoadTime += base::FromSeconds(gain * base::Seconds(duration - m_expectedLoadTime));
    engine.m_loadStart.reset();
    if (aNow < *engine.m_expectedLoadEnd) {
      ReportReload(aIncarnation, aModel, aNow);
    }
    engine.m_expectedLoadEnd.reset();
  } else if (engine.m_state->m_busy && *engine.m_expectedLoadEnd <= aNow) {
    engine.m_expectedLoadEnd = aNow + kOverdueExtension;
    ReportReload(aIncarnation, aModel, *engine.m_expectedLoadEnd);
  }
}

void RolloutDriver::QueryState(const std::string& aIncarnation,
                               const std::string& aModel,
                               base::TimePoint aNow)
{
  Engine& engine = m_engines[aIncarnation];
  const fleet::Endpoint* endpoint = m_directory.Find(aIncarnation);
  const bool tooSoon = aNow < engine.m_lastQueryAt + m_options.m_statePollInterval;
  if (engine.m_queryPending || tooSoon || endpoint == nullptr) {
    return;
  }
  engine.m_queryPending = true;
  engine.m_lastQueryAt = aNow;
  m_engineClient.ReadState(
    *endpoint, aModel, [this, aIncarnation, aModel](std::optional<EngineState> aState) {
      Engine& queried = m_engines[aIncarnation];
      queried.m_queryPending = false;
      if (!aState) {
        return;
      }
      const bool changed = !queried.m_state || queried.m_state->m_busy != aState->m_busy ||
                           queried.m_state->m_weights != aState->m_weights;
      queried.m_state = aState;
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
      TrackLoad(aIncarnation, aModel, base::MonotonicNow());
    });
}

void RolloutDriver::SendOrder(const std::string& aIncarnation,
                              const std::string& aModel,
                              fleet::WeightVersion aVersion)
{
  const fleet::Endpoint* endpoint = m_directory.Find(aIncarnation);
  if (endpoint == nullptr) {
    return;
  }
  // The expected order count makes the engine refuse an order that arrives late.
  m_engines[aIncarnation].m_lastQueryAt = base::MonotonicNow();
  m_engineClient.ReadState(
    *endpoint, aModel, [this, aIncarnation, aModel, aVersion](std::optional<EngineState> aState) {
      const fleet::Endpoint* engine = m_directory.Find(aIncarnation);
      const bool stillWanted = m_wanted.at(aModel) == aVersion;
      if (!aState || engine == nullptr || !stillWanted ||
          !m_lease.MaySendOrder(base::MonotonicNow())) {
        ReportReload(aIncarnation, aModel, base::MonotonicNow());
        return; // the planner repeats the order after kConfirmTimeout
      }
      m_engines[aIncarnation].m_state = aState;
      WeightOrder order;
      order.m_model = aModel;
      order.m_version = aVersion;
      order.m_holder = m_options.m_self;
      order.m_fence = m_lease.CurrentFencingToken();
      order.m_expectedOrders = aState->m_ordersTaken;
      m_engineClient.Send(*engine, order, [this, aIncarnation, order](OrderReply aReply) {
        OnOrderReply(aIncarnation, order, aReply);
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
