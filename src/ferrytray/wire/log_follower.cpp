#include "ferrytray/wire/log_follower.hpp"

#include <utility> // for exchange, move

#include "ferrytray/base/digest.hpp" // for Hash64, RandomHex128

namespace ferrytray::wire {

namespace {

constexpr base::Duration kRetryBase = std::chrono::milliseconds(100);

// Parts of the bound (percent). A read that is never answered costs both, 2.2 s of 3 s; the rest is
// for the read after it and for handing what it brings to whoever acts on it. A shorter wait costs
// more: with 1.2 s in place of 10 s a keeper alone moved 541 bytes a second in place of 378 (30 s
// each), and of the 3,000 that control may spend on a host 2,700 were spent.
constexpr int kWaitPart = 40;
constexpr int kPatiencePart = 33;
constexpr int kWhole = 100;

// An answer to a held read comes within a millisecond of the append; one of a slow log is still
// waited for before the log is asked once more.
constexpr base::Duration kExpectWithin = std::chrono::milliseconds(100);

} // namespace

LogFollowOptions FollowWithin(base::Duration aDue)
{
  return { aDue * kWaitPart / kWhole, aDue * kPatiencePart / kWhole };
}

LogFollower::LogFollower(net::Loop& aLoop,
                         net::HttpClient& aHttp,
                         const std::string& aPlatform,
                         const std::string& aStream,
                         LogFollowOptions aOptions)
  : m_loop(aLoop)
  , m_client(aHttp, aPlatform, aStream)
  , m_options(aOptions)
  , m_jitter(base::Hash64(aStream, base::RandomHex128()))
{
}

void LogFollower::Start(std::uint64_t aFrom, OnPage aOnPage, OnState aOnState)
{
  m_from = aFrom;
  m_onPage = std::move(aOnPage);
  m_onState = std::move(aOnState);
  ReadAtOnce();
}

void LogFollower::ReadNext(base::Duration aWait)
{
  m_held = aWait.count() > 0;
  m_readAt = base::MonotonicNow();
  m_client.Read(
    m_from, aWait, m_options.m_patience, [this, read = ++m_read](base::Result<LogPage> aPage) {
      OnRead(read, std::move(aPage));
    });
}

void LogFollower::Expect(std::uint64_t aOffset)
{
  m_expecting = m_loop.After(kExpectWithin, [this, aOffset] {
    if (m_held && m_from <= aOffset) {
      ReadAtOnce();
    }
  });
}

void LogFollower::SetReachable(bool aReachable)
{
  if (std::exchange(m_reachable, aReachable) != aReachable) {
    m_onState(aReachable);
  }
}

void LogFollower::OnFailure()
{
  if (m_held) {
    // The log may still answer what it does not hold open, and this one may have missed something.
    ReadAtOnce();
    return;
  }
  SetReachable(false);
  // Jittered, so that a returning log is not met by everyone at once.
  m_jitter = m_jitter * 6364136223846793005ULL + 1442695040888963407ULL;
  const auto extra = std::chrono::milliseconds(m_jitter >> 57U);
  m_retry = m_loop.After(kRetryBase + extra, [this] { ReadAtOnce(); });
}

void LogFollower::OnRead(std::uint64_t aRead, base::Result<LogPage> aPage)
{
  if (aRead != m_read) {
    return;
  }
  if (!aPage) {
    OnFailure();
    return;
  }
  SetReachable(true);
  m_heardAt = m_readAt;
  m_platformTime = aPage->m_now;
  m_platformRead = base::MonotonicNow();
  const bool first = !m_caughtUp;
  if (!aPage->m_records.empty()) {
    m_from = aPage->m_records.back().m_offset + 1;
  }
  // Before the page is handed over: whoever takes it may ask whether this was the last one.
  m_caughtUp = m_caughtUp || m_from >= aPage->m_next;
  if (!aPage->m_records.empty() || first) {
    m_onPage(*aPage);
  }
  ReadNext(m_caughtUp ? m_options.m_wait : base::Duration::zero());
}

} // namespace ferrytray::wire
