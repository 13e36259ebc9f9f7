#include "ferrytray/limits/account_limiter.hpp"

#include <algorithm> // for clamp, max
#include <cmath>     // for ceil

namespace ferrytray::limits {

namespace {

constexpr base::Duration kConcurrencyRetryAfter = std::chrono::seconds(1);

base::Result<void> Refuse(base::ErrorCode aCode, std::string aMessage, base::Duration aRetryAfter)
{
  return tl::unexpected(
    base::Failure{ aCode, std::move(aMessage), base::RunState::NotRun, aRetryAfter });
}

} // namespace

double ComputeShare(double aOwnDemand,
                    double aTotalDemand,
                    std::uint32_t aGateCount,
                    const ShareOptions& aOptions)
{
  if (aGateCount <= 1) {
    return 1.0;
  }
  const double equalShare = 1.0 / aGateCount;
  const double demandShare = aTotalDemand > 0 ? aOwnDemand / aTotalDemand : equalShare;
  return std::clamp(demandShare * aOptions.m_overlapFactor, aOptions.m_minShare, 1.0);
}

void AccountLimiter::SetLimit(const std::string& aAccount,
                              const AccountLimit& aLimit,
                              base::TimePoint aNow)
{
  const TokenBucket fresh(aLimit.m_requestsPerSecond, aLimit.m_burst, aNow);
  const auto [entry, added] = m_accounts.try_emplace(aAccount, State{ aLimit, 1.0, 0, 0, fresh });
  if (!added && entry->second.m_limit != aLimit) {
    entry->second.m_limit = aLimit;
    ApplyShare(entry->second, aNow);
  }
}

void AccountLimiter::SetShare(const std::string& aAccount, double aShare, base::TimePoint aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return;
  }
  found->second.m_share = aShare;
  ApplyShare(found->second, aNow);
}

void AccountLimiter::ApplyShare(State& aState, base::TimePoint aNow)
{
  const double rate = aState.m_limit.m_requestsPerSecond * aState.m_share;
  const double burst = std::max(1.0, aState.m_limit.m_burst * aState.m_share);
  aState.m_bucket.SetRate(rate, burst, aNow);
}

void AccountLimiter::Remove(const std::string& aAccount)
{
  m_accounts.erase(aAccount);
}

base::Result<void> AccountLimiter::Admit(const std::string& aAccount, base::TimePoint aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return base::Fail(base::ErrorCode::UnknownKey, "client account is not configured");
  }
  State& state = found->second;
  ++state.m_demand;
  const auto allowed =
    static_cast<std::uint32_t>(std::ceil(state.m_limit.m_maxConcurrent * state.m_share));
  if (state.m_concurrent >= allowed) {
    return Refuse(base::ErrorCode::ConcurrencyLimited,
                  "client account has " + std::to_string(state.m_concurrent) + " requests open",
                  kConcurrencyRetryAfter);
  }
  if (!state.m_bucket.TryTake(aNow)) {
    return Refuse(base::ErrorCode::RateLimited,
                  "client account is over its request rate",
                  state.m_bucket.WaitForToken(aNow));
  }
  ++state.m_concurrent;
  return {};
}

void AccountLimiter::Release(const std::string& aAccount)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end() && found->second.m_concurrent > 0) {
    --found->second.m_concurrent;
  }
}

std::uint32_t AccountLimiter::Concurrent(const std::string& aAccount) const
{
  const auto found = m_accounts.find(aAccount);
  return found == m_accounts.end() ? 0 : found->second.m_concurrent;
}

std::uint64_t AccountLimiter::TakeDemand(const std::string& aAccount)
{
  const auto found = m_accounts.find(aAccount);
  return found == m_accounts.end() ? 0 : std::exchange(found->second.m_demand, 0);
}

} // namespace ferrytray::limits
