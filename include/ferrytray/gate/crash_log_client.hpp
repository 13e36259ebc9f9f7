#pragma once

#include <string> // for string

#include "ferrytray/gate/options.hpp"             // for GateOptions
#include "ferrytray/quarantine/crash_tracker.hpp" // for CrashTracker
#include "ferrytray/wire/log_client.hpp"          // for LogClient
#include "ferrytray/wire/log_follower.hpp"        // for LogFollower

namespace ferrytray::gate {

/// @brief Detects requests that crash the endpoints running them.
///
/// Shares the observations of its CrashTracker with all gates through the platform's log. A gate
/// that restarts reads the log from its start and recovers them.
class CrashLogClient
{
public:
  CrashLogClient(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions);
  void Start();

  [[nodiscard]] bool IsQuarantined(const quarantine::ContentKey& aRequest) const
  {
    return m_tracker.IsQuarantined(aRequest);
  }
  /// @brief An endpoint closed the connection while it ran the request.
  /// @param aEndpointIncarnation the endpoint's name and incarnation
  /// @param aSentAt when this gate sent the request
  void OnConnectionLost(const quarantine::ContentKey& aRequest,
                        const std::string& aEndpointIncarnation,
                        base::TimePoint aSentAt);
  /// @brief An endpoint returned a complete response to the request.
  void OnCompleteResponse(const quarantine::ContentKey& aRequest);
  /// @brief An endpoint's response seems complete but ended with its connection.
  void OnClosedResponse(const quarantine::ContentKey& aRequest,
                        const std::string& aEndpointIncarnation);
  /// @brief An endpoint replied to a request that this gate sent at aSentAt.
  void OnReply(const std::string& aEndpointIncarnation, base::TimePoint aSentAt);

private:
  void OnPage(const wire::LogPage& aPage);
  /// Queues the tracker's notices from that offset on for the log.
  void QueueNoticesSince(quarantine::NoticeOffset aFrom);
  void Flush();

  net::Loop& m_loop;
  quarantine::CrashTracker m_tracker;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  quarantine::CrashNotices m_pendingNotices;
  bool m_appending = false;
  net::TimerHandle m_flush;
};

} // namespace ferrytray::gate
