#pragma once

#include <functional>    // for function
#include <memory>        // for shared_ptr
#include <unordered_map> // for unordered_map

#include <asio/io_context.hpp> // for io_context
#include <curl/curl.h>         // for curl_socket_t

namespace ferrytray::net {

struct WatchedSocket;

/// Waits on the event loop for sockets of libcurl and reports when they are ready.
class CurlSockets
{
public:
  using ReadyCall = std::function<void(curl_socket_t aSocket, int aEvents)>;
  using IdleCall = std::function<void(curl_socket_t aSocket)>;
  /// @param aOnReady called when a socket of a transfer is ready
  /// @param aOnIdleReadable called when the socket of an idle connection may be readable; it is
  /// not watched any more then
  CurlSockets(asio::io_context& aContext, ReadyCall aOnReady, IdleCall aOnIdleReadable)
    : m_context(aContext)
    , m_onReady(std::move(aOnReady))
    , m_onIdleReadable(std::move(aOnIdleReadable))
  {
  }

  /// Watches a socket for a transfer.
  /// @param aPollAction one of libcurl's CURL_POLL_ values, but not CURL_POLL_REMOVE
  void Watch(curl_socket_t aSocket, int aPollAction);
  /// Watches the socket of a connection without a transfer for input.
  void WatchIdle(curl_socket_t aSocket);
  void Unwatch(curl_socket_t aSocket);

private:
  std::shared_ptr<WatchedSocket> Register(curl_socket_t aSocket);
  void Arm(curl_socket_t aSocket, const std::shared_ptr<WatchedSocket>& aWatched);
  void OnReady(curl_socket_t aSocket,
               const std::shared_ptr<WatchedSocket>& aWatched,
               int aEvents,
               const asio::error_code& aError);

  asio::io_context& m_context;
  ReadyCall m_onReady;
  IdleCall m_onIdleReadable;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
};

} // namespace ferrytray::net
