#pragma once

#include <cstdint>       // for uint8_t, uint32_t
#include <map>           // for map
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/net/reply_match.hpp" // for EchoedHeader

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

/// @brief Whether a request may be sent on a connection.
enum class SendCheck : std::uint8_t
{
  Allowed,
  UnknownConnection, ///< not in the table, so that nothing is known of it
  UnexpectedInput,   ///< bytes have arrived, or the peer has closed the connection
  IdUsed,            ///< an earlier request on the connection had the same id
  Full,              ///< the connection has carried as many ids as are recorded
  Retired,           ///< replies to other requests have arrived on the connection
};

/// @brief What made an idle connection readable.
enum class IdleInput : std::uint8_t
{
  Closed, ///< the peer has closed the connection
  Bytes,  ///< the peer has sent bytes that belong to no request
};

/// @brief The open connections of an HTTP client and the requests that they have carried.
///
/// libcurl does not report which socket a request is about to be sent on, but it reports the
/// addresses.
class ConnectionTable
{
public:
  /// Ids that a connection may carry. They take up to 2 KiB.
  static constexpr std::size_t kMaxIds = 512;

  /// @brief Adds a new socket, which need not be connected yet.
  void Add(int aSocket) { m_connecting.push_back(aSocket); }
  void Remove(int aSocket);
  /// @brief Whether a socket is in the table and connected.
  [[nodiscard]] bool Contains(int aSocket);

  /// @brief Checks whether a request may be sent on a connection, and records its id if so.
  /// @param aEchoed the header with the id; null: nothing in the reply identifies the request
  [[nodiscard]] SendCheck BeginSend(const SocketPair& aAddresses, const EchoedHeader* aEchoed);

  /// @brief Reads replies to other requests from a connection whose own reply has not begun, so
  /// that the reply that follows is not lost. No further request is sent on the connection then.
  /// Call when the socket is readable.
  /// @return number of replies that were discarded
  std::size_t DiscardForeignReplies(int aSocket);

  /// @brief Shuts down an idle connection on which input has arrived, so that the peer can free it.
  /// Further requests on it are rejected.
  /// @return what has arrived; empty: nothing, and the connection stays usable
  std::optional<IdleInput> CloseIdle(int aSocket);

private:
  struct Connection
  {
    int m_socket = -1;
    bool m_closed = false;                 ///< by CloseIdle()
    bool m_retired = false;                ///< replies to other requests were discarded
    std::optional<EchoedHeader> m_awaited; ///< of the reply that has not begun
    /// Hashes of the ids. Two ids with one hash only cost a new connection.
    std::vector<std::uint32_t> m_ids;
  };

  /// Adds the addresses of sockets that were connected since the last call.
  void AddAddresses();
  Connection* Find(const SocketPair& aAddresses);

  std::vector<int> m_connecting; ///< sockets without known addresses
  std::map<SocketPair, Connection> m_connections;
  std::unordered_map<int, SocketPair> m_addresses; ///< by socket
};

} // namespace ferrytray::net
