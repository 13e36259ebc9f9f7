#pragma once

#include <deque>  // for deque
#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/base/time.hpp"               // for Duration, TimePoint
#include "ferrytray/quarantine/crash_notice.hpp" // for ContentKey, EndpointKey
#include "ferrytray/relay/relay_core.hpp"        // for RelayCore

namespace ferrytray::relay {

struct CrashReporterOptions
{
  /// An answer that is read later than this after a connection broke had not been received before.
  base::Duration m_minDelay = std::chrono::milliseconds(10);
  /// After this a broken connection is reported without confirmation, unless connects fail.
  base::Duration m_maxDelay = std::chrono::milliseconds(1000);
  /// How long it may stay undecided whether an endpoint crashed.
  base::Duration m_maxUndecided = std::chrono::seconds(6);
  /// An endpoint that crashed is removed from the directory within this time, or its id is listed
  /// with a later start time.
  base::Duration m_maxListedAfterCrash = std::chrono::seconds(5);
  /// From the start of an endpoint until its entry can be read.
  base::Duration m_entryDelay = std::chrono::milliseconds(500);
  std::size_t m_maxClosedAnswers = 512;
};

/// @brief A request whose answer ended with the connection.
struct EndedConnection
{
  std::string m_incarnation;                     ///< of the endpoint
  std::vector<quarantine::ContentKey> m_content; ///< of the request
  base::TimePoint m_sentAt{};                    ///< when this host sent the request
  base::TimePoint m_endedAt{};
};

/// @brief Reports to the crash tracker which endpoints crashed and which are alive, once it is
/// certain.
///
/// A broken connection is no crash if this host was partitioned at that moment: a partition may
/// reset all connections at once, as the crash of all endpoints would. An answer of another
/// endpoint after the break, or a new connection, shows that it was not. While no connection can be
/// opened, the directory decides: an endpoint that crashed is removed, or its id is listed with a
/// later start time.
///
/// A reply does not show which incarnation sent it, since an endpoint may restart under its id. It
/// proves that the known incarnation is alive if a later read of the directory still lists that, or
/// if the request was in progress at the break.
class CrashReporter
{
public:
  explicit CrashReporter(RelayCore& aCore, CrashReporterOptions aOptions = {})
    : m_core(aCore)
    , m_options(aOptions)
  {
  }

  /// @brief An endpoint closed the connection before its answer was complete.
  void OnConnectionBroken(EndedConnection aBroken);
  /// @brief An endpoint's answer seems complete but ended with its connection.
  void OnClosedAnswer(EndedConnection aClosed);
  /// @brief An endpoint answered or accepted a connection.
  void OnEndpointAlive(quarantine::EndpointKey aEndpoint, base::TimePoint aNow);
  /// @brief An endpoint that is listed as this incarnation replied to a request.
  /// @param aSentAt when this host sent the request
  void OnReply(const std::string& aIncarnation, base::TimePoint aSentAt, base::TimePoint aNow);
  /// @brief Reports or discards what can be decided now. Call often.
  void Check(base::TimePoint aNow);
  [[nodiscard]] bool HasPending() const { return !m_pending.empty(); }

private:
  struct Pending
  {
    EndedConnection m_broken;
    bool m_directoryDecides = false; ///< no connection could be opened since
  };
  /// The first reply since a break that the next incarnation may have sent.
  struct UnverifiedReply
  {
    base::TimePoint m_sentAt{};
    base::TimePoint m_receivedAt{};
  };

  void CheckPending(base::TimePoint aNow);
  void CheckReplies();
  void CheckClosedAnswers(base::TimePoint aNow);
  [[nodiscard]] bool IsLeaving(const std::string& aIncarnation) const;
  /// The incarnation has replied to a request that was sent at aSentAt.
  void OnProvenAlive(const std::string& aIncarnation, base::TimePoint aSentAt);
  [[nodiscard]] bool IsListed(const std::string& aIncarnation) const
  {
    return m_core.m_directory.Find(aIncarnation) != nullptr;
  }
  /// Whether the directory was read after the given time.
  [[nodiscard]] bool IsDirectoryNewerThan(base::TimePoint aTime) const
  {
    return m_core.m_directoryReadAt && *m_core.m_directoryReadAt > aTime;
  }
  void Report(const EndedConnection& aBroken);
  void ReportComplete(const EndedConnection& aClosed);

  RelayCore& m_core;
  CrashReporterOptions m_options;
  std::vector<Pending> m_pending;
  std::deque<EndedConnection> m_closedAnswers;
  std::map<std::string, UnverifiedReply> m_unverified; ///< by incarnation
};

} // namespace ferrytray::relay
