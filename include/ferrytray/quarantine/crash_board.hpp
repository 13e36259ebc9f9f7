#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/digest.hpp"                    // for DigestHash
#include "ferrytray/base/time.hpp"                      // for TimePoint
#include "ferrytray/quarantine/crash_notice.hpp"        // for CrashNotice, EndpointKey
#include "ferrytray/quarantine/notice_log.hpp"          // for NoticeLog
#include "ferrytray/quarantine/served_table.hpp"        // for ServedTable
#include "ferrytray/quarantine/unconfirmed_answers.hpp" // for UnconfirmedAnswers

namespace ferrytray::quarantine {

struct CrashTrackerOptions
{
  /// A request is quarantined when this many endpoints, one after another or at once, have crashed
  /// while running it and none has answered it completely in between. A request that merely runs
  /// beside the crashing one seldom shares its endpoint that often.
  std::size_t m_quarantineThreshold = 3;
  /// Threshold for a request that was answered completely before. Endpoints that fail together,
  /// such as those of one rack, may all be running the same popular request.
  std::size_t m_knownGoodQuarantineThreshold = 6;
  /// Crashes stored per request; further ones would not change its classification.
  std::size_t m_maxCrashesPerRequest = 8;
  /// Time after the last crash at which a quarantined request may be sent once more as a probe. A
  /// complete answer then clears a request that only ran beside the one that crashes endpoints.
  base::Duration m_probeDelay = std::chrono::seconds(5);
  /// Probe delay when no endpoint is known to be answering.
  base::Duration m_probeAnyEndpointDelay = std::chrono::seconds(15);
  /// How long an endpoint that closed connections and has not answered since is considered down.
  /// By then most crashed endpoints are no longer listed, and the others may have restarted.
  base::Duration m_assumedDowntime = std::chrono::seconds(2);
  std::size_t m_maxSuspects = 4096;
  std::size_t m_maxNotices = 4096;
  std::size_t m_servedSlots = 8192;
  std::size_t m_maxUnconfirmedAnswers = 512;
};

/// @brief Evidence against a request: the endpoints that closed its connection early.
struct Suspicion
{
  std::vector<EndpointKey> m_crashedEndpoints; ///< sorted, without duplicates
  bool m_knownGood = false;                    ///< answered completely before its first crash
  bool m_probed = false;                       ///< sent once more while quarantined
  bool operator==(const Suspicion&) const = default;
};

/// @brief Detects requests that crash the endpoints that run them, from the observations of all
/// hosts. Performs no I/O.
///
/// A request that crashes its endpoint is sent again by its caller, to any host. One broken
/// connection proves nothing: all other connections to that endpoint break with it, and a cut link
/// looks the same. Identical requests are therefore counted together over all hosts, by the number
/// of endpoints that closed a connection during one of them. A complete answer clears a request,
/// and a crash is revoked if the endpoint answers again. Requests that ran beside the crashing one
/// are suspected with it until they are answered completely elsewhere or by a probe. A request is
/// probed only once, even if hosts fail, since each probe of a crashing request costs an endpoint.
class CrashTracker
{
public:
  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @brief An endpoint closed the connection before this host had its complete answer.
  ///
  /// Ignored for requests sent to an endpoint that was already down, since it may close every new
  /// connection.
  /// @param aSentAt when this host sent the request
  void OnConnectionBroken(const RequestKey& aRequest,
                          EndpointKey aEndpoint,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow);
  /// @brief An endpoint answered the request completely.
  void OnCompleteAnswer(const RequestKey& aRequest);
  /// @brief An endpoint's answer seems complete but ended with its connection. Counts as complete
  /// once the endpoint replies to a later request.
  void OnClosedAnswer(const RequestKey& aRequest, EndpointKey aEndpoint, base::TimePoint aNow)
  {
    m_unconfirmed.Add(aRequest, aEndpoint, aNow);
  }
  /// @brief An endpoint answered a request that this host sent at aSentAt.
  void OnEndpointReply(EndpointKey aEndpoint, base::TimePoint aSentAt);
  /// @brief Merges another host's observation. @return whether it was new
  bool OnNotice(const CrashNotice& aNotice, base::TimePoint aNow);
  /// @brief Merges a suspicion read from the record log.
  void OnRecord(const RequestKey& aRequest, const Suspicion& aRecorded, base::TimePoint aNow);
  /// @brief The request's record was removed, so the request has been cleared.
  void OnRecordRemoved(const RequestKey& aRequest) { ClearSuspect(aRequest); }

  /// @brief This host is about to send a quarantined request once more.
  void OnProbeStarted(const RequestKey& aRequest, base::TimePoint aNow);

  /// @brief Whether the request is quarantined and may be probed at an endpoint that answers.
  [[nodiscard]] bool MayProbe(const RequestKey& aRequest, base::TimePoint aNow) const;
  /// @brief Whether it may also be probed at an endpoint that has not answered lately.
  [[nodiscard]] bool MayProbeAnyEndpoint(const RequestKey& aRequest, base::TimePoint aNow) const;
  /// @brief Whether an endpoint closed connections early and has not answered since.
  [[nodiscard]] bool HasCrashed(EndpointKey aEndpoint) const
  {
    return m_crashes.contains(aEndpoint);
  }
  /// @brief Whether HasCrashed() holds and the latest crash is within the assumed downtime.
  [[nodiscard]] bool IsDown(EndpointKey aEndpoint, base::TimePoint aNow) const;
  /// @brief Whether HasCrashed() holds for any endpoint.
  [[nodiscard]] bool AnyCrashed() const { return !m_crashes.empty(); }
  /// @brief Whether the request must not be sent to any endpoint.
  [[nodiscard]] bool IsQuarantined(const RequestKey& aRequest) const;
  /// @brief Returns the evidence against a request, if there is any.
  [[nodiscard]] std::optional<Suspicion> Find(const RequestKey& aRequest) const;
  /// @brief Returns the requests with at least aMinCrashes crashed endpoints.
  [[nodiscard]] std::vector<RequestKey> RequestsWithCrashes(std::size_t aMinCrashes) const;
  [[nodiscard]] std::vector<RequestKey> QuarantinedRequests() const;
  [[nodiscard]] const NoticeLog& Notices() const { return m_notices; }

private:
  struct Suspect
  {
    Suspicion m_suspicion;
    base::TimePoint m_lastCrashAt{};
  };
  struct EndpointCrash
  {
    std::vector<RequestKey> m_requests; ///< whose connections the endpoint closed early
    base::TimePoint m_firstSeenAt{};    ///< when this host learned of the first of them
    base::TimePoint m_lastSeenAt{};     ///< when this host learned of the latest of them
  };

  void AddCrash(const RequestKey& aRequest, EndpointKey aEndpoint, base::TimePoint aNow);
  void MarkKnownGood(const RequestKey& aRequest);
  void MarkProbed(const RequestKey& aRequest);
  void RemoveCrash(const RequestKey& aRequest, EndpointKey aEndpoint);
  void ClearSuspect(const RequestKey& aRequest);
  void EvictSuspects();
  [[nodiscard]] bool ReachesThreshold(const Suspicion& aSuspicion) const;
  [[nodiscard]] bool MayProbeAfter(const RequestKey& aRequest,
                                   base::Duration aDelay,
                                   base::TimePoint aNow) const;

  CrashTrackerOptions m_options;
  std::unordered_map<RequestKey, Suspect, base::DigestHash> m_suspects;
  std::unordered_map<EndpointKey, EndpointCrash> m_crashes;
  NoticeLog m_notices;
  ServedTable m_served;
  UnconfirmedAnswers m_unconfirmed;
  std::uint64_t m_lastSequence; ///< of this host's own notices
};

} // namespace ferrytray::quarantine
