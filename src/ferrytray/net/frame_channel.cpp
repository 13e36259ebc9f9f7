#include "ferrytray/net/frame_channel.hpp"

#include <array>   // for array
#include <cstdint> // for uint32_t
#include <deque>   // for deque
#include <utility> // for move

#include <asio/buffer.hpp> // for buffer
#include <asio/ip/tcp.hpp> // for tcp
#include <asio/read.hpp>   // for async_read
#include <asio/write.hpp>  // for async_write

#include "ferrytray/net/loop_impl.hpp" // for LoopImpl

namespace ferrytray::net {

namespace {

using asio::ip::tcp;
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::uint32_t DecodeLength(const std::array<unsigned char, kLengthBytes>& aBytes)
{
  std::uint32_t length = 0;
  for (const unsigned char byte : aBytes) {
    length = (length << kBitsPerByte) | byte;
  }
  return length;
}

std::string EncodeFrame(std::string_view aFrame)
{
  std::string bytes;
  bytes.reserve(kLengthBytes + aFrame.size());
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<char>(aFrame.size() >> (kBitsPerByte * (kLengthBytes - 1 - i))));
  }
  bytes.append(aFrame);
  return bytes;
}

class TcpFrameChannel final
  : public FrameChannel
  , public std::enable_shared_from_this<TcpFrameChannel>
{
public:
  explicit TcpFrameChannel(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
  {
    asio::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
  }

  void Start() { ReadLength(); }

  void Send(std::string_view aFrame) override
  {
    if (!m_open) {
      return;
    }
    m_writeQueue.push_back(EncodeFrame(aFrame));
    if (m_writeQueue.size() == 1) {
      WriteNext();
    }
  }

  void Close() override
  {
    if (!m_open) {
      return;
    }
    m_open = false;
    asio::error_code ignored;
    m_socket.close(ignored);
    if (m_onClosed) {
      m_onClosed();
    }
    m_onFrame = nullptr;
    m_onClosed = nullptr;
  }

  [[nodiscard]] bool IsOpen() const override { return m_open; }

  [[nodiscard]] std::string RemoteIp() const override
  {
    asio::error_code error;
    const tcp::endpoint remote = m_socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
  }

  void OnFrame(std::function<void(std::string_view)> aCall) override
  {
    m_onFrame = std::move(aCall);
  }
  void OnClosed(std::function<void()> aCall) override { m_onClosed = std::move(aCall); }

private:
  void ReadLength()
  {
    asio::async_read(m_socket,
                     asio::buffer(m_length),
                     [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                       self->OnLength(aError);
                     });
  }

  void OnLength(const asio::error_code& aError)
  {
    const std::uint32_t length = DecodeLength(m_length);
    if (aError || length > kMaxFrameBytes) {
      Close();
      return;
    }
    m_body.resize(length);
    asio::async_read(m_socket,
                     asio::buffer(m_body),
                     [self = shared_from_this()](const asio::error_code& aBodyError, std::size_t) {
                       self->OnBody(aBodyError);
                     });
  }

  void OnBody(const asio::error_code& aError)
  {
    if (aError) {
      Close();
      return;
    }
    if (m_onFrame) {
      m_onFrame(m_body);
    }
    if (m_open) {
      ReadLength();
    }
  }

  void WriteNext()
  {
    asio::async_write(m_socket,
                      asio::buffer(m_writeQueue.front()),
                      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->m_writeQueue.pop_front();
                        if (!self->m_writeQueue.empty()) {
                          self->WriteNext();
                        }
                      });
  }

  tcp::socket m_socket;
  std::array<unsigned char, kLengthBytes> m_length{};
  std::string m_body;
  std::deque<std::string> m_writeQueue;
  std::function<void(std::string_view)> m_onFrame;
  std::function<void()> m_onClosed;
  bool m_open = true;
};

class TcpFrameServer final : public FrameServer
{
public:
  TcpFrameServer(asio::io_context& aContext, ChannelHandler aHandler)
    : m_acceptor(aContext)
    , m_handler(std::move(aHandler))
  {
  }

  asio::error_code Bind(const Address& aListen)
  {
    asio::error_code error;
    const tcp::endpoint local(asio::ip::make_address(aListen.m_ip, error), aListen.m_port);
    if (!error) {
      m_acceptor.open(local.protocol(), error);
    }
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      m_acceptor.bind(local, error);
    }
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      Accept();
    }
    return error;
  }

  [[nodiscard]] Address ListenAddress() const override
  {
    const tcp::endpoint local = m_acceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
  }

private:
  void Accept()
  {
    m_acceptor.async_accept([this](const asio::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        auto channel = std::make_shared<TcpFrameChannel>(std::move(aSocket));
        m_handler(channel);
        channel->Start();
      }
      Accept();
    });
  }

  tcp::acceptor m_acceptor;
  ChannelHandler m_handler;
};

} // namespace

base::Result<std::unique_ptr<FrameServer>> FrameServer::Create(Loop& aLoop,
                                                               const Address& aListen,
                                                               ChannelHandler aHandler)
{
  auto server = std::make_unique<TcpFrameServer>(aLoop.Impl().m_context, std::move(aHandler));
  const asio::error_code error = server->Bind(aListen);
  if (error) {
    return base::Fail(base::ErrorCode::ListenFailed,
                      "tcp " + ToString(aListen) + ": " + error.message());
  }
  return server;
}

void ConnectFrameChannel(Loop& aLoop, const Address& aTo, ChannelHandler aHandler)
{
  auto socket = std::make_shared<tcp::socket>(aLoop.Impl().m_context);
  asio::error_code error;
  const tcp::endpoint to(asio::ip::make_address(aTo.m_ip, error), aTo.m_port);
  if (error) {
    aLoop.Post([aHandler] { aHandler(nullptr); });
    return;
  }
  socket->async_connect(to, [socket, aHandler](const asio::error_code& aError) {
    if (aError) {
      aHandler(nullptr);
      return;
    }
    auto channel = std::make_shared<TcpFrameChannel>(std::move(*socket));
    aHandler(channel);
    channel->Start();
  });
}

} // namespace ferrytray::net
