#include "ferrytray/net/curl_sockets.hpp"

#include <asio/posix/stream_descriptor.hpp> // for stream_descriptor

namespace ferrytray::net {

struct WatchedSocket
{
  explicit WatchedSocket(asio::io_context& aContext)
    : m_descriptor(aContext)
  {
  }
  asio::posix::stream_descriptor m_descriptor;
  int m_pollAction = 0;
  bool m_idle = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_removed = false;
};

std::shared_ptr<WatchedSocket> CurlSockets::Register(curl_socket_t aSocket)
{
  auto& watched = m_sockets[aSocket];
  if (!watched) {
    watched = std::make_shared<WatchedSocket>(m_context);
    watched->m_descriptor.assign(aSocket);
  }
  return watched;
}

void CurlSockets::Watch(curl_socket_t aSocket, int aPollAction)
{
  const std::shared_ptr<WatchedSocket> watched = Register(aSocket);
  watched->m_idle = false;
  watched->m_pollAction = aPollAction;
  Arm(aSocket, watched);
}

void CurlSockets::WatchIdle(curl_socket_t aSocket)
{
  const std::shared_ptr<WatchedSocket> watched = Register(aSocket);
  watched->m_idle = true;
  watched->m_pollAction = CURL_POLL_IN;
  Arm(aSocket, watched);
}

void CurlSockets::Unwatch(curl_socket_t aSocket)
{
  const auto found = m_sockets.find(aSocket);
  if (found == m_sockets.end()) {
    return;
  }
  found->second->m_removed = true;
  // libcurl owns and closes the socket.
  found->second->m_descriptor.release();
  m_sockets.erase(found);
}

void CurlSockets::Arm(curl_socket_t aSocket, const std::shared_ptr<WatchedSocket>& aWatched)
{
  const bool wantRead = (aWatched->m_pollAction & CURL_POLL_IN) != 0;
  const bool wantWrite = (aWatched->m_pollAction & CURL_POLL_OUT) != 0;
  if (wantRead && !aWatched->m_reading) {
    aWatched->m_reading = true;
    aWatched->m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                      [this, aSocket, aWatched](const asio::error_code& aError) {
                                        aWatched->m_reading = false;
                                        OnReady(aSocket, aWatched, CURL_CSELECT_IN, aError);
                                      });
  }
  if (wantWrite && !aWatched->m_writing) {
    aWatched->m_writing = true;
    aWatched->m_descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                      [this, aSocket, aWatched](const asio::error_code& aError) {
                                        aWatched->m_writing = false;
                                        OnReady(aSocket, aWatched, CURL_CSELECT_OUT, aError);
                                      });
  }
}

void CurlSockets::OnReady(curl_socket_t aSocket,
                          const std::shared_ptr<WatchedSocket>& aWatched,
                          int aEvents,
                          const asio::error_code& aError)
{
  if (aError || aWatched->m_removed) {
    return;
  }
  if (aWatched->m_idle) {
    if ((aEvents & CURL_CSELECT_IN) != 0) {
      m_onIdleReadable(aSocket);
    }
    return;
  }
  m_onReady(aSocket, aEvents);
  if (!aWatched->m_removed) {
    Arm(aSocket, aWatched);
  }
}

} // namespace ferrytray::net
