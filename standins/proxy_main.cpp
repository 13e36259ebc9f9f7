#include <array> // for array

#include <asio/connect.hpp>      // for async_connect
#include <asio/ip/tcp.hpp>       // for tcp
#include <asio/ip/udp.hpp>       // for udp
#include <asio/steady_timer.hpp> // for steady_timer
#include <asio/write.hpp>        // for async_write

#include "ferrytray/net/loop_impl.hpp" // for LoopImpl
#include "standins/standin.hpp"        // for Serve

using namespace ferrytray;
using namespace standins;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Faults that the proxy injects. They can be changed while it runs.
struct Faults
{
  base::Duration m_delay{};
  bool m_cut = false;        ///< close connections, drop datagrams
  bool m_halfOpen = false;   ///< accept connections and read bytes, but forward nothing
  bool m_mute = false;       ///< forward requests but no replies
  int m_dropReplies = 0;     ///< how many connections to close at the first reply bytes
  long m_cutReplyAfter = -1; ///< reply bytes after which to close one connection; -1: never
  bool m_reset = false; ///< reset connections instead of closing them, except after an orderly end
};

/// A proxied TCP connection.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  ProxyConnection(tcp::socket aClient, asio::io_context& aContext, Faults& aFaults)
    : m_client(std::move(aClient))
    , m_server(aContext)
    , m_faults(aFaults)
  {
  }

  void Start(const tcp::endpoint& aTo)
  {
    if (m_faults.m_cut) {
      return;
    }
    m_server.async_connect(aTo, [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        asio::error_code ignored;
        self->m_client.set_option(tcp::no_delay(true), ignored);
        self->m_server.set_option(tcp::no_delay(true), ignored);
        self->Relay(self->m_client, self->m_server, self->m_requestBuffer, false);
        self->Relay(self->m_server, self->m_client, self->m_replyBuffer, true);
      }
    });
  }

  /// @param aOrderly the peer closed its side after a complete transfer
  void Close(bool aOrderly = false)
  {
    asio::error_code ignored;
    // A FIN after bytes that were dropped would pass a truncated reply off as complete.
    if (m_faults.m_reset && (!aOrderly || m_droppedBytes)) {
      m_client.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_client.close(ignored);
    m_server.close(ignored);
  }

private:
  using Buffer = std::array<char, 16384>;

  void Relay(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer, bool aIsReply)
  {
    aFrom.async_read_some(asio::buffer(aBuffer),
                          [self = shared_from_this(), &aFrom, &aTo, &aBuffer, aIsReply](
                            const asio::error_code& aError, std::size_t aSize) {
                            if (aError) {
                              self->Close(aError == asio::error::eof);
                              return;
                            }
                            self->OnBytes(aFrom, aTo, aBuffer, aSize, aIsReply);
                          });
  }

  void OnBytes(tcp::socket& aFrom,
               tcp::socket& aTo,
               Buffer& aBuffer,
               std::size_t aSize,
               bool aIsReply)
  {
    if (m_faults.m_halfOpen || (aIsReply && m_faults.m_mute)) {
      m_droppedBytes = true;
      Relay(aFrom, aTo, aBuffer, aIsReply);
      return;
    }
    if (aIsReply && m_faults.m_dropReplies > 0) {
      --m_faults.m_dropReplies;
      Close();
      return;
    }
    bool cutAfter = false;
    if (aIsReply && m_faults.m_cutReplyAfter >= 0) {
      m_replyBytes += static_cast<long>(aSize);
      cutAfter = m_replyBytes > m_faults.m_cutReplyAfter;
    }
    if (cutAfter) {
      m_faults.m_cutReplyAfter = -1;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_client.get_executor(), m_faults.m_delay);
    timer->async_wait(
      [self = shared_from_this(), timer, &aFrom, &aTo, &aBuffer, aSize, aIsReply, cutAfter](
        const auto&) { self->Forward(aFrom, aTo, aBuffer, aSize, aIsReply, cutAfter); });
  }

  void Forward(tcp::socket& aFrom,
               tcp::socket& aTo,
               Buffer& aBuffer,
               std::size_t aSize,
               bool aIsReply,
               bool aCutAfter)
  {
    asio::async_write(aTo,
                      asio::buffer(aBuffer.data(), aSize),
                      [self = shared_from_this(), &aFrom, &aTo, &aBuffer, aIsReply, aCutAfter](
                        const asio::error_code& aError, auto) {
                        if (aError || aCutAfter) {
                          self->Close();
                          return;
                        }
                        self->Relay(aFrom, aTo, aBuffer, aIsReply);
                      });
  }

  tcp::socket m_client;
  tcp::socket m_server;
  Faults& m_faults;
  Buffer m_requestBuffer{};
  Buffer m_replyBuffer{};
  long m_replyBytes = 0;
  bool m_droppedBytes = false;
};

/// Forwards TCP connections and UDP datagrams, with injected faults.
class Proxy
{
public:
  Proxy(asio::io_context& aContext, tcp::endpoint aTo)
    : m_context(aContext)
    , m_acceptor(aContext)
    , m_udp(aContext)
    , m_udpSender(aContext, { aTo.address(), 0 })
    , m_target(std::move(aTo))
  {
    Listen();
    Accept();
    Receive();
  }

  [[nodiscard]] std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  void SetFaults(const json& aBody)
  {
    m_faults.m_delay =
      std::chrono::milliseconds(aBody.value("delay_ms", m_faults.m_delay.count() / 1000));
    m_faults.m_cut = aBody.value("cut", m_faults.m_cut);
    m_faults.m_halfOpen = aBody.value("half_open", m_faults.m_halfOpen);
    m_faults.m_mute = aBody.value("mute", m_faults.m_mute);
    m_faults.m_dropReplies = aBody.value("drop_replies", m_faults.m_dropReplies);
    m_faults.m_reset = aBody.value("reset", m_faults.m_reset);
    m_faults.m_cutReplyAfter = aBody.value("cut_reply_after", m_faults.m_cutReplyAfter);
    if (m_faults.m_cut) {
      for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock()) {
          connection->Close();
        }
      }
      m_connections.clear();
    }
  }

private:
  /// Binds TCP and UDP to the same port. Retries because the UDP port that matches an ephemeral TCP
  /// port may be in use by another program.
  void Listen()
  {
    constexpr int kMaxBindAttempts = 50;
    asio::error_code bindError;
    for (int i = 0; i < kMaxBindAttempts; ++i) {
      m_acceptor = tcp::acceptor(m_context, { m_target.address(), 0 });
      m_udp = udp::socket(m_context, udp::v4());
      if (!m_udp.bind({ m_target.address(), Port() }, bindError)) {
        return;
      }
    }
    throw asio::system_error(bindError);
  }

  void Accept()
  {
    m_acceptor.async_accept([this](const asio::error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        auto connection =
          std::make_shared<ProxyConnection>(std::move(aSocket), m_context, m_faults);
        std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
        m_connections.push_back(connection);
        connection->Start(m_target);
      }
      Accept();
    });
  }

  void Receive()
  {
    m_udp.async_receive_from(
      asio::buffer(m_datagram),
      m_datagramSender,
      [this](const asio::error_code& aError, std::size_t aSize) {
        const bool isForwarded = !aError && !m_faults.m_cut && !m_faults.m_halfOpen;
        if (isForwarded) {
          auto bytes = std::make_shared<std::string>(m_datagram.data(), aSize);
          auto timer = std::make_shared<asio::steady_timer>(m_context, m_faults.m_delay);
          timer->async_wait([this, bytes, timer](const auto&) {
            asio::error_code ignored;
            m_udpSender.send_to(
              asio::buffer(*bytes), udp::endpoint(m_target.address(), m_target.port()), 0, ignored);
          });
        }
        Receive();
      });
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  udp::socket m_udp;
  udp::socket m_udpSender;
  udp::endpoint m_datagramSender;
  std::array<char, 65536> m_datagram{};
  tcp::endpoint m_target;
  Faults m_faults;
  std::vector<std::weak_ptr<ProxyConnection>> m_connections;
};

} // namespace

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-proxy", "Forwards TCP and UDP with injected faults.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT of the control interface (POST /faults)" })
      .Add({ "to", "", "IP:PORT to forward to", settings::SettingKind::Text, true })
      .Build(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  telemetry::StartLogging(argv[0]);
  const auto to = net::ParseAddress(settings->Text("to"));
  if (!to) {
    std::cerr << to.error().m_message << "\n";
    return settings::kExitBadSettings;
  }
  net::Loop loop;
  Proxy proxy(loop.Impl().m_context, { asio::ip::make_address(to->m_ip), to->m_port });
  std::cout << "passing " << to->m_ip << ":" << proxy.Port() << std::endl;
  return Serve(loop, settings->Text("listen"), [&](net::HttpRequest aRequest, const auto& aReply) {
    proxy.SetFaults(ParseBody(aRequest.m_body));
    SendJson(aReply, 200, json::object());
  });
}
