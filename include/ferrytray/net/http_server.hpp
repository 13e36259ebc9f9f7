#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for shared_ptr, unique_ptr
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for pair
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"  // for Result
#include "ferrytray/net/address.hpp" // for Address
#include "ferrytray/net/body.hpp"    // for Body
#include "ferrytray/net/loop.hpp"    // for Loop

namespace ferrytray::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A received HTTP request.
struct HttpRequest
{
  std::string m_method;
  std::string m_target; ///< path and query exactly as received
  std::string m_path;
  std::string m_query;
  Headers m_headers;
  Body m_body;

  /// @brief The first header of that name, compared case-insensitively; empty if absent.
  [[nodiscard]] std::string_view Header(std::string_view aName) const;
  /// @brief Total bytes of all header names and values.
  [[nodiscard]] std::size_t HeaderBytes() const;
  /// @brief A query parameter, percent-decoded; empty if absent.
  [[nodiscard]] std::string QueryValue(std::string_view aName) const;
};

/// @brief The reply to one request, sent whole or streamed.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  /// @brief Sends a whole reply.
  virtual void Send(int aStatus, const Headers& aHeaders, std::string aBody) = 0;
  /// @brief Starts a streamed reply (chunked transfer encoding).
  virtual void StartStream(int aStatus, const Headers& aHeaders) = 0;
  virtual void Write(std::string aPiece) = 0;
  virtual void Finish() = 0;
  /// @brief Aborts a reply: closes the connection, so that the caller sees it as incomplete.
  virtual void Abort() = 0;
  /// @brief Closes the connection after this reply. Must be called before the reply starts.
  virtual void CloseAfterReply() = 0;
  /// @brief Bytes passed to Write() and not yet written to the connection.
  [[nodiscard]] virtual std::size_t PendingBytes() const = 0;
  /// @brief Sets a callback that runs each time that bytes passed to Write() have been written.
  virtual void OnWritten(std::function<void()> aCall) = 0;
  /// @brief Sets a callback that runs if the caller disconnects before the reply is finished.
  virtual void OnClosed(std::function<void()> aCall) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

struct HttpServerOptions
{
  Address m_listen{ "127.0.0.1", 0 };
  std::size_t m_maxBodyBytes = 16U << 20U;
  std::size_t m_maxHeaderFields = 64;
  std::size_t m_maxHeaderValueBytes = 48U << 10U;
  std::size_t m_maxConnections = 4096;
  base::Duration m_readTimeout = std::chrono::seconds(15);
  base::Duration m_replyTimeout = std::chrono::hours(1);
};

/// @brief Counters of connections, also of those closed before their first request.
struct HttpServerCounters
{
  std::uint64_t m_accepted = 0;
  std::uint64_t m_closed = 0;
  std::uint64_t m_closedBeforeRequest = 0;
};

/// @brief An HTTP/1.1 server on one event loop (RESTinio).
class HttpServer
{
public:
  /// @brief Binds and starts. @return ListenFailed if the address cannot be bound
  static base::Result<std::unique_ptr<HttpServer>> Create(Loop& aLoop,
                                                          const HttpServerOptions& aOptions,
                                                          HttpHandler aHandler);
  virtual ~HttpServer() = default;
  /// @brief The bound address, with the port that the system chose if 0 was requested.
  [[nodiscard]] virtual Address ListenAddress() const = 0;
  [[nodiscard]] virtual HttpServerCounters Counters() const = 0;
  /// @brief Number of requests whose replies have not been fully written.
  [[nodiscard]] virtual std::size_t PendingRequests() const = 0;
  /// @brief Closes every connection without a pending request.
  virtual void CloseIdle() = 0;
};

} // namespace ferrytray::net
