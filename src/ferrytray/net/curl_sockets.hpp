#pragma once

#include <functional>    // for function
#include <memory>        // for shared_ptr
#include <unordered_map> // for unordered_map

#include <asio/io_context.hpp> // for io_context
#include <curl/curl.h>         // for curl_socket_t

namespace ferrytray::net {

struct WatchedSocket;

/// Waits on the event loop for the sockets that libcurl registers and reports when they are ready.
class CurlSockets
{
public:
  using ReadyCall = std::function<void(curl_socket_t aSocket, int aEvents)>;
  CurlSockets(asio::io_context& aContext, ReadyCall aOnReady)
    : m_context(aContext)
    , m_onReady(std::move(aOnReady))
  {
  }

  /// @param aPollAction one of libcurl's CURL_POLL_ values
  void Watch(curl_socket_t aSocket, int aPollAction);

private:
  void Unwatch(curl_socket_t aSocket);
  void Arm(curl_socket_t aSocket, const std::shared_ptr<WatchedSocket>& aWatched);
  void OnReady(curl_socket_t aSocket,
               const std::shared_ptr<WatchedSocket>& aWatched,
               int aEvents,
               const asio::error_code& aError);

  asio::io_context& m_context;
  ReadyCall m_onReady;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
};

} // namespace ferrytray::net
