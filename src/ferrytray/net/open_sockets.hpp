#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

namespace ferrytray::net {

/// @brief Both addresses of a connection.
struct SocketPair
{
  std::string m_localIp;
  int m_localPort = 0;
  std::string m_peerIp;
  int m_peerPort = 0;
  auto operator<=>(const SocketPair&) const = default;
};

/// @brief The open sockets of an HTTP client, by their addresses. libcurl does not report which
/// socket a request is about to be sent on, but it reports the addresses.
class OpenSockets
{
public:
  void Add(int aSocket) { m_unconnected.push_back(aSocket); }
  void Remove(int aSocket);
  /// @brief Whether anything can be read from the socket of a connection; false if it is unknown.
  [[nodiscard]] bool IsReadable(const SocketPair& aAddresses);

private:
  /// Adds the addresses of sockets that were connected since the last call.
  void AddAddresses();

  std::vector<int> m_unconnected; ///< when they were seen last
  std::map<SocketPair, int> m_sockets;
  std::map<int, SocketPair> m_addresses; ///< by socket
};

} // namespace ferrytray::net
