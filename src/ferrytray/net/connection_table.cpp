#include "ferrytray/net/connection_table.hpp"

#include <algorithm>    // for find
#include <arpa/inet.h>  // for inet_ntop
#include <array>        // for array
#include <functional>   // for hash
#include <netinet/in.h> // for sockaddr_in, sockaddr_in6
#include <optional>     // for optional
#include <poll.h>       // for poll
#include <sys/socket.h> // for getpeername, getsockname, recv, shutdown

#include "ferrytray/net/foreign_reply.hpp" // for ForeignReplySize

namespace ferrytray::net {

namespace {

/// A larger reply to another request is rejected, and its connection closed.
constexpr std::size_t kMaxForeignReplyBytes = 16U << 10U;

using GetName = int (*)(int, sockaddr*, socklen_t*);

bool ReadName(GetName aGetName, int aSocket, std::string& aIp, int& aPort)
{
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (aGetName(aSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return false;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET6) {
    const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(address);
    inet_ntop(AF_INET6, &ipv6.sin6_addr, text.data(), text.size());
    aPort = ntohs(ipv6.sin6_port);
  } else {
    const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(address);
    inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
    aPort = ntohs(ipv4.sin_port);
  }
  aIp = text.data();
  return true;
}

std::optional<SocketPair> AddressesOf(int aSocket)
{
  SocketPair pair;
  const bool connected = ReadName(&getpeername, aSocket, pair.m_peerIp, pair.m_peerPort) &&
                         ReadName(&getsockname, aSocket, pair.m_localIp, pair.m_localPort);
  return connected ? std::optional(pair) : std::nullopt;
}

bool IsReadable(int aSocket)
{
  pollfd state{ aSocket, POLLIN, 0 };
  return poll(&state, 1, 0) > 0;
}

} // namespace

void ConnectionTable::AddAddresses()
{
  std::erase_if(m_connecting, [this](int aSocket) {
    const std::optional<SocketPair> addresses = AddressesOf(aSocket);
    if (addresses) {
      m_connections[*addresses] = {};
      m_connections[*addresses].m_socket = aSocket;
      m_addresses[aSocket] = *addresses;
    }
    return addresses.has_value();
  });
}

void ConnectionTable::Remove(int aSocket)
{
  std::erase(m_connecting, aSocket);
  const auto found = m_addresses.find(aSocket);
  if (found != m_addresses.end()) {
    m_connections.erase(found->second);
    m_addresses.erase(found);
  }
}

bool ConnectionTable::Contains(int aSocket)
{
  AddAddresses();
  return m_addresses.contains(aSocket);
}

ConnectionTable::Connection* ConnectionTable::Find(const SocketPair& aAddresses)
{
  auto found = m_connections.find(aAddresses);
  if (found == m_connections.end()) {
    AddAddresses();
    found = m_connections.find(aAddresses);
  }
  return found == m_connections.end() ? nullptr : &found->second;
}

SendCheck ConnectionTable::BeginSend(const SocketPair& aAddresses, const EchoedHeader* aEchoed)
{
  Connection* connection = Find(aAddresses);
  if (connection == nullptr) {
    return SendCheck::UnknownConnection;
  }
  if (connection->m_retired) {
    return SendCheck::Retired;
  }
  if (connection->m_closed || IsReadable(connection->m_socket)) {
    return SendCheck::UnexpectedInput;
  }
  if (aEchoed == nullptr) {
    connection->m_awaited.reset();
    return SendCheck::Allowed;
  }
  std::vector<std::uint32_t>& ids = connection->m_ids;
  const auto hash = static_cast<std::uint32_t>(std::hash<std::string>()(aEchoed->m_value));
  if (std::find(ids.begin(), ids.end(), hash) != ids.end()) {
    return SendCheck::IdUsed;
  }
  if (ids.size() >= kMaxIds) {
    return SendCheck::Full;
  }
  ids.push_back(hash);
  connection->m_awaited = *aEchoed;
  return SendCheck::Allowed;
}

std::size_t ConnectionTable::DiscardForeignReplies(int aSocket)
{
  const auto addresses = m_addresses.find(aSocket);
  if (addresses == m_addresses.end()) {
    return 0;
  }
  Connection& connection = m_connections.at(addresses->second);
  std::size_t discarded = 0;
  while (connection.m_awaited) {
    std::array<char, kMaxForeignReplyBytes> bytes; // NOLINT: recv initializes what is used
    const ssize_t received = recv(aSocket, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    const std::size_t size =
      received <= 0 ? 0
                    : ForeignReplySize({ bytes.data(), static_cast<std::size_t>(received) },
                                       *connection.m_awaited);
    if (size == 0) {
      // Nothing is left to read, or the own reply, or one that has to be rejected.
      if (received > 0) {
        connection.m_awaited.reset();
      }
      break;
    }
    recv(aSocket, bytes.data(), size, MSG_DONTWAIT);
    connection.m_retired = true;
    ++discarded;
  }
  return discarded;
}

std::optional<IdleInput> ConnectionTable::CloseIdle(int aSocket)
{
  if (!IsReadable(aSocket)) {
    return std::nullopt;
  }
  char byte = 0;
  const bool hasBytes = recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  if (const auto found = m_addresses.find(aSocket); found != m_addresses.end()) {
    m_connections.at(found->second).m_closed = true;
  }
  // libcurl owns the socket and closes it when it looks for a connection the next time.
  shutdown(aSocket, SHUT_RDWR);
  return hasBytes ? IdleInput::Bytes : IdleInput::Closed;
}

} // namespace ferrytray::net
