#include "ferrytray/gate/fleet_view.hpp"

#include <algorithm> // for any_of, min, stable_partition

#include "ferrytray/base/digest.hpp"        // for Hash64
#include "ferrytray/routing/estimate.hpp"   // for QueueWait
#include "ferrytray/routing/rendezvous.hpp" // for RendezvousHomes

namespace ferrytray::gate {

namespace {

constexpr std::size_t kHomeWorkers = 2;
constexpr std::size_t kHomeStores = 2;
constexpr base::Duration kFailureCooldown = std::chrono::seconds(1);
constexpr base::Duration kWorkHistory = std::chrono::seconds(30);
constexpr base::Duration kSameZoneLatency = std::chrono::microseconds(500);
constexpr base::Duration kCrossZoneLatency = std::chrono::milliseconds(2);
constexpr double kDefaultTokensPerSecond = 10000; // until the first load report
constexpr base::Duration kMaxReportAge = std::chrono::seconds(10);

} // namespace

FleetView::FleetView(std::string aZone, std::size_t aHintBlocks)
  : m_zone(std::move(aZone))
  , m_hints(aHintBlocks)
{
}

void FleetView::OnEndpoints(std::vector<wire::EndpointStatus> aEndpoints, base::TimePoint aNow)
{
  std::map<std::string, std::string> currentIncarnations;
  for (const wire::EndpointStatus& endpoint : aEndpoints) {
    const std::string& name = endpoint.m_host.m_name;
    currentIncarnations[name] = endpoint.m_host.m_incarnation;
    if (endpoint.m_host.m_leaving) {
      m_leaving.Add(name, endpoint.m_host.m_incarnation);
    }
    // A weight swap or a restart empties the worker's cache.
    const std::string running = endpoint.m_host.m_incarnation + "@" + endpoint.m_load.m_version;
    std::string& before = m_runningVersions[name];
    if (before != running) {
      m_hints.Forget(name);
      before = running;
    }
  }
  m_leaving.Prune(currentIncarnations);
  m_backoffs.Expire(aNow);
  m_endpoints = std::move(aEndpoints);
  m_updatedAt = aNow;
  // Without any load report, routing estimates have no basis.
  const bool anyReport =
    std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto& aEndpoint) {
      return aEndpoint.m_host.m_role == wire::Role::Engine &&
             !aEndpoint.m_load.m_incarnation.empty();
    });
  const bool anyEngine =
    std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto& aEndpoint) {
      return aEndpoint.m_host.m_role == wire::Role::Engine;
    });
  m_ready = m_ready || anyReport || (!anyEngine && !m_endpoints.empty());
}

void FleetView::OnSent(const std::string& aWorker, base::Duration aEngineTime, base::TimePoint aNow)
{
  std::deque<SentWork>& sent = m_sentWork[aWorker];
  sent.push_back({ aNow, aEngineTime });
  while (!sent.empty() && aNow - sent.front().m_at > kWorkHistory) {
    sent.pop_front();
  }
}

void FleetView::OnWorkDone(const std::string& aWorker,
                           base::Duration aEngineTime,
                           base::TimePoint aNow)
{
  std::deque<SentWork>& sent = m_sentWork[aWorker];
  const auto done = std::find_if(sent.begin(), sent.end(), [&](const SentWork& aSent) {
    return aSent.m_engineTime == aEngineTime;
  });
  if (done != sent.end()) {
    std::deque<CompletedWork>& answered = m_completedWork[aWorker];
    answered.push_back({ done->m_at, aNow, aEngineTime });
    while (aNow - answered.front().m_at > kWorkHistory) {
      answered.pop_front();
    }
    sent.erase(done);
  }
}

void FleetView::OnFailure(const std::string& aEndpoint, base::TimePoint aNow)
{
  m_cooldownUntil[aEndpoint] = aNow + kFailureCooldown;
}

void FleetView::OnBackoffRequested(const std::string& aEndpoint,
                                   base::Duration aDelay,
                                   base::TimePoint aNow)
{
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    if (endpoint.m_host.m_name == aEndpoint) {
      m_backoffs.OnRefused(KeyOf(endpoint), aDelay, aNow);
    }
  }
}

void FleetView::MarkLeaving(const std::string& aEndpoint)
{
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    if (endpoint.m_host.m_name == aEndpoint) {
      m_leaving.Add(aEndpoint, endpoint.m_host.m_incarnation);
    }
  }
}

void FleetView::EndService(const std::string& aEndpoint)
{
  const auto found = m_openCalls.find(aEndpoint);
  if (found != m_openCalls.end() && --found->second <= 0) {
    m_openCalls.erase(found);
  }
}

limits::EndpointKey FleetView::KeyOf(const wire::EndpointStatus& aEndpoint)
{
  return base::Hash64(aEndpoint.m_host.m_name, aEndpoint.m_host.m_incarnation);
}

bool FleetView::IsStillUsable(const std::string& aEndpoint, base::TimePoint aNow) const
{
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aListed) {
    return aListed.m_host.m_name == aEndpoint && IsUsable(aListed, aNow);
  });
}

std::optional<base::TimePoint> FleetView::EarliestBackoffEnd(const std::string& aPool,
                                                             base::TimePoint aNow) const
{
  std::optional<base::TimePoint> earliest;
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    const auto endsAt = m_backoffs.EndsAt(KeyOf(endpoint), aNow);
    if (endpoint.m_host.m_pool == aPool && endsAt) {
      earliest = std::min(earliest.value_or(*endsAt), *endsAt);
    }
  }
  return earliest;
}

bool FleetView::IsUsable(const wire::EndpointStatus& aEndpoint, base::TimePoint aNow) const
{
  const auto failed = m_cooldownUntil.find(aEndpoint.m_host.m_name);
  const bool inCooldown = failed != m_cooldownUntil.end() && aNow < failed->second;
  return !inCooldown && !m_backoffs.EndsAt(KeyOf(aEndpoint), aNow) &&
         !m_leaving.Contains(aEndpoint.m_host.m_name, aEndpoint.m_host.m_incarnation);
}

routing::WorkerView FleetView::ViewOf(const wire::EndpointStatus& aEndpoint,
                                      base::TimePoint aNow) const
{
  routing::WorkerView view;
  const base::Duration sinceUpdate = aNow - m_updatedAt;
  view.m_reportAge = std::chrono::milliseconds(aEndpoint.m_reportAgeMillis) + sinceUpdate;
  view.m_reportedWait = std::chrono::milliseconds(aEndpoint.m_load.m_queuedMillis);
  view.m_tokensPerSecond = aEndpoint.m_load.m_tokensPerSecond > 0
                             ? aEndpoint.m_load.m_tokensPerSecond
                             : kDefaultTokensPerSecond;
  view.m_roundTrip = aEndpoint.m_host.m_zone == m_zone ? kSameZoneLatency : kCrossZoneLatency;
  view.m_usable = IsUsable(aEndpoint, aNow);
  const base::TimePoint reportedAt = aNow - view.m_reportAge;
  const auto sent = m_sentWork.find(aEndpoint.m_host.m_name);
  if (sent != m_sentWork.end()) {
    for (const SentWork& work : sent->second) {
      if (work.m_at > reportedAt) {
        view.m_sentSinceReport += work.m_engineTime;
      }
    }
  }
  const auto answered = m_completedWork.find(aEndpoint.m_host.m_name);
  if (answered != m_completedWork.end()) {
    for (const CompletedWork& work : answered->second) {
      if (work.m_sentAt <= reportedAt && work.m_at > reportedAt) {
        view.m_completedSinceReport += work.m_engineTime;
      }
    }
  }
  return view;
}

std::vector<FleetView::Candidate> FleetView::Candidates(const config::Fleet& aFleet,
                                                        std::span<const base::Digest128> aBlocks,
                                                        const std::set<std::string>& aTried,
                                                        base::TimePoint aNow) const
{
  std::vector<Candidate> candidates;
  std::vector<std::string> names;
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    const bool inFleet =
      endpoint.m_host.m_role == wire::Role::Engine && endpoint.m_host.m_pool == aFleet.m_name;
    if (!inFleet || aTried.contains(endpoint.m_host.m_name)) {
      continue;
    }
    Candidate candidate{ &endpoint, ViewOf(endpoint, aNow) };
    const bool runsOtherVersion =
      !endpoint.m_load.m_version.empty() && endpoint.m_load.m_version != aFleet.m_version;
    // A worker with a different version would reject the request; only keepers swap weights.
    candidate.m_view.m_usable =
      candidate.m_view.m_usable && !runsOtherVersion && !endpoint.m_load.m_swapping;
    candidate.m_view.m_cachedBlocks = m_hints.CachedPrefix(endpoint.m_host.m_name, aBlocks);
    candidates.push_back(candidate);
    names.push_back(endpoint.m_host.m_name);
  }
  if (aBlocks.empty()) {
    return candidates;
  }
  const auto homes = routing::RendezvousHomes(aBlocks.front(), names, kHomeWorkers);
  std::size_t position = 0;
  for (const std::size_t home : homes) {
    const auto found =
      std::find_if(candidates.begin(), candidates.end(), [&](const Candidate& aCandidate) {
        return aCandidate.m_endpoint->m_host.m_name == names[home];
      });
    std::swap(candidates[position++], *found);
  }
  return candidates;
}

const wire::EndpointStatus* FleetView::PickService(const std::string& aService,
                                                   const std::set<std::string>& aTried,
                                                   base::TimePoint aNow) const
{
  const wire::EndpointStatus* best = nullptr;
  int fewestCalls = 0;
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    const bool inService =
      endpoint.m_host.m_role == wire::Role::Service && endpoint.m_host.m_pool == aService;
    if (!inService || aTried.contains(endpoint.m_host.m_name) || !IsUsable(endpoint, aNow)) {
      continue;
    }
    const auto open = m_openCalls.find(endpoint.m_host.m_name);
    // Prefers this zone: an endpoint in another zone counts as having 4 more open calls.
    const int zonePenalty = endpoint.m_host.m_zone == m_zone ? 0 : 4;
    const int calls = (open == m_openCalls.end() ? 0 : open->second) + zonePenalty;
    if (best == nullptr || calls < fewestCalls) {
      best = &endpoint;
      fewestCalls = calls;
    }
  }
  return best;
}

std::vector<const wire::EndpointStatus*> FleetView::HomeStores(
  const base::Digest128& aContext) const
{
  std::vector<const wire::EndpointStatus*> stores;
  std::vector<std::string> names;
  const auto collect = [&](bool aOwnZone) {
    for (const wire::EndpointStatus& endpoint : m_endpoints) {
      const bool zoneFits = !aOwnZone || endpoint.m_host.m_zone == m_zone;
      if (endpoint.m_host.m_role == wire::Role::Store && zoneFits && !endpoint.m_host.m_leaving) {
        stores.push_back(&endpoint);
        names.push_back(endpoint.m_host.m_name);
      }
    }
  };
  collect(true);
  if (stores.empty()) {
    collect(false);
  }
  std::vector<const wire::EndpointStatus*> homes;
  for (const std::size_t home : routing::RendezvousHomes(aContext, names, kHomeStores)) {
    homes.push_back(stores[home]);
  }
  return homes;
}

std::optional<base::Duration> FleetView::ShortestQueueWait(const std::string& aFleet,
                                                           base::TimePoint aNow) const
{
  std::optional<base::Duration> shortest;
  for (const wire::EndpointStatus& endpoint : m_endpoints) {
    const bool inFleet =
      endpoint.m_host.m_role == wire::Role::Engine && endpoint.m_host.m_pool == aFleet;
    if (!inFleet || !IsUsable(endpoint, aNow) || endpoint.m_load.m_swapping) {
      continue;
    }
    const base::Duration wait = routing::QueueWait(ViewOf(endpoint, aNow), kMaxReportAge);
    shortest = shortest ? std::min(*shortest, wait) : wait;
  }
  return shortest;
}

} // namespace ferrytray::gate
