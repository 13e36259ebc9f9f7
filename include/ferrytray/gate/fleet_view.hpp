#pragma once

#include <deque>    // for deque
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/digest.hpp"         // for Digest128
#include "ferrytray/config/document.hpp"     // for Fleet
#include "ferrytray/control/leaving_set.hpp" // for LeavingSet
#include "ferrytray/routing/cache_hints.hpp" // for CacheHints
#include "ferrytray/routing/candidate.hpp"   // for WorkerView
#include "ferrytray/wire/frames.hpp"         // for EndpointStatus

namespace ferrytray::gate {

/// @brief What this gate knows of the endpoints: its keeper's word and its own experience.
class FleetView
{
public:
  FleetView(std::string aZone, std::size_t aHintBlocks);

  void OnEndpoints(std::vector<wire::EndpointStatus> aEndpoints, base::TimePoint aNow);
  /// @brief Work was sent to a worker; it is not in the reports yet.
  void OnSent(const std::string& aWorker, base::Duration aEngineTime, base::TimePoint aNow);
  /// @brief Work that was sent has been done, whatever the reports say yet.
  void OnWorkDone(const std::string& aWorker, base::Duration aEngineTime, base::TimePoint aNow);
  /// @brief The endpoint refused or broke; it is passed over for a moment.
  void OnFailure(const std::string& aEndpoint, base::TimePoint aNow);
  /// @brief The endpoint said itself that it leaves.
  void MarkLeaving(const std::string& aEndpoint);

  struct Candidate
  {
    const wire::EndpointStatus* m_endpoint = nullptr;
    routing::WorkerView m_view;
  };

  /// @brief The fleet's workers for a prompt, the homes of its context first.
  /// @param aTried workers that this request has tried already
  [[nodiscard]] std::vector<Candidate> Candidates(const config::Fleet& aFleet,
                                                  std::span<const base::Digest128> aBlocks,
                                                  const std::set<std::string>& aTried,
                                                  base::TimePoint aNow) const;
  /// @brief A live endpoint of a plain service, the least busy of this gate's.
  [[nodiscard]] const wire::EndpointStatus* PickService(const std::string& aService,
                                                        const std::set<std::string>& aTried,
                                                        base::TimePoint aNow) const;
  /// @brief The context's home stores in this zone (or any, if the zone has none).
  [[nodiscard]] std::vector<const wire::EndpointStatus*> HomeStores(
    const base::Digest128& aContext) const;
  /// @brief The shortest queue among a fleet's usable workers.
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
  routing::CacheHints m_hints;
  bool m_ready = false;
};

} // namespace ferrytray::gate
