#pragma once

#include <deque>    // for deque
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/digest.hpp"              // for Digest128
#include "ferrytray/config/document.hpp"          // for Fleet
#include "ferrytray/control/leaving_set.hpp"      // for LeavingSet
#include "ferrytray/limits/endpoint_backoffs.hpp" // for EndpointBackoffs
#include "ferrytray/routing/cache_hints.hpp"      // for CacheHints
#include "ferrytray/routing/candidate.hpp"        // for WorkerView
#include "ferrytray/wire/frames.hpp"              // for EndpointStatus

namespace ferrytray::gate {

/// @brief State of the endpoints as the keeper reports it, adjusted by this gate's own requests.
class FleetView
{
public:
  FleetView(std::string aZone, std::size_t aHintBlocks);

  void OnEndpoints(std::vector<wire::EndpointStatus> aEndpoints, base::TimePoint aNow);
  /// @brief Work was sent to a worker and is not in its load report yet.
  void OnSent(const std::string& aWorker, base::Duration aEngineTime, base::TimePoint aNow);
  /// @brief Work sent earlier is done, even if the last load report still includes it.
  void OnWorkDone(const std::string& aWorker, base::Duration aEngineTime, base::TimePoint aNow);
  /// @brief The endpoint failed a request; excludes it for a short cooldown.
  void OnFailure(const std::string& aEndpoint, base::TimePoint aNow);
  /// @brief The endpoint refused a request and named a delay, in which it gets no further ones.
  void OnBackoffRequested(const std::string& aEndpoint,
                          base::Duration aDelay,
                          base::TimePoint aNow);
  /// @brief The endpoint reported that it is leaving.
  void MarkLeaving(const std::string& aEndpoint);

  struct Candidate
  {
    const wire::EndpointStatus* m_endpoint = nullptr;
    routing::WorkerView m_view;
  };

  /// @brief The fleet's workers for a prompt, the home workers of its context first.
  /// @param aTried workers to exclude because this request has already tried them
  [[nodiscard]] std::vector<Candidate> Candidates(const config::Fleet& aFleet,
                                                  std::span<const base::Digest128> aBlocks,
                                                  const std::set<std::string>& aTried,
                                                  base::TimePoint aNow) const;
  /// @brief The usable endpoint of a service with the fewest open calls from this gate.
  [[nodiscard]] const wire::EndpointStatus* PickService(const std::string& aService,
                                                        const std::set<std::string>& aTried,
                                                        base::TimePoint aNow) const;
  /// @brief The context's home stores in this zone, or in any zone if this one has no store.
  [[nodiscard]] std::vector<const wire::EndpointStatus*> HomeStores(
    const base::Digest128& aContext) const;
  /// @brief Whether an endpoint that was picked earlier may still get a request.
  [[nodiscard]] bool IsStillUsable(const std::string& aEndpoint, base::TimePoint aNow) const;
  /// @brief When the first backoff of an endpoint of a fleet or service ends; empty: none is in
  /// backoff.
  [[nodiscard]] std::optional<base::TimePoint> EarliestBackoffEnd(const std::string& aPool,
                                                                  base::TimePoint aNow) const;
  /// @brief The shortest queue wait among a fleet's usable workers.
  [[nodiscard]] std::optional<base::Duration> ShortestQueueWait(const std::string& aFleet,
                                                                base::TimePoint aNow) const;

  void BeginService(const std::string& aEndpoint) { ++m_openCalls[aEndpoint]; }
  void EndService(const std::string& aEndpoint);
  [[nodiscard]] const control::LeavingSet& Leaving() const { return m_leaving; }
  [[nodiscard]] const std::vector<wire::EndpointStatus>& Endpoints() const { return m_endpoints; }
  routing::CacheHints& Hints() { return m_hints; }
  [[nodiscard]] bool Ready() const { return m_ready; }

private:
  struct SentWork
  {
    base::TimePoint m_at;
    base::Duration m_engineTime;
  };

  struct CompletedWork
  {
    base::TimePoint m_sentAt;
    base::TimePoint m_at;
    base::Duration m_engineTime;
  };

  [[nodiscard]] routing::WorkerView ViewOf(const wire::EndpointStatus& aEndpoint,
                                           base::TimePoint aNow) const;
  [[nodiscard]] static limits::EndpointKey KeyOf(const wire::EndpointStatus& aEndpoint);
  [[nodiscard]] bool IsUsable(const wire::EndpointStatus& aEndpoint, base::TimePoint aNow) const;

  std::string m_zone;
  std::vector<wire::EndpointStatus> m_endpoints;
  base::TimePoint m_updatedAt{};
  std::map<std::string, std::deque<SentWork>> m_sentWork;
  std::map<std::string, std::deque<CompletedWork>> m_completedWork;
  std::map<std::string, base::TimePoint> m_cooldownUntil;
  std::map<std::string, int> m_openCalls;
  std::map<std::string, std::string> m_runningVersions;
  control::LeavingSet m_leaving;
  limits::EndpointBackoffs m_backoffs;
  routing::CacheHints m_hints;
  bool m_ready = false;
};

} // namespace ferrytray::gate
