#pragma once

#include <string> // for string

#include "ferrytray/gate/options.hpp"           // for GateOptions
#include "ferrytray/quarantine/crash_board.hpp" // for CrashTracker
#include "ferrytray/wire/log_client.hpp"        // for LogClient
#include "ferrytray/wire/log_follower.hpp"      // for LogFollower

namespace ferrytray::gate {

/// @brief Requests that end the endpoints that run them: the crash board joined to the platform's
/// log, so that all gates know what each saw, and those that start anew as well.
class CrashLink
{
public:
  CrashLink(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions);
  void Start();

  [[nodiscard]] bool IsQuarantined(const quarantine::RequestKey& aRequest) const
  {
    return m_board.IsQuarantined(aRequest);
  }
  /// @brief An endpoint broke off under it. @param aLife the endpoint's name and incarnation
  /// @param aSentAt when this gate sent the request
  void OnBroken(const quarantine::RequestKey& aRequest,
                const std::string& aLife,
                base::TimePoint aSentAt);
  /// @brief An endpoint answered it whole.
  void OnAnswered(const quarantine::RequestKey& aRequest);
  /// @brief An endpoint answered a request that this gate sent at that time.
  void OnReply(const std::string& aLife, base::TimePoint aSentAt);

private:
  void OnPage(const wire::LogPage& aPage);
  /// Tells the other gates what the board got since that number.
  void TellSince(quarantine::NoticeOffset aFrom);
  void Flush();

  net::Loop& m_loop;
  quarantine::CrashTracker m_board;
  wire::LogFollower m_follower;
  wire::LogClient m_appender;
  quarantine::CrashNotices m_untold;
  bool m_appending = false;
  net::TimerHandle m_flush;
};

} // namespace ferrytray::gate
