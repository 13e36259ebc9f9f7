#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/http_server.hpp" // for Headers
#include "ferrytray/net/loop.hpp"        // for Loop

namespace ferrytray::net {

/// @brief A request to send.
struct ClientRequest
{
  std::string m_method = "GET";
  std::string m_url;
  Headers m_headers;
  std::string m_body;
  std::string m_target = {}; ///< sent as it is in place of the URL's path and query, if not empty
  base::Duration m_connectTimeout = std::chrono::seconds(2);
  base::Duration m_timeout = std::chrono::seconds(30);
  /// Opens a connection of its own, so that libcurl can never resend the request by itself
  /// (it does so when a reused connection closes before the first reply byte).
  bool m_freshConnection = false;
  /// Lets libcurl reuse a connection, but fails the call instead of sending it a second time.
  bool m_sendOnce = false;
  /// Connections that were idle for longer are not reused (whole seconds; zero: libcurl's own).
  base::Duration m_maxIdle{};
  /// A peer that acknowledges nothing for so long is taken for dead (zero: the system's own).
  base::Duration m_peerTimeout{};
};

/// @brief How a request ended on the wire.
enum class WireEnd : std::uint8_t
{
  Complete,    ///< a whole reply arrived
  NotSent,     ///< no byte of the request left
  NoReply,     ///< sent, then broken or timed out before any reply byte
  BrokenReply, ///< broken or timed out within the reply
};

struct ClientOutcome
{
  WireEnd m_end = WireEnd::NotSent;
  int m_status = 0;
  bool m_timedOut = false;
  std::string m_detail;
  std::string m_etag; ///< of the reply, if it had one
};

/// @brief What the sender of a request is told. All calls come on the loop.
struct ClientEvents
{
  std::function<void(int aStatus)> m_onStatus;
  /// The whole head of a final (not 1xx) reply, before any of its body.
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  std::function<void(std::string_view aPiece)> m_onData;
  std::function<void(const ClientOutcome&)> m_onEnd;
};

using CallId = std::uint64_t;

/// @brief Sends requests from one loop (libcurl's multi interface).
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(Loop& aLoop);
  virtual ~HttpClient() = default;
  virtual CallId Start(ClientRequest aRequest, ClientEvents aEvents) = 0;
  /// @brief Drops a request; none of its events come any more.
  virtual void Cancel(CallId aCall) = 0;
  /// @brief Bytes of requests and replies so far, headers included.
  [[nodiscard]] virtual std::uint64_t BytesTransferred() const = 0;
  /// @brief Sends a request and hands over the whole reply.
  CallId Fetch(ClientRequest aRequest,
               std::function<void(const ClientOutcome&, std::string aBody)> aDone);
};

} // namespace ferrytray::net
