#include "ferrytray/relay/slot_client.hpp"

#include <algorithm> // for min
#include <utility>   // for move

#include "ferrytray/base/digest.hpp"             // for Hash64
#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "ferrytray/relay/endpoint_signals.hpp"  // for LogInvalidHeader
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine

namespace ferrytray::relay {

namespace {

limits::ServiceKey KeyOfService(const std::string& aService)
{
  return base::Hash64("service", aService);
}

} // namespace

bool NeedsSlot(const RelayCore& aCore, const std::string& aService, base::TimePoint aNow)
{
  return aCore.m_slotClient != nullptr && !aCore.m_brittleServices.Empty() &&
         aCore.m_brittleServices.IsBrittle(KeyOfService(aService), aNow);
}

void RecordBrittleness(RelayCore& aCore,
                       const fleet::Endpoint& aEndpoint,
                       const ReplyHead& aHead,
                       base::TimePoint aSentAt,
                       base::TimePoint aNow)
{
  if (aHead.m_invalidBrittleness) {
    aCore.m_metrics.Count("endpoint_brittleness_invalid_total");
    LogInvalidHeader(aCore,
                     "endpoint_brittle",
                     aEndpoint.m_incarnation,
                     "the number of rejections is no finite number of at least 0",
                     aNow);
  }
  const bool brittle = aHead.m_maxRejections.has_value() || aHead.m_invalidBrittleness;
  if (aCore.m_brittleServices.OnAnswer(KeyOfService(aEndpoint.m_service), brittle, aSentAt, aNow)) {
    telemetry::LogLine("endpoint_brittle")
      .Add("endpoint", aEndpoint.m_incarnation)
      .Add("service", aEndpoint.m_service)
      .Add("outcome", "begun")
      .Add("rejections", aHead.m_maxRejections.value_or(0));
  }
}

SlotClient::SlotClient(RelayCore& aCore, peers::PeerExchange& aPeerExchange, SlotOptions aOptions)
  : m_core(aCore)
  , m_peerExchange(aPeerExchange)
  , m_options(aOptions)
  // Later than that of a former process of this host.
  , m_sequence(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(base::MonotonicNow().time_since_epoch())
        .count()))
{
  m_peerExchange.OnSlotRequest(
    [this](const limits::SlotRequest& aRequest) { return Issue(aRequest); });
}

void SlotClient::Request(const fleet::Endpoint& aEndpoint, Done aDone)
{
  const limits::EndpointKey key = peers::KeyOf(aEndpoint.m_incarnation);
  Entry& entry = m_entries[key];
  entry.m_incarnation = aEndpoint.m_incarnation;
  entry.m_zone = aEndpoint.m_zone;
  entry.m_slots = aEndpoint.m_slots;
  entry.m_waiting.push_back(std::move(aDone));
  if (!entry.m_pending) {
    Send(key);
  }
}

void SlotClient::OnEnded(const std::string& aIncarnation, bool aRejected)
{
  const limits::EndpointKey key = peers::KeyOf(aIncarnation);
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_rejections += aRejected ? 1 : 0;
  entry.m_changedSince = true;
  if (!entry.m_pending && !entry.m_reportTimer) {
    entry.m_reportTimer = m_core.m_loop.After(m_options.m_reportDelay, [this, key] { Send(key); });
  }
}

void SlotClient::Send(limits::EndpointKey aKey)
{
  Entry& entry = m_entries.at(aKey);
  entry.m_reportTimer.reset();
  if (entry.m_pending) {
    return;
  }
  const base::TimePoint now = base::MonotonicNow();
  const auto wanted =
    static_cast<std::uint32_t>(std::min<std::size_t>(entry.m_waiting.size(), entry.m_slots));
  const limits::SlotRequest request{ aKey,
                                     m_peerExchange.Name(),
                                     ++m_sequence,
                                     entry.m_slots,
                                     m_core.m_endpointTracker.OpenRequests(entry.m_incarnation),
                                     wanted,
                                     std::exchange(entry.m_rejections, 0U) };
  entry.m_changedSince = false;
  entry.m_reportedAt = now;
  const std::optional<peers::Peer> host =
    m_peerExchange.PermitIssuer(aKey, entry.m_zone, HostsInBackoff(now), now);
  if (!host || m_peerExchange.IsSelf(*host)) {
    const limits::SlotDecision decision = m_issuer.Request(request, now);
    OnReply(aKey, wanted, decision.m_granted, decision.m_retryAfter);
    return;
  }
  entry.m_pending = true;
  m_peerExchange.RequestSlots(
    *host,
    request,
    [this, aKey, wanted, name = host->m_name](std::optional<peers::SlotReply> aReply) {
      const auto found = m_entries.find(aKey);
      if (found == m_entries.end()) {
        return;
      }
      found->second.m_pending = false;
      if (!aReply) {
        m_backoffUntil[name] = base::MonotonicNow() + m_options.m_hostBackoff;
        OnReply(aKey, wanted, 0, m_options.m_retryDelay);
        return;
      }
      OnReply(
        aKey, wanted, aReply->m_granted, std::chrono::milliseconds(aReply->m_retryAfterMillis));
    });
}

void SlotClient::OnReply(limits::EndpointKey aKey,
                         std::uint32_t aWanted,
                         std::uint32_t aGranted,
                         base::Duration aRetryAfter)
{
  const base::TimePoint now = base::MonotonicNow();
  const std::uint32_t granted = std::min(aGranted, aWanted);
  std::vector<Done> answered;
  {
    Entry& entry = m_entries.at(aKey);
    // A denial applies to all requests that wait: asking for each would delay the other hosts.
    const std::size_t count = granted < aWanted ? entry.m_waiting.size() : aWanted;
    for (std::size_t i = 0; i < count && !entry.m_waiting.empty(); ++i) {
      answered.push_back(std::move(entry.m_waiting.front()));
      entry.m_waiting.pop_front();
    }
  }
  if (granted < aWanted) {
    m_core.m_slotDenials.OnDenied(aKey, now + aRetryAfter);
  }
  m_core.m_metrics.Count("slots_total{outcome=\"granted\"}", granted);
  m_core.m_metrics.Count("slots_total{outcome=\"denied\"}", aWanted - granted);
  const std::string incarnation = m_entries.at(aKey).m_incarnation;
  const std::uint32_t openBefore = m_core.m_endpointTracker.OpenRequests(incarnation);
  for (std::size_t i = 0; i < answered.size(); ++i) {
    answered[i](i < granted);
  }
  Entry& entry = m_entries.at(aKey);
  if (m_core.m_endpointTracker.OpenRequests(incarnation) < openBefore + granted) {
    entry.m_changedSince = true; // a request that was granted a slot has ended meanwhile
  }
  if (entry.m_pending) {
    return;
  }
  if (!entry.m_waiting.empty()) {
    Send(aKey);
  } else if (entry.m_changedSince && !entry.m_reportTimer) {
    entry.m_reportTimer =
      m_core.m_loop.After(m_options.m_reportDelay, [this, aKey] { Send(aKey); });
  }
}

peers::SlotReply SlotClient::Issue(const limits::SlotRequest& aRequest)
{
  const limits::SlotDecision decision = m_issuer.Request(aRequest, base::MonotonicNow());
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(decision.m_retryAfter).count();
  return { decision.m_granted, static_cast<std::int32_t>(millis) };
}

std::set<std::string> SlotClient::HostsInBackoff(base::TimePoint aNow) const
{
  std::set<std::string> hosts;
  for (const auto& [host, until] : m_backoffUntil) {
    if (aNow < until) {
      hosts.insert(host);
    }
  }
  return hosts;
}

void SlotClient::Expire(base::TimePoint aNow)
{
  m_issuer.Expire(aNow);
  m_core.m_slotDenials.Expire(aNow);
  m_core.m_brittleServices.Expire(aNow);
  std::erase_if(m_backoffUntil, [&](const auto& aPair) { return aPair.second <= aNow; });
  std::erase_if(m_entries, [&](const auto& aPair) {
    const Entry& entry = aPair.second;
    const bool idle = !entry.m_pending && !entry.m_reportTimer && entry.m_waiting.empty();
    return idle && m_core.m_endpointTracker.OpenRequests(entry.m_incarnation) == 0 &&
           aNow >= entry.m_reportedAt + 2 * m_options.m_renewInterval;
  });
  std::vector<limits::EndpointKey> due;
  for (const auto& [key, entry] : m_entries) {
    if (!entry.m_pending && !entry.m_reportTimer &&
        aNow >= entry.m_reportedAt + m_options.m_renewInterval) {
      due.push_back(key);
    }
  }
  for (const limits::EndpointKey key : due) {
    Send(key);
  }
}

} // namespace ferrytray::relay
