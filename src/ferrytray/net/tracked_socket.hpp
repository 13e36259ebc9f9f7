#pragma once

#include <cstdint> // for uint16_t
#include <map>     // for map
#include <tuple>   // for tie
#include <utility> // for forward, move

#include <asio/ip/tcp.hpp> // for tcp
#include <sys/socket.h>    // for shutdown

namespace ferrytray::net {

/// Identifies an accepted connection. The peer's address alone does not: a peer may use one port
/// for connections to several servers of the process.
struct ConnectionAddress
{
  asio::ip::tcp::endpoint m_peer;
  std::uint16_t m_localPort = 0; ///< of the server
  bool operator<(const ConnectionAddress& aOther) const
  {
    return std::tie(m_peer, m_localPort) < std::tie(aOther.m_peer, aOther.m_localPort);
  }
};

/// An accepted socket that is registered under its address while it is open.
///
/// RESTinio cannot abort a reply that has started. Shutting the socket down does it: RESTinio then
/// closes the connection as if the caller had disconnected.
class TrackedSocket : public asio::ip::tcp::socket
{
public:
  using Base = asio::ip::tcp::socket;
  using Base::Base;

  TrackedSocket(TrackedSocket&& aOther) noexcept
    : Base(std::move(static_cast<Base&>(aOther)))
  {
    aOther.Unregister();
  }
  TrackedSocket& operator=(TrackedSocket&& aOther) noexcept
  {
    Unregister();
    aOther.Unregister();
    Base::operator=(std::move(static_cast<Base&>(aOther)));
    return *this;
  }
  TrackedSocket(const TrackedSocket&) = delete;
  TrackedSocket& operator=(const TrackedSocket&) = delete;
  ~TrackedSocket() { Unregister(); }

  template<typename Buffers, typename Token>
  auto async_read_some(const Buffers& aBuffers, Token&& aToken)
  {
    Register();
    return Base::async_read_some(aBuffers, std::forward<Token>(aToken));
  }

  void close()
  {
    Unregister();
    Base::close();
  }

  /// Shuts down a connection in both directions. @return false if there is none
  static bool Shutdown(const ConnectionAddress& aConnection)
  {
    const auto found = OpenSockets().find(aConnection);
    return found != OpenSockets().end() && ::shutdown(found->second, SHUT_RDWR) == 0;
  }

private:
  // Needs no lock: all servers of a thread share its event loop.
  static std::map<ConnectionAddress, int>& OpenSockets()
  {
    static thread_local std::map<ConnectionAddress, int> openSockets;
    return openSockets;
  }

  void Register()
  {
    if (m_registered) {
      return;
    }
    asio::error_code error;
    const Base::endpoint_type peer = remote_endpoint(error);
    const Base::endpoint_type local = error ? Base::endpoint_type() : local_endpoint(error);
    if (!error) {
      m_address = { peer, local.port() };
      OpenSockets()[m_address] = native_handle();
      m_registered = true;
    }
  }

  void Unregister()
  {
    if (m_registered) {
      OpenSockets().erase(m_address);
      m_registered = false;
    }
  }

  bool m_registered = false;
  ConnectionAddress m_address;
};

} // namespace ferrytray::net
