#pragma once

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/base/time.hpp"       // for Duration, TimePoint
#include "ferrytray/net/loop.hpp"        // for Loop, TimerHandle
#include "ferrytray/wire/log_client.hpp" // for LogClient, LogPage

namespace ferrytray::wire {

/// @brief How long reads of a stream are held open and waited for. The log may answer what it is
/// asked and yet leave a read that it holds open without an answer.
struct LogFollowerOptions
{
  /// A read that brings nothing is 234 bytes, and control may spend 3,000 a second on a host, so a
  /// stream that nothing waits for is read seldom.
  base::Duration m_wait = std::chrono::seconds(10);
  /// For an answer beyond the wait.
  base::Duration m_replyTimeout = std::chrono::seconds(3);
};

/// @brief The figures by which what was appended is known within the bound, whatever the log does
/// with one held read. @param aMaxDelay by when it has to be in force on this host
[[nodiscard]] LogFollowerOptions MakeFollowerOptions(base::Duration aMaxDelay);

/// @brief Follows a stream for ever: reads, waits, retries with jitter while the log is away.
///
/// After a held read that failed the log is asked at once for what it has; only if that fails, too,
/// the log is away.
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
  /// @brief Begins. Each page that has records, and the first one, is handed over.
  void Start(std::uint64_t aFrom, OnPage aOnPage, OnReachability aOnReachability);
  /// @brief Whether the stream's end was reached once.
  [[nodiscard]] bool CaughtUp() const { return m_caughtUp; }
  [[nodiscard]] bool Reachable() const { return m_reachable; }
  /// @brief This process has a record's place in the stream from the log itself, so that record is
  /// there: if the held read does not bring it soon, the log is asked for it.
  void ExpectRecord(std::uint64_t aOffset);
  /// @brief What had been appended by then is known: the read that was answered last was begun
  /// then.
  [[nodiscard]] std::optional<base::TimePoint> CurrentAsOf() const { return m_currentAsOf; }
  /// @brief The platform's clock now: as of the last answer, carried on by the monotonic clock.
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
  std::uint64_t m_readId = 0; ///< number of the newest read; answers to others are dropped
  bool m_isLongPoll = false;  ///< the log may hold that one open
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
