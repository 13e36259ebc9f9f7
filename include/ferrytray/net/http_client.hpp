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
  /// Opens a new connection and does not reuse it, so that libcurl never resends the request
  /// (it does so when a reused connection closes before the first reply byte).
  bool m_freshConnection = false;
  /// Only opens a connection, sends nothing and closes it. Complete: it was established.
  bool m_connectOnly = false;
  /// Allows a reused connection, but fails the request instead of sending it a second time.
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
  BrokenReply, ///< failed or timed out within the reply
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

/// @brief Sends HTTP requests on one event loop (libcurl's multi interface).
///
/// A reply belongs to the last request on its connection. So a connection is not used again if
/// anything was received on it after a complete reply.
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(Loop& aLoop);
  virtual ~HttpClient() = default;
  virtual CallId Start(ClientRequest aRequest, ClientEvents aEvents) = 0;
  /// @brief Cancels a request. None of its callbacks runs afterwards.
  virtual void Cancel(CallId aCall) = 0;
  /// @brief Rejects a reply that does not belong to its request. Call within m_onHead: the call
  /// ends as BrokenReply, and its connection is closed, since further replies on it would be
  /// attributed to the wrong requests, too.
  virtual void Abandon(CallId aCall) = 0;
  /// @brief Stops reading a request's reply until ResumeReading(), so that its sender has to wait.
  /// Bytes that were received already may still be delivered.
  virtual void PauseReading(CallId aCall) = 0;
  virtual void ResumeReading(CallId aCall) = 0;
  /// @brief Bytes of all finished requests and their replies, headers included.
  [[nodiscard]] virtual std::uint64_t BytesTransferred() const = 0;
  /// @brief Sends a request and collects the body of the reply.
  CallId Fetch(ClientRequest aRequest,
               std::function<void(const ClientOutcome&, std::string aBody)> aDone);
};

} // namespace ferrytray::net
