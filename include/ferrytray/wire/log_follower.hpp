#pragma once

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/base/time.hpp"       // for Duration, TimePoint
#include "ferrytray/net/loop.hpp"        // for Loop, TimerHandle
#include "ferrytray/wire/log_client.hpp" // for LogClient, LogPage

namespace ferrytray::wire {

/// @brief Timeouts of the reads of a topic. The log may reply to immediate reads and yet never
/// reply to a long poll.
struct LogFollowerOptions
{
  /// Wait of a long poll. An empty read costs 234 bytes, and control traffic may use 3,000 bytes
  /// per second and host, so topics without a delay bound are polled rarely.
  base::Duration m_wait = std::chrono::seconds(10);
  /// Time to wait for the reply after that.
  base::Duration m_replyTimeout = std::chrono::seconds(3);
};

/// @brief Derives timeouts so that a record is read within aMaxDelay even if the log never replies
/// to one long poll. @param aMaxDelay maximum time from the append until it is in force on this
/// host
[[nodiscard]] LogFollowerOptions MakeFollowerOptions(base::Duration aMaxDelay);

/// @brief Follows a topic with long polls and retries with jitter while the log is unreachable.
///
/// After a failed long poll, an immediate read follows. The log counts as unreachable only if that
/// one fails, too.
class LogFollower
{
public:
  using OnPage = std::function<void(const LogPage&)>;
  using OnReachability = std::function<void(bool aReachable)>;

  LogFollower(net::Loop& aLoop,
              net::HttpClient& aHttp,
              const std::string& aPlatform,
              const std::string& aTopic,
              LogFollowerOptions aOptions = {});
  /// @brief Starts reading. aOnPage receives the first page and every page with records.
  void Start(std::uint64_t aFrom, OnPage aOnPage, OnReachability aOnReachability);
  /// @brief Whether the end of the topic has been reached at least once.
  [[nodiscard]] bool CaughtUp() const { return m_caughtUp; }
  [[nodiscard]] bool Reachable() const { return m_reachable; }
  /// @brief Announces a record whose offset the log has acknowledged to this process. If the long
  /// poll doesn't return it soon, an immediate read is sent.
  void ExpectRecord(std::uint64_t aOffset);
  /// @brief Every record appended before this time is known: the start of the last successful read.
  [[nodiscard]] std::optional<base::TimePoint> CurrentAsOf() const { return m_currentAsOf; }
  /// @brief Estimates the platform's clock from the last reply and the monotonic time since.
  [[nodiscard]] base::Duration PlatformTime(base::TimePoint aNow) const
  {
    return m_platformTime + (aNow - m_platformReadAt);
  }

private:
  void ReadNext(base::Duration aWait);
  void ReadNow() { ReadNext(base::Duration::zero()); }
  void OnRead(std::uint64_t aReadId, base::Result<LogPage> aPage);
  void OnFailure();
  void SetReachable(bool aReachable);

  net::Loop& m_loop;
  LogClient m_client;
  LogFollowerOptions m_options;
  std::uint64_t m_nextOffset = 1;
  std::uint64_t m_readId = 0; ///< of the newest read; replies to earlier ones are dropped
  bool m_isLongPoll = false;  ///< whether the newest read is a long poll
  base::TimePoint m_readStartedAt{};
  std::optional<base::TimePoint> m_currentAsOf;
  net::TimerHandle m_expectTimer;
  OnPage m_onPage;
  OnReachability m_onReachability;
  net::TimerHandle m_retryTimer;
  std::uint64_t m_jitterState = 0;
  bool m_caughtUp = false;
  bool m_reachable = false;
  base::Duration m_platformTime{};
  base::TimePoint m_platformReadAt{};
};

} // namespace ferrytray::wire
