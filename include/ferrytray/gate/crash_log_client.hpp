#pragma once

#include <string> // for string

#include "ferrytray/gate/options.hpp"           // for GateOptions
#include "ferrytray/quarantine/crash_board.hpp" // for CrashTracker
#include "ferrytray/wire/log_client.hpp"        // for LogClient
#include "ferrytray/wire/log_follower.hpp"      // for LogFollower

namespace ferrytray::gate {

/// @brief Requests that end the endpoints that run them: the crash board joined to the platform's
/// log, so that all gates know what each saw, and those that start anew as well.
class CrashLogClient
{
public:
  CrashLogClient(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions);
  void Start();

  [[nodiscard]] bool IsQuarantined(const quarantine::RequestKey& aRequest) const
  {
    return m_tracker.IsQuarantined(aRequest);
  }
  /// @brief An endpoint broke off under it. @param aEndpointIncarnation the endpoint's name and
  /// incarnation
  /// @param aSentAt when this gate sent the request
  void OnConnectionLost(const quarantine::RequestKey& aRequest,
                        const std::string& aEndpointIncarnation,
                        base::TimePoint aSentAt);
  /// @brief An endpoint answered it whole.
  void OnCompleteResponse(const quarantine::RequestKey& aRequest);
  /// @brief An endpoint answered a request that this gate sent at that time.
  void OnReply(const std::string& aEndpointIncarnation, base::TimePoint aSentAt);

private:
  void OnPage(const wire::LogPage& aPage);
  /// Tells the other gates what the board got since that number.
  void PublishSince(quarantine::NoticeOffset aFrom);
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
