#pragma once

#include <map>     // for map
#include <utility> // for forward, move

#include <asio/ip/tcp.hpp> // for tcp
#include <sys/socket.h>    // for shutdown

namespace ferrytray::net {

/// An accepted socket that is registered under its peer's address while it is open.
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

  /// Shuts down the peer's connection in both directions. @return false if there is none
  static bool Shutdown(const asio::ip::tcp::endpoint& aPeer)
  {
    const auto found = OpenSockets().find(aPeer);
    return found != OpenSockets().end() && ::shutdown(found->second, SHUT_RDWR) == 0;
  }

private:
  // Needs no lock: all servers of a thread share its event loop.
  static std::map<asio::ip::tcp::endpoint, int>& OpenSockets()
  {
    static thread_local std::map<asio::ip::tcp::endpoint, int> openSockets;
    return openSockets;
  }

  void Register()
  {
    if (m_registered) {
      return;
    }
    asio::error_code error;
    m_peer = remote_endpoint(error);
    if (!error) {
      OpenSockets()[m_peer] = native_handle();
      m_registered = true;
    }
  }

  void Unregister()
  {
    if (m_registered) {
      OpenSockets().erase(m_peer);
      m_registered = false;
    }
  }

  bool m_registered = false;
  asio::ip::tcp::endpoint m_peer;
};

} // namespace ferrytray::net
