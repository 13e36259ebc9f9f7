#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/body.hpp"        // for Body
#include "ferrytray/net/http_server.hpp" // for Headers
#include "ferrytray/net/loop.hpp"        // for Loop
#include "ferrytray/net/reply_match.hpp" // for ReplyMatch

namespace ferrytray::net {

/// @brief An HTTP request to send.
struct ClientRequest
{
  std::string m_method = "GET";
  std::string m_url;
  Headers m_headers;
  Body m_body;
  std::string m_target = {}; ///< sent unchanged in place of the URL's path and query, if not empty
  base::Duration m_connectTimeout = std::chrono::seconds(2);
  base::Duration m_timeout = std::chrono::seconds(30);
  /// Determines which connections may carry the request. The default needs nothing of the peer.
  ReplyMatch m_match = DedicatedConnection();
  /// Only opens a connection, sends nothing and closes it. Complete: it was established.
  bool m_connectOnly = false;
  /// Fails the request instead of sending it a second time. Otherwise libcurl resends it if a
  /// reused connection closes before the first byte of the reply.
  bool m_sendOnce = false;
  /// Connections idle for longer are not reused (whole seconds; zero: libcurl's default).
  base::Duration m_maxIdle{};
  /// A peer that acknowledges nothing for this long counts as dead (zero: system default).
  base::Duration m_peerTimeout{};
  /// Limit of the bytes that the system receives and this process has not read yet (zero: system
  /// default). Applies if a new connection is opened.
  int m_receiveBufferBytes = 0;
};

/// @brief How far the transfer of a request and its reply got.
enum class WireEnd : std::uint8_t
{
  Complete,    ///< the whole reply arrived, as its length, its last chunk or its status shows
  Closed,      ///< the peer closed the connection of a reply without a length and chunks: only the
               ///< content can show whether it is complete
  NotSent,     ///< no byte of the request was sent
  NoReply,     ///< sent, then failed or timed out before the first reply byte
  BrokenReply, ///< failed or timed out within the reply, or the reply was rejected
};

/// @brief How the end of a reply's body is determined.
/// @see RFC 9112, section 6.3
enum class ReplyFraming : std::uint8_t
{
  Length, ///< by Content-Length, or by a status that has no body
  Chunks, ///< by the last chunk
  Close,  ///< by the end of the connection, which does not show whether the body is complete
};

/// @brief The value of the "framing" key in log lines.
std::string_view ToString(ReplyFraming aFraming);

struct ClientOutcome
{
  WireEnd m_end = WireEnd::NotSent;
  ReplyFraming m_framing = ReplyFraming::Length; ///< valid if the reply's head arrived
  int m_status = 0;
  bool m_timedOut = false;
  bool m_foreignReply = false; ///< the reply was rejected, since it belongs to another request
  std::string m_detail;
  std::string m_etag;       ///< of the reply; empty if absent
  std::string m_retryAfter; ///< value of the reply's Retry-After header; empty if absent
};

/// @brief Whether no failure of the connection truncated the reply: Complete or Closed. Suffices
/// for readers that need only the status, or whose parser rejects truncated content, as that of
/// JSON does.
[[nodiscard]] bool EndedWithoutFailure(const ClientOutcome& aOutcome);

/// @brief Callbacks of a request. They run on the loop.
struct ClientEvents
{
  std::function<void(int aStatus)> m_onStatus;
  /// Receives status and headers of a final (not 1xx) reply, before any of its body.
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  std::function<void(std::string_view aPiece)> m_onData;
  std::function<void(const ClientOutcome&)> m_onEnd;
};

using CallId = std::uint64_t;

/// @brief Counters of the connections of an HTTP client, since its start.
struct HttpClientCounters
{
  std::uint64_t m_bytes = 0;  ///< of all finished requests and their replies, headers included
  std::uint64_t m_opened = 0; ///< sockets, including those that failed to connect
  std::uint64_t m_foreignReplies = 0; ///< rejected, and their connections closed
  /// Replies to other requests; the own ones were read after them.
  std::uint64_t m_discardedReplies = 0;
  std::uint64_t m_idleInputs = 0;      ///< connections closed since bytes arrived between requests
  std::uint64_t m_movedRequests = 0;   ///< sent on a new connection for any of these reasons:
  std::uint64_t m_usedIds = 0;         ///< theirs had carried their id
  std::uint64_t m_fullConnections = 0; ///< theirs had carried as many ids as are recorded
};

/// @brief Sends HTTP requests on one event loop (libcurl's multi interface).
///
/// Only the reply to a request is reported to its callbacks:
///
/// - A request is sent on a connection only if no byte has arrived there since the end of the last
///   reply, and if the connection has carried no request with the same EchoedHeader.
/// - A reply with another value of the EchoedHeader is discarded, and the next one is read. Its
///   connection is not reused.
/// - A reply that does not match and cannot be discarded, since it has not arrived whole or has no
///   such header, is rejected: the call ends as BrokenReply, and no other callback runs. Its
///   connection is closed.
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(Loop& aLoop);
  virtual ~HttpClient() = default;
  virtual CallId Start(ClientRequest aRequest, ClientEvents aEvents) = 0;
  /// @brief Cancels a request. None of its callbacks runs afterwards.
  virtual void Cancel(CallId aCall) = 0;
  /// @brief Stops reading a request's reply until ResumeReading(), so that its sender has to wait.
  /// Bytes that were received already may still be delivered.
  virtual void PauseReading(CallId aCall) = 0;
  virtual void ResumeReading(CallId aCall) = 0;
  [[nodiscard]] virtual const HttpClientCounters& Counters() const = 0;
  /// @brief Sends a request and collects the body of the reply.
  CallId Fetch(ClientRequest aRequest,
               std::function<void(const ClientOutcome&, std::string aBody)> aDone);
};

} // namespace ferrytray::net
