#include "ferrytray/net/curl_call.hpp"

#include <algorithm>     // for any_of, min
#include <netinet/in.h>  // for IPPROTO_TCP
#include <netinet/tcp.h> // for TCP_USER_TIMEOUT
#include <string.h>      // for strcasestr
#include <strings.h>     // for strcasecmp
#include <sys/socket.h>  // for setsockopt

namespace ferrytray::net {

namespace {

// Small, so that thousands of open streams fit in an entry host's memory.
constexpr long kReceiveBufferBytes = 4096;
// Keep-alive probes of a connection on which only the peer has data to send (seconds, count).
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool HasChunks(const Headers& aHeaders)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [](const auto& aHeader) {
    const auto& [name, value] = aHeader;
    return strcasecmp(name.c_str(), "transfer-encoding") == 0 &&
           strcasestr(value.c_str(), "chunked") != nullptr;
  });
}

ReplyFraming FramingOf(const CurlCall& aCall, int aStatus)
{
  if (aStatus == kNoContent || aStatus == kNotModified) {
    return ReplyFraming::Length;
  }
  if (HasChunks(aCall.m_headers)) {
    return ReplyFraming::Chunks;
  }
  curl_off_t length = -1;
  curl_easy_getinfo(aCall.m_easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return length >= 0 ? ReplyFraming::Length : ReplyFraming::Close;
}

std::string DescribeForeignReply(const CurlCall& aCall)
{
  const EchoedHeader* echoed = EchoedHeaderOf(aCall);
  for (const auto& [name, value] : aCall.m_headers) {
    if (echoed != nullptr && strcasecmp(name.c_str(), echoed->m_name.c_str()) == 0 &&
        value != echoed->m_value) {
      return "the reply belongs to request " + value;
    }
  }
  return "the reply does not name its request";
}

} // namespace

void SetPeerTimeout(int aSocket, long aMillis)
{
  const auto set = [aSocket](int aLevel, int aName, int aValue) {
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
  };
  // Linux also applies this timeout to keep-alive probes, regardless of their count.
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aMillis));
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void ConfigureSocket(const CurlCall& aCall, int aSocket)
{
  if (aCall.m_peerTimeoutMillis > 0) {
    SetPeerTimeout(aSocket, aCall.m_peerTimeoutMillis);
  }
  if (aCall.m_receiveBufferBytes > 0) {
    const int bytes = aCall.m_receiveBufferBytes;
    setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
}

void SetOptions(CurlCall& aCall, const ClientRequest& aRequest)
{
  CURL* easy = aCall.m_easy;
  for (const auto& [name, value] : aRequest.m_headers) {
    aCall.m_headerList = curl_slist_append(aCall.m_headerList, (name + ": " + value).c_str());
  }
  // Disables "Expect: 100-continue", which would add a round trip to every larger prompt.
  aCall.m_headerList = curl_slist_append(aCall.m_headerList, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, aRequest.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aRequest.m_method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aCall.m_headerList);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aCall);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, base::ToMillis(aRequest.m_connectTimeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, base::ToMillis(aRequest.m_timeout));
  if (!aRequest.m_target.empty()) {
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, aRequest.m_target.c_str());
  }
  aCall.m_sendOnce = aRequest.m_sendOnce;
  const auto idle = std::chrono::duration_cast<std::chrono::seconds>(aRequest.m_maxIdle);
  if (idle.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(idle.count()));
  }
  aCall.m_receiveBufferBytes = aRequest.m_receiveBufferBytes;
  aCall.m_peerTimeoutMillis = base::ToMillis(aRequest.m_peerTimeout);
  aCall.m_match = aRequest.m_match;
  if (std::holds_alternative<DedicatedConnection>(aCall.m_match)) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  aCall.m_connectOnly = aRequest.m_connectOnly;
  if (aCall.m_connectOnly) {
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
  }
  const bool hasBody = !aCall.m_body.empty() || aRequest.m_method != "GET";
  if (hasBody) {
    const auto size = static_cast<curl_off_t>(aCall.m_body.size());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, size);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aCall.m_body.c_str());
  }
}

void ParseHeaderLine(CurlCall& aCall, std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  const auto& header = aCall.m_headers.emplace_back(aLine.substr(0, colon), value);
  if (strcasecmp(header.first.c_str(), "etag") == 0) {
    aCall.m_etag = value;
  } else if (strcasecmp(header.first.c_str(), "retry-after") == 0) {
    aCall.m_retryAfter = value;
  }
}

const EchoedHeader* EchoedHeaderOf(const CurlCall& aCall)
{
  return std::get_if<EchoedHeader>(&aCall.m_match);
}

ClientOutcome OutcomeOf(const CurlCall& aCall, CURLcode aResult)
{
  ClientOutcome outcome;
  if (aCall.m_foreignReply) {
    outcome.m_end = WireEnd::BrokenReply;
    outcome.m_foreignReply = true;
    outcome.m_detail = DescribeForeignReply(aCall);
    return outcome;
  }
  long status = 0;
  curl_easy_getinfo(aCall.m_easy, CURLINFO_RESPONSE_CODE, &status);
  outcome.m_status = static_cast<int>(status);
  outcome.m_framing = FramingOf(aCall, outcome.m_status);
  outcome.m_timedOut = aResult == CURLE_OPERATION_TIMEDOUT;
  outcome.m_detail = curl_easy_strerror(aResult);
  outcome.m_etag = aCall.m_etag;
  outcome.m_retryAfter = aCall.m_retryAfter;
  if (aResult == CURLE_OK) {
    const bool hasReply = outcome.m_status != 0; // calls that only connect have none
    const bool closed = hasReply && outcome.m_framing == ReplyFraming::Close;
    outcome.m_end = closed ? WireEnd::Closed : WireEnd::Complete;
  } else if (aCall.m_receivedBytes) {
    outcome.m_end = WireEnd::BrokenReply;
  } else if (aCall.m_sends > 0) {
    outcome.m_end = WireEnd::NoReply;
  } else {
    outcome.m_end = WireEnd::NotSent;
  }
  return outcome;
}

std::uint64_t BytesOf(const CurlCall& aCall)
{
  curl_off_t down = 0;
  long headers = 0;
  long request = 0;
  curl_easy_getinfo(aCall.m_easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
  curl_easy_getinfo(aCall.m_easy, CURLINFO_HEADER_SIZE, &headers);
  curl_easy_getinfo(aCall.m_easy, CURLINFO_REQUEST_SIZE, &request);
  return static_cast<std::uint64_t>(down + headers + request);
}

} // namespace ferrytray::net
