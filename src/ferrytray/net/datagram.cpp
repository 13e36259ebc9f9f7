#include "ferrytray/net/datagram.hpp"

#include <array>   // for array
#include <utility> // for move

#include <asio/buffer.hpp> // for buffer
#include <asio/ip/udp.hpp> // for udp

#include "ferrytray/net/loop_impl.hpp" // for LoopImpl

namespace ferrytray::net {

namespace {

using asio::ip::udp;
constexpr std::size_t kMaxDatagramBytes = 65536;

class AsioDatagramSocket final : public DatagramSocket
{
public:
  AsioDatagramSocket(asio::io_context& aContext, DatagramHandler aHandler)
    : m_socket(aContext)
    , m_handler(std::move(aHandler))
  {
  }

  asio::error_code Bind(const Address& aListen)
  {
    asio::error_code error;
    const udp::endpoint local(asio::ip::make_address(aListen.m_ip, error), aListen.m_port);
    if (!error) {
      m_socket.open(local.protocol(), error);
    }
    if (!error) {
      m_socket.bind(local, error);
    }
    if (!error) {
      m_socket.non_blocking(true);
      Receive();
    }
    return error;
  }

  void SendTo(const Address& aTo, std::string_view aBytes) override
  {
    asio::error_code ignored;
    const udp::endpoint to(asio::ip::make_address(aTo.m_ip, ignored), aTo.m_port);
    m_socket.send_to(asio::buffer(aBytes.data(), aBytes.size()), to, 0, ignored);
  }

  [[nodiscard]] Address ListenAddress() const override
  {
    const udp::endpoint local = m_socket.local_endpoint();
    return { local.address().to_string(), local.port() };
  }

private:
  void Receive()
  {
    m_socket.async_receive_from(
      asio::buffer(m_buffer), m_from, [this](const asio::error_code& aError, std::size_t aLength) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          const Address from{ m_from.address().to_string(), m_from.port() };
          m_handler(from, { m_buffer.data(), aLength });
        }
        Receive();
      });
  }

  udp::socket m_socket;
  udp::endpoint m_from;
  std::array<char, kMaxDatagramBytes> m_buffer{};
  DatagramHandler m_handler;
};

} // namespace

base::Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Create(Loop& aLoop,
                                                                     const Address& aListen,
                                                                     DatagramHandler aHandler)
{
  auto socket = std::make_unique<AsioDatagramSocket>(aLoop.Impl().m_context, std::move(aHandler));
  const asio::error_code error = socket->Bind(aListen);
  if (error) {
    return base::Fail(base::ErrorCode::ListenFailed,
                      "udp " + ToString(aListen) + ": " + error.message());
  }
  return socket;
}

} // namespace ferrytray::net
