#include "ferrytray/net/http_server.hpp"

#include <netinet/tcp.h> // for TCP_KEEPIDLE
#include <unordered_map> // for unordered_map

#include <restinio/all.hpp> // for http_server_t

#include "ferrytray/net/loop_impl.hpp"      // for LoopImpl
#include "ferrytray/net/tracked_socket.hpp" // for TrackedSocket

namespace ferrytray::net {

namespace {

// Detects a caller that vanished without closing the connection after about 10 s.
using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
constexpr int kKeepAliveIdleSeconds = 4;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

/// Counts connections and their pending requests, and notifies replies when theirs closes.
class ConnectionTracker
{
public:
  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept
  {
    const auto cause = aNotice.cause();
    const std::uint64_t id = aNotice.connection_id();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      ++m_counters.m_accepted;
      m_connections[id] = {};
      m_connections[id].m_peer = aNotice.remote_endpoint();
    } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
      OnConnectionClosed(id);
    }
  }

  void OnRequestReceived(std::uint64_t aConnection)
  {
    Connection& connection = m_connections[aConnection];
    connection.m_receivedRequest = true;
    ++connection.m_pendingRequests;
  }

  void OnReplyWritten(std::uint64_t aConnection)
  {
    const auto found = m_connections.find(aConnection);
    if (found != m_connections.end() && found->second.m_pendingRequests > 0) {
      --found->second.m_pendingRequests;
    }
  }

  [[nodiscard]] std::size_t PendingRequests() const
  {
    std::size_t pending = 0;
    for (const auto& [id, connection] : m_connections) {
      pending += connection.m_pendingRequests;
    }
    return pending;
  }

  void CloseIdle() const
  {
    for (const auto& [id, connection] : m_connections) {
      if (connection.m_pendingRequests == 0) {
        Shutdown(connection.m_peer);
      }
    }
  }

  /// @param aPort that the server listens on
  void SetLocalPort(std::uint16_t aPort) { m_localPort = aPort; }

  /// Closes the connection of a peer to this server.
  void Shutdown(const asio::ip::tcp::endpoint& aPeer) const
  {
    TrackedSocket::Shutdown({ aPeer, m_localPort });
  }

  void SetOnClosed(std::uint64_t aConnection, std::function<void()> aCall)
  {
    const auto found = m_connections.find(aConnection);
    if (found != m_connections.end()) {
      found->second.m_onClosed = std::move(aCall);
    }
  }

  [[nodiscard]] const HttpServerCounters& Counters() const { return m_counters; }

private:
  struct Connection
  {
    bool m_receivedRequest = false;
    std::uint32_t m_pendingRequests = 0; ///< received, reply not fully written
    asio::ip::tcp::endpoint m_peer;
    std::function<void()> m_onClosed;
  };

  void OnConnectionClosed(std::uint64_t aConnection)
  {
    ++m_counters.m_closed;
    const auto found = m_connections.find(aConnection);
    if (found == m_connections.end()) {
      return;
    }
    const Connection connection = std::move(found->second);
    m_connections.erase(found);
    if (!connection.m_receivedRequest) {
      ++m_counters.m_closedBeforeRequest;
    }
    if (connection.m_onClosed) {
      connection.m_onClosed();
    }
  }

  std::uint16_t m_localPort = 0;
  HttpServerCounters m_counters;
  std::unordered_map<std::uint64_t, Connection> m_connections;
};

struct Traits : public restinio::default_single_thread_traits_t
{
  using stream_socket_t = TrackedSocket;
  using connection_state_listener_t = ConnectionTracker;
  using request_handler_t =
    std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

using Server = restinio::http_server_t<Traits>;
using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

class RestinioReply final
  : public HttpReply
  , public std::enable_shared_from_this<RestinioReply>
{
public:
  RestinioReply(restinio::request_handle_t aRequest, std::shared_ptr<ConnectionTracker> aTracker)
    : m_request(std::move(aRequest))
    , m_tracker(std::move(aTracker))
    , m_connection(m_request->connection_id())
  {
  }

  void Send(int aStatus, const Headers& aHeaders, std::string aBody) override
  {
    if (m_done) {
      return;
    }
    MarkDone();
    auto response = m_request->create_response(StatusLine(aStatus));
    if (m_closeAfter) {
      response.connection_close();
    }
    for (const auto& [name, value] : aHeaders) {
      response.append_header(name, value);
    }
    response.set_body(std::move(aBody));
    response.done(WriteCompletionHandler());
    m_request.reset();
  }

  void StartStream(int aStatus, const Headers& aHeaders) override
  {
    if (m_done) {
      return;
    }
    m_chunkedResponse = std::make_unique<ChunkedBuilder>(
      m_request->create_response<restinio::chunked_output_t>(StatusLine(aStatus)));
    if (m_closeAfter) {
      m_chunkedResponse->connection_close();
    }
    for (const auto& [name, value] : aHeaders) {
      m_chunkedResponse->append_header(name, value);
    }
    m_chunkedResponse->flush();
  }

  void Write(std::string aPiece) override
  {
    if (m_done || !m_chunkedResponse || aPiece.empty()) {
      return;
    }
    const std::size_t size = aPiece.size();
    m_pendingBytes += size;
    m_chunkedResponse->append_chunk(std::move(aPiece));
    m_chunkedResponse->flush(
      [self = shared_from_this(), size](const auto&) { self->OnPieceWritten(size); });
  }

  void Finish() override
  {
    if (m_done || !m_chunkedResponse) {
      return;
    }
    MarkDone();
    m_chunkedResponse->done(WriteCompletionHandler());
    m_chunkedResponse.reset();
    m_request.reset();
  }

  void Abort() override
  {
    if (m_done) {
      return;
    }
    MarkDone();
    m_tracker->Shutdown(m_request->remote_endpoint());
    m_chunkedResponse.reset();
    m_request.reset();
  }

  void CloseAfterReply() override { m_closeAfter = true; }

  [[nodiscard]] std::size_t PendingBytes() const override { return m_pendingBytes; }

  void OnWritten(std::function<void()> aCall) override { m_onWritten = std::move(aCall); }

  void OnClosed(std::function<void()> aCall) override
  {
    std::weak_ptr<RestinioReply> weak = weak_from_this();
    m_tracker->SetOnClosed(m_connection, [weak, call = std::move(aCall)] {
      const auto self = weak.lock();
      if (self && !self->m_done) {
        self->m_done = true;
        call();
      }
    });
  }

private:
  void OnPieceWritten(std::size_t aBytes)
  {
    m_pendingBytes -= aBytes;
    if (!m_done && m_onWritten) {
      m_onWritten();
    }
  }

  void MarkDone()
  {
    m_done = true;
    m_tracker->SetOnClosed(m_connection, nullptr);
  }

  /// The request stays pending until its reply is written: closing earlier would truncate it.
  std::function<void(const asio::error_code&)> WriteCompletionHandler()
  {
    return [tracker = m_tracker, connection = m_connection](const auto&) {
      tracker->OnReplyWritten(connection);
    };
  }

  static restinio::http_status_line_t StatusLine(int aStatus)
  {
    const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus));
    return { code, aStatus < 400 ? "OK" : "Error" };
  }

  restinio::request_handle_t m_request;
  std::shared_ptr<ConnectionTracker> m_tracker;
  std::uint64_t m_connection;
  std::unique_ptr<ChunkedBuilder> m_chunkedResponse;
  std::size_t m_pendingBytes = 0;
  std::function<void()> m_onWritten;
  bool m_done = false;
  bool m_closeAfter = false;
};

HttpRequest ToRequest(const restinio::request_handle_t& aHandle)
{
  const restinio::request_t& received = *aHandle;
  HttpRequest request;
  request.m_method = received.header().method().c_str();
  request.m_target = received.header().request_target();
  request.m_path = std::string(received.header().path());
  request.m_query = std::string(received.header().query());
  received.header().for_each_field([&](const auto& aField) {
    request.m_headers.emplace_back(std::string(aField.name()), std::string(aField.value()));
  });
  if (!received.body().empty()) {
    request.m_body = Body::Share({ aHandle, &received.body() });
  }
  return request;
}

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(Loop& aLoop, const HttpServerOptions& aOptions, HttpHandler aHandler)
    : m_address(aOptions.m_listen)
    , m_tracker(std::make_shared<ConnectionTracker>())
    , m_handler(std::make_shared<HttpHandler>(std::move(aHandler)))
    , m_server(restinio::external_io_context(aLoop.Impl().m_context),
               [&](auto& aSettings) { Configure(aSettings, aOptions); })
  {
    m_server.open_sync();
  }

  ~RestinioServer() override { m_server.close_sync(); }

  [[nodiscard]] Address ListenAddress() const override { return m_address; }
  [[nodiscard]] HttpServerCounters Counters() const override { return m_tracker->Counters(); }
  [[nodiscard]] std::size_t PendingRequests() const override
  {
    return m_tracker->PendingRequests();
  }
  void CloseIdle() override { m_tracker->CloseIdle(); }

private:
  template<typename Settings>
  void Configure(Settings& aSettings, const HttpServerOptions& aOptions)
  {
    restinio::incoming_http_msg_limits_t limits;
    limits.max_body_size(aOptions.m_maxBodyBytes);
    limits.max_field_count(aOptions.m_maxHeaderFields);
    limits.max_field_value_size(aOptions.m_maxHeaderValueBytes);
    limits.max_url_size(8U << 10U);
    aSettings.address(aOptions.m_listen.m_ip)
      .port(aOptions.m_listen.m_port)
      .incoming_http_msg_limits(limits)
      .read_next_http_message_timelimit(aOptions.m_readTimeout)
      .handle_request_timeout(aOptions.m_replyTimeout)
      .write_http_response_timelimit(aOptions.m_readTimeout)
      // Reading on while a request is handled detects a caller that disconnects.
      .max_pipelined_requests(2)
      .buffer_size(2U << 10U)
      .connection_state_listener(m_tracker)
      .socket_options_setter([](auto& aSocket) {
        aSocket.set_option(asio::ip::tcp::no_delay(true));
        aSocket.set_option(asio::socket_base::keep_alive(true));
        aSocket.set_option(KeepAliveIdle(kKeepAliveIdleSeconds));
        aSocket.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds));
        aSocket.set_option(KeepAliveProbes(kKeepAliveProbes));
      })
      .acceptor_options_setter(
        [](auto& aAcceptor) { aAcceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& aAcceptor) {
        m_address.m_port = aAcceptor.local_endpoint().port();
        m_tracker->SetLocalPort(m_address.m_port);
      })
      // Open connections outlive the server.
      .request_handler([tracker = m_tracker, weak = std::weak_ptr<HttpHandler>(m_handler)](
                         restinio::request_handle_t aRequest) {
        const std::shared_ptr<HttpHandler> handler = weak.lock();
        if (!handler) {
          return restinio::request_rejected();
        }
        tracker->OnRequestReceived(aRequest->connection_id());
        HttpRequest request = ToRequest(aRequest);
        (*handler)(std::move(request),
                   std::make_shared<RestinioReply>(std::move(aRequest), tracker));
        return restinio::request_accepted();
      });
  }

  Address m_address;
  std::shared_ptr<ConnectionTracker> m_tracker;
  std::shared_ptr<HttpHandler> m_handler;
  Server m_server;
};

} // namespace

base::Result<std::unique_ptr<HttpServer>> HttpServer::Create(Loop& aLoop,
                                                             const HttpServerOptions& aOptions,
                                                             HttpHandler aHandler)
{
  try {
    return std::make_unique<RestinioServer>(aLoop, aOptions, std::move(aHandler));
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::ListenFailed,
                      "http " + ToString(aOptions.m_listen) + ": " + error.what());
  }
}

} // namespace ferrytray::net
