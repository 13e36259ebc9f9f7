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
#include "ferrytray/net/loop.hpp"    // for Loop

namespace ferrytray::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A request as it arrived.
struct HttpRequest
{
  std::string m_method;
  std::string m_target; ///< path and query exactly as they arrived
  std::string m_path;
  std::string m_query;
  Headers m_headers;
  std::string m_body;

  /// @brief The first header of that name, compared without case; empty if absent.
  [[nodiscard]] std::string_view Header(std::string_view aName) const;
  /// @brief Bytes of all header names and values.
  [[nodiscard]] std::size_t HeaderBytes() const;
  /// @brief A query parameter, percent-decoded by the server; empty if absent.
  [[nodiscard]] std::string QueryValue(std::string_view aName) const;
};

/// @brief The answer to one request, whole or in pieces.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  /// @brief Sends a whole answer.
  virtual void Send(int aStatus, const Headers& aHeaders, std::string aBody) = 0;
  /// @brief Begins an answer in pieces (chunked).
  virtual void StartStream(int aStatus, const Headers& aHeaders) = 0;
  virtual void Write(std::string aPiece) = 0;
  virtual void Finish() = 0;
  /// @brief Breaks an answer off: the connection closes and what was sent does not look whole.
  virtual void Abort() = 0;
  /// @brief Closes the connection after this answer. Call before the answer begins.
  virtual void CloseAfterReply() = 0;
  /// @brief Bytes handed to Write() that the connection has not taken yet.
  [[nodiscard]] virtual std::size_t PendingBytes() const = 0;
  /// @brief Calls when the caller goes away before the answer is finished.
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

/// @brief Counters of what never became a request.
struct HttpServerCounters
{
  std::uint64_t m_accepted = 0;
  std::uint64_t m_closed = 0;
  std::uint64_t m_closedBeforeRequest = 0;
};

/// @brief An HTTP/1.1 server on one loop (RESTinio).
class HttpServer
{
public:
  /// @brief Binds and starts. @return ListenFailed when the address cannot be bound
  static base::Result<std::unique_ptr<HttpServer>> Create(Loop& aLoop,
                                                          const HttpServerOptions& aOptions,
                                                          HttpHandler aHandler);
  virtual ~HttpServer() = default;
  /// @brief The address it listens on, with the real port when 0 was asked for.
  [[nodiscard]] virtual Address ListenAddress() const = 0;
  [[nodiscard]] virtual HttpServerCounters Counters() const = 0;
  /// @brief Requests whose answers have not been written whole.
  [[nodiscard]] virtual std::size_t PendingRequests() const = 0;
  /// @brief Closes every connection on which no request is being answered.
  virtual void CloseIdle() = 0;
};

} // namespace ferrytray::net
