#include "ferrytray/net/open_sockets.hpp"

#include <arpa/inet.h>  // for inet_ntop
#include <array>        // for array
#include <netinet/in.h> // for sockaddr_in
#include <optional>     // for optional
#include <poll.h>       // for poll
#include <sys/socket.h> // for getpeername, getsockname

namespace ferrytray::net {

namespace {

using GetName = int (*)(int, sockaddr*, socklen_t*);

bool ReadName(GetName aGetName, int aSocket, std::string& aIp, int& aPort)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (aGetName(aSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return false;
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  aIp = text.data();
  aPort = ntohs(address.sin_port);
  return true;
}

std::optional<SocketPair> AddressesOf(int aSocket)
{
  SocketPair pair;
  const bool connected = ReadName(&getpeername, aSocket, pair.m_peerIp, pair.m_peerPort) &&
                         ReadName(&getsockname, aSocket, pair.m_localIp, pair.m_localPort);
  return connected ? std::optional(pair) : std::nullopt;
}

} // namespace

void OpenSockets::AddAddresses()
{
  std::erase_if(m_unconnected, [this](int aSocket) {
    const std::optional<SocketPair> addresses = AddressesOf(aSocket);
    if (addresses) {
      m_sockets[*addresses] = aSocket;
      m_addresses[aSocket] = *addresses;
    }
    return addresses.has_value();
  });
}

void OpenSockets::Remove(int aSocket)
{
  std::erase(m_unconnected, aSocket);
  const auto found = m_addresses.find(aSocket);
  if (found != m_addresses.end()) {
    m_sockets.erase(found->second);
    m_addresses.erase(found);
  }
}

bool OpenSockets::IsReadable(const SocketPair& aAddresses)
{
  auto found = m_sockets.find(aAddresses);
  if (found == m_sockets.end()) {
    AddAddresses();
    found = m_sockets.find(aAddresses);
  }
  if (found == m_sockets.end()) {
    return false;
  }
  pollfd state{ found->second, POLLIN, 0 };
  return poll(&state, 1, 0) > 0;
}

} // namespace ferrytray::net
