#include "ferrytray/relay/forwarder.hpp"

#include <algorithm> // for max

namespace ferrytray::relay {

namespace {

/// Upper limit of the random time that is added to Retry-After, so that the callers of a partition
/// do not return at the same time.
constexpr base::Duration kRetrySpread = std::chrono::milliseconds(500);

} // namespace

std::optional<peers::Peer> Forwarder::PickHost(const std::set<std::string>& aExcluded) const
{
  return m_targets.Pick(
    m_hosts(), m_core.m_options.m_zone, aExcluded, m_core.m_random, base::MonotonicNow());
}

net::ClientRequest Forwarder::BuildCall(const peers::Peer& aHost,
                                        const ForwardedRequest& aRequest) const
{
  net::ClientRequest call;
  call.m_method = "POST";
  call.m_url = "http://" + aHost.m_address + m_path;
  call.m_headers = { { "Content-Type", "application/octet-stream" } };
  call.m_body = Encode(aRequest);
  call.m_connectTimeout = m_core.m_options.m_connectTimeout;
  call.m_peerTimeout = m_core.m_options.m_peerTimeout;
  call.m_sendOnce = true;
  return call;
}

base::Duration Forwarder::RetryAfter(base::TimePoint aNow) const
{
  const auto backoffEnd = m_targets.FirstBackoffEnd(aNow);
  const base::Duration wait = backoffEnd ? *backoffEnd - aNow : base::Duration::zero();
  return std::max(wait, m_core.m_options.m_retryAfterDelay) +
         base::Duration(m_core.m_random() % kRetrySpread.count());
}

} // namespace ferrytray::relay
