#include "ferrytray/wire/log_follower.hpp"

#include <utility> // for exchange, move

#include "ferrytray/base/digest.hpp" // for Hash64, RandomHex128

namespace ferrytray::wire {

namespace {

constexpr base::Duration kRetryBase = std::chrono::milliseconds(100);

// Shares of the maximum delay, in percent. A read without a reply takes both, 2.2 s of 3 s; the
// rest is for the next read and for passing on its records. A shorter wait costs more traffic:
// with 1.2 s instead of 10 s, a keeper alone transferred 541 instead of 378 bytes per second (30 s
// each), and the host used 2,700 of the 3,000 bytes per second allowed for control traffic.
constexpr int kWaitPercent = 40;
constexpr int kReplyTimeoutPercent = 33;
constexpr int kHundredPercent = 100;

// A long poll normally returns within a millisecond of the append. The longer timeout lets a slow
// log reply before another read is sent.
constexpr base::Duration kExpectTimeout = std::chrono::milliseconds(100);

} // namespace

LogFollowerOptions MakeFollowerOptions(base::Duration aMaxDelay)
{
  return { aMaxDelay * kWaitPercent / kHundredPercent,
           aMaxDelay * kReplyTimeoutPercent / kHundredPercent };
}

LogFollower::LogFollower(net::Loop& aLoop,
                         net::HttpClient& aHttp,
                         const std::string& aPlatform,
                         const std::string& aTopic,
                         LogFollowerOptions aOptions)
  : m_loop(aLoop)
  , m_client(aHttp, aPlatform, aTopic)
  , m_options(aOptions)
  , m_jitterState(base::Hash64(aTopic, base::RandomHex128()))
{
}

void LogFollower::Start(std::uint64_t aFrom, OnPage aOnPage, OnReachability aOnReachability)
{
  m_nextOffset = aFrom;
  m_onPage = std::move(aOnPage);
  m_onReachability = std::move(aOnReachability);
  ReadNow();
}

void LogFollower::ReadNext(base::Duration aWait)
{
  m_isLongPoll = aWait.count() > 0;
  m_readStartedAt = base::MonotonicNow();
  m_client.Read(
    m_nextOffset,
    aWait,
    m_options.m_replyTimeout,
    [this, readId = ++m_readId](base::Result<LogPage> aPage) { OnRead(readId, std::move(aPage)); });
}

void LogFollower::ExpectRecord(std::uint64_t aOffset)
{
  m_expectTimer = m_loop.After(kExpectTimeout, [this, aOffset] {
    if (m_isLongPoll && m_nextOffset <= aOffset) {
      ReadNow();
    }
  });
}

void LogFollower::SetReachable(bool aReachable)
{
  if (std::exchange(m_reachable, aReachable) != aReachable) {
    m_onReachability(aReachable);
  }
}

void LogFollower::OnFailure()
{
  if (m_isLongPoll) {
    // The log may still reply to immediate reads, and records may have arrived during the long
    // poll.
    ReadNow();
    return;
  }
  SetReachable(false);
  // Jitter spreads the retries so that not all hosts reconnect to a recovering log at once.
  m_jitterState = m_jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
  const auto jitter = std::chrono::milliseconds(m_jitterState >> 57U);
  m_retryTimer = m_loop.After(kRetryBase + jitter, [this] { ReadNow(); });
}

void LogFollower::OnRead(std::uint64_t aReadId, base::Result<LogPage> aPage)
{
  if (aReadId != m_readId) {
    return;
  }
  if (!aPage) {
    OnFailure();
    return;
  }
  SetReachable(true);
  m_currentAsOf = m_readStartedAt;
  m_platformTime = aPage->m_now;
  m_platformReadAt = base::MonotonicNow();
  const bool isFirstPage = !m_caughtUp;
  if (!aPage->m_records.empty()) {
    m_nextOffset = aPage->m_records.back().m_offset + 1;
  }
  // Set before the callback, which may check whether this page was the last one.
  m_caughtUp = m_caughtUp || m_nextOffset >= aPage->m_endOffset;
  if (!aPage->m_records.empty() || isFirstPage) {
    m_onPage(*aPage);
  }
  ReadNext(m_caughtUp ? m_options.m_wait : base::Duration::zero());
}

} // namespace ferrytray::wire
