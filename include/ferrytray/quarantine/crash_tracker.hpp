#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <optional>      // for optional
#include <set>           // for set
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/digest.hpp"                    // for DigestHash
#include "ferrytray/base/time.hpp"                      // for TimePoint
#include "ferrytray/quarantine/crash_notice.hpp"        // for CrashNotice
#include "ferrytray/quarantine/notice_log.hpp"          // for NoticeLog
#include "ferrytray/quarantine/quarantine_rule.hpp"     // for QuarantineThresholds
#include "ferrytray/quarantine/served_table.hpp"        // for ServedTable
#include "ferrytray/quarantine/suspicion.hpp"           // for EndpointKey, Suspicion
#include "ferrytray/quarantine/unconfirmed_answers.hpp" // for UnconfirmedAnswers

namespace ferrytray::quarantine {

struct CrashTrackerOptions
{
  QuarantineThresholds m_thresholds;
  /// Crashes stored per content; further ones would not change its classification.
  std::size_t m_maxCrashesPerContent = 8;
  /// Time after the last crash at which quarantined content may be sent once more as a probe. A
  /// complete answer then clears content that only ran beside the one that crashes endpoints.
  base::Duration m_probeDelay = std::chrono::seconds(5);
  /// The same for content that was answered before, which is less likely to be the cause.
  base::Duration m_knownGoodProbeDelay = std::chrono::seconds(1);
  /// Time from the first probe to the second one.
  base::Duration m_secondProbeDelay = std::chrono::seconds(30);
  /// Probe delay when no endpoint is known to be answering.
  base::Duration m_probeAnyEndpointDelay = std::chrono::seconds(15);
  /// Of all hosts together. A second one, since the first may fail for other reasons.
  std::uint8_t m_maxProbes = 2;
  /// A whole request with more crashes is not probed, since each probe may be another crash.
  std::size_t m_maxProbedRequestCrashes = 5;
  /// How long an endpoint that closed connections and has not answered since is considered down.
  /// By then most crashed endpoints are no longer listed, and the others may have restarted.
  base::Duration m_assumedDowntime = std::chrono::seconds(2);
  std::size_t m_maxSuspects = 4096;
  std::size_t m_maxNotices = 4096;
  std::size_t m_servedSlots = 8192; ///< for whole requests, and as many for parts
  std::size_t m_maxUnconfirmedAnswers = 512;
};

/// @brief Detects content that crashes the endpoints that run requests with it, from the
/// observations of all hosts. Performs no I/O.
///
/// Content is a whole request or a part of a prompt. A request that crashes its endpoint is sent
/// again by its caller, to any host; requests with a part that crashes endpoints may share nothing
/// else. One broken connection proves nothing: all other connections to that endpoint break with
/// it, and a cut link looks the same. So crashes are counted by content over all hosts. A complete
/// answer clears the content, and a crash is revoked if the endpoint turns out to be alive. Probes
/// of quarantined content are few, even if hosts fail, since each may crash an endpoint.
/// @see SelectQuarantined
class CrashTracker
{
public:
  explicit CrashTracker(CrashTrackerOptions aOptions = {});

  /// @brief An endpoint closed the connection before this host had its complete answer to a request
  /// with this content.
  ///
  /// Ignored for requests sent to an endpoint that was already down, since it may close every new
  /// connection.
  /// @param aSentAt when this host sent the request
  void OnConnectionBroken(const ContentKey& aContent,
                          EndpointKey aEndpoint,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow);
  /// @brief An endpoint answered a request with this content completely.
  void OnCompleteAnswer(const ContentKey& aContent);
  /// @brief An endpoint's answer seems complete but ended with its connection. Counts as complete
  /// once the endpoint replies to a later request.
  void OnClosedAnswer(const ContentKey& aContent, EndpointKey aEndpoint, base::TimePoint aNow)
  {
    m_unconfirmed.Add(aContent, aEndpoint, aNow);
  }
  /// @brief The incarnation answered a request that this host sent at aSentAt: crashes before that
  /// are revoked, closed answers before that are confirmed.
  void OnEndpointReply(EndpointKey aEndpoint, base::TimePoint aSentAt);
  /// @brief An endpoint, perhaps its next incarnation, answered a request that this host sent at
  /// aSentAt: it is no longer down.
  void OnEndpointUp(EndpointKey aEndpoint, base::TimePoint aSentAt);
  /// @brief Merges another host's observation. @return whether it was new
  bool OnNotice(const CrashNotice& aNotice, base::TimePoint aNow);
  /// @brief Merges a suspicion read from the record log.
  void OnRecord(const ContentKey& aContent, const Suspicion& aRecorded, base::TimePoint aNow);
  /// @brief The content's record was removed, so the content has been cleared.
  void OnRecordRemoved(const ContentKey& aContent) { ClearSuspect(aContent); }

  /// @brief This host is about to send a request with quarantined content.
  /// @param aProbes number of probes of the content, this one included
  void OnProbeStarted(const ContentKey& aContent, std::uint8_t aProbes, base::TimePoint aNow);

  /// @brief When quarantined content may be probed next; none if it is not quarantined or may not
  /// be probed again.
  [[nodiscard]] std::optional<base::TimePoint> NextProbeAt(const ContentKey& aContent) const;
  /// @brief Whether the content is quarantined and may be probed at an endpoint that answers.
  [[nodiscard]] bool MayProbe(const ContentKey& aContent, base::TimePoint aNow) const;
  /// @brief Whether it may also be probed at an endpoint that has not answered lately.
  [[nodiscard]] bool MayProbeAnyEndpoint(const ContentKey& aContent, base::TimePoint aNow) const;
  /// @brief Whether an endpoint closed connections early and has not proven since that it is alive.
  [[nodiscard]] bool HasCrashed(EndpointKey aEndpoint) const
  {
    return m_crashes.contains(aEndpoint);
  }
  /// @brief Whether HasCrashed() holds and neither the endpoint nor its next incarnation has
  /// answered this host since.
  [[nodiscard]] bool IsSilentSinceCrash(EndpointKey aEndpoint) const;
  /// @brief Returns when this host learned of the endpoint's latest crash, if HasCrashed() holds.
  [[nodiscard]] std::optional<base::TimePoint> CrashedAt(EndpointKey aEndpoint) const;
  /// @brief Whether IsSilentSinceCrash() holds and the crash is within the assumed downtime.
  [[nodiscard]] bool IsDown(EndpointKey aEndpoint, base::TimePoint aNow) const;
  /// @brief Whether HasCrashed() holds for any endpoint.
  [[nodiscard]] bool AnyCrashed() const { return !m_crashes.empty(); }
  /// @brief Whether requests with this content must not be sent to any endpoint.
  [[nodiscard]] bool IsQuarantined(const ContentKey& aContent) const
  {
    return Quarantined().contains(aContent);
  }
  /// @brief Returns the evidence against the content, if there is any.
  [[nodiscard]] std::optional<Suspicion> Find(const ContentKey& aContent) const;
  /// @brief Returns the content with at least aMinCrashes crashed endpoints.
  [[nodiscard]] std::vector<ContentKey> ContentWithCrashes(std::size_t aMinCrashes) const;
  /// @brief Returns the quarantined content; valid until the next change.
  [[nodiscard]] const std::set<ContentKey>& Quarantined() const;
  [[nodiscard]] const NoticeLog& Notices() const { return m_notices; }

private:
  struct SuspectState
  {
    Suspicion m_suspicion;
    base::TimePoint m_lastCrashAt{};
    base::TimePoint m_lastProbeAt{};
  };
  struct EndpointCrash
  {
    std::vector<ContentKey> m_content; ///< of the requests whose connections it closed early
    base::TimePoint m_downSince{};     ///< when this host first learned of the latest crash
    base::TimePoint m_lastSeenAt{};    ///< when this host last learned of a broken connection
    bool m_answeredSince = false;      ///< the endpoint or its next incarnation
  };

  void AddCrash(const ContentKey& aContent, EndpointKey aEndpoint, base::TimePoint aNow);
  void MarkKnownGood(const ContentKey& aContent);
  void MarkProbed(const ContentKey& aContent, std::uint8_t aProbes, base::TimePoint aNow);
  void RemoveCrash(const ContentKey& aContent, EndpointKey aEndpoint);
  void ClearSuspect(const ContentKey& aContent);
  void EvictSuspects();
  [[nodiscard]] ServedTable& ServedOf(const ContentKey& aContent)
  {
    return IsPart(aContent) ? m_servedParts : m_servedRequests;
  }

  CrashTrackerOptions m_options;
  std::unordered_map<ContentKey, SuspectState, base::DigestHash> m_suspects;
  std::unordered_map<EndpointKey, EndpointCrash> m_crashes;
  /// Computed on demand and dropped with each change of the evidence.
  mutable std::optional<std::set<ContentKey>> m_quarantined;
  NoticeLog m_notices;
  ServedTable m_servedRequests;
  ServedTable m_servedParts;
  UnconfirmedAnswers m_unconfirmed;
  std::uint64_t m_lastSequence; ///< of this host's own notices
};

} // namespace ferrytray::quarantine
