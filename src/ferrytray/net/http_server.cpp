#include "ferrytray/net/http_server.hpp"

#include <algorithm>     // for equal
#include <cctype>        // for tolower
#include <netinet/tcp.h> // for TCP_KEEPIDLE
#include <unordered_map> // for unordered_map

#include <restinio/all.hpp> // for http_server_t

#include "ferrytray/net/loop_impl.hpp"      // for LoopImpl
#include "ferrytray/net/tracked_socket.hpp" // for TrackedSocket

namespace ferrytray::net {

namespace {

// A caller that vanished without a word is noticed after some 10 s.
using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
constexpr int kKeepAliveIdleSeconds = 4;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

/// Tells replies that their connection has closed.
class ConnectionWatch
{
public:
  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept
  {
    const auto cause = aNotice.cause();
    const std::uint64_t id = aNotice.connection_id();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      ++m_counters.m_accepted;
      m_open[id] = {};
      m_open[id].m_peer = aNotice.remote_endpoint();
    } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
      OnConnectionClosed(id);
    }
  }

  void RequestSeen(std::uint64_t aConnection)
  {
    Connection& connection = m_open[aConnection];
    connection.m_seen = true;
    ++connection.m_requests;
  }

  void RequestAnswered(std::uint64_t aConnection)
  {
    const auto found = m_open.find(aConnection);
    if (found != m_open.end() && found->second.m_requests > 0) {
      --found->second.m_requests;
    }
  }

  [[nodiscard]] std::size_t Unanswered() const
  {
    std::size_t unanswered = 0;
    for (const auto& [id, connection] : m_open) {
      unanswered += connection.m_requests;
    }
    return unanswered;
  }

  void CloseIdle() const
  {
    for (const auto& [id, connection] : m_open) {
      if (connection.m_requests == 0) {
        TrackedSocket::Break(connection.m_peer);
      }
    }
  }

  void Attach(std::uint64_t aConnection, std::function<void()> aCall)
  {
    const auto found = m_open.find(aConnection);
    if (found != m_open.end()) {
      found->second.m_onClosed = std::move(aCall);
    }
  }

  [[nodiscard]] const HttpServerCounters& Counters() const { return m_counters; }

private:
  struct Connection
  {
    bool m_seen = false;
    std::uint32_t m_requests = 0; ///< seen and not answered
    asio::ip::tcp::endpoint m_peer;
    std::function<void()> m_onClosed;
  };

  void OnConnectionClosed(std::uint64_t aConnection)
  {
    ++m_counters.m_closed;
    const auto found = m_open.find(aConnection);
    if (found == m_open.end()) {
      return;
    }
    const Connection connection = std::move(found->second);
    m_open.erase(found);
    if (!connection.m_seen) {
      ++m_counters.m_closedBeforeRequest;
    }
    if (connection.m_onClosed) {
      connection.m_onClosed();
    }
  }

  HttpServerCounters m_counters;
  std::unordered_map<std::uint64_t, Connection> m_open;
};

struct Traits : public restinio::default_single_thread_traits_t
{
  using stream_socket_t = TrackedSocket;
  using connection_state_listener_t = ConnectionWatch;
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
  RestinioReply(restinio::request_handle_t aRequest, std::shared_ptr<ConnectionWatch> aWatch)
    : m_request(std::move(aRequest))
    , m_watch(std::move(aWatch))
    , m_connection(m_request->connection_id())
  {
  }

  void Send(int aStatus, const Headers& aHeaders, std::string aBody) override
  {
    if (m_done) {
      return;
    }
    End();
    auto response = m_request->create_response(StatusLine(aStatus));
    if (m_closeAfter) {
      response.connection_close();
    }
    for (const auto& [name, value] : aHeaders) {
      response.append_header(name, value);
    }
    response.set_body(std::move(aBody));
    response.done(OnWritten());
    m_request.reset();
  }

  void StartStream(int aStatus, const Headers& aHeaders) override
  {
    if (m_done) {
      return;
    }
    m_builder = std::make_unique<ChunkedBuilder>(
      m_request->create_response<restinio::chunked_output_t>(StatusLine(aStatus)));
    if (m_closeAfter) {
      m_builder->connection_close();
    }
    for (const auto& [name, value] : aHeaders) {
      m_builder->append_header(name, value);
    }
    m_builder->flush();
  }

  void Write(std::string aPiece) override
  {
    if (m_done || !m_builder || aPiece.empty()) {
      return;
    }
    const std::size_t size = aPiece.size();
    m_pending += size;
    m_builder->append_chunk(std::move(aPiece));
    m_builder->flush([self = shared_from_this(), size](const auto&) { self->m_pending -= size; });
  }

  void Finish() override
  {
    if (m_done || !m_builder) {
      return;
    }
    End();
    m_builder->done(OnWritten());
    m_builder.reset();
    m_request.reset();
  }

  void Abort() override
  {
    if (m_done) {
      return;
    }
    End();
    TrackedSocket::Break(m_request->remote_endpoint());
    m_builder.reset();
    m_request.reset();
  }

  void CloseAfter() override { m_closeAfter = true; }

  [[nodiscard]] std::size_t PendingBytes() const override { return m_pending; }

  void OnClosed(std::function<void()> aCall) override
  {
    std::weak_ptr<RestinioReply> weak = weak_from_this();
    m_watch->Attach(m_connection, [weak, call = std::move(aCall)] {
      const auto self = weak.lock();
      if (self && !self->m_done) {
        self->m_done = true;
        call();
      }
    });
  }

private:
  void End()
  {
    m_done = true;
    m_watch->Attach(m_connection, nullptr);
  }

  /// An answer counts as given once it is written: closing earlier would cut it.
  std::function<void(const asio::error_code&)> OnWritten()
  {
    return [watch = m_watch, connection = m_connection](const auto&) {
      watch->RequestAnswered(connection);
    };
  }

  static restinio::http_status_line_t StatusLine(int aStatus)
  {
    const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus));
    return { code, aStatus < 400 ? "OK" : "Error" };
  }

  restinio::request_handle_t m_request;
  std::shared_ptr<ConnectionWatch> m_watch;
  std::uint64_t m_connection;
  std::unique_ptr<ChunkedBuilder> m_builder;
  std::size_t m_pending = 0;
  bool m_done = false;
  bool m_closeAfter = false;
};

HttpRequest ToRequest(const restinio::request_t& aRequest)
{
  HttpRequest request;
  request.m_method = aRequest.header().method().c_str();
  request.m_target = aRequest.header().request_target();
  request.m_path = std::string(aRequest.header().path());
  request.m_query = std::string(aRequest.header().query());
  aRequest.header().for_each_field([&](const auto& aField) {
    request.m_headers.emplace_back(std::string(aField.name()), std::string(aField.value()));
  });
  request.m_body = aRequest.body();
  return request;
}

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(Loop& aLoop, const HttpServerOptions& aOptions, HttpHandler aHandler)
    : m_address(aOptions.m_listen)
    , m_watch(std::make_shared<ConnectionWatch>())
    , m_handler(std::move(aHandler))
    , m_server(restinio::external_io_context(aLoop.Impl().m_context),
               [&](auto& aSettings) { Configure(aSettings, aOptions); })
  {
    m_server.open_sync();
  }

  ~RestinioServer() override { m_server.close_sync(); }

  [[nodiscard]] Address ListenAddress() const override { return m_address; }
  [[nodiscard]] HttpServerCounters Counters() const override { return m_watch->Counters(); }
  [[nodiscard]] std::size_t Unanswered() const override { return m_watch->Unanswered(); }
  void CloseIdle() override { m_watch->CloseIdle(); }

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
      .handle_request_timeout(aOptions.m_answerTimeout)
      .write_http_response_timelimit(aOptions.m_readTimeout)
      // Reading on while a request is handled is what notices a caller that leaves.
      .max_pipelined_requests(2)
      .buffer_size(2U << 10U)
      .connection_state_listener(m_watch)
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
      })
      .request_handler(
        [this](restinio::request_handle_t aRequest) { return Handle(std::move(aRequest)); });
  }

  restinio::request_handling_status_t Handle(restinio::request_handle_t aRequest)
  {
    m_watch->RequestSeen(aRequest->connection_id());
    HttpRequest request = ToRequest(*aRequest);
    auto reply = std::make_shared<RestinioReply>(std::move(aRequest), m_watch);
    m_handler(std::move(request), std::move(reply));
    return restinio::request_accepted();
  }

  Address m_address;
  std::shared_ptr<ConnectionWatch> m_watch;
  HttpHandler m_handler;
  Server m_server;
};

bool SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aL, char aR) {
    return std::tolower(static_cast<unsigned char>(aL)) ==
           std::tolower(static_cast<unsigned char>(aR));
  });
}

} // namespace

std::string_view HttpRequest::Header(std::string_view aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return {};
}

std::size_t HttpRequest::HeaderBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : m_headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

std::string HttpRequest::QueryValue(std::string_view aName) const
{
  const auto params = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(m_query);
  if (!params) {
    return {};
  }
  const auto value = params->get_param(aName);
  return value ? std::string(*value) : std::string();
}

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
