#pragma once

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review. One thread per
// connection; no dependency besides the C++ library.

#include <algorithm>   // for equal
#include <atomic>      // for atomic
#include <cctype>      // for tolower
#include <cstdint>     // for uint16_t
#include <cstdlib>     // for strtoul
#include <functional>  // for function
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <thread>      // for thread
#include <utility>     // for pair
#include <vector>      // for vector

#include <arpa/inet.h>   // for htons
#include <netinet/in.h>  // for sockaddr_in
#include <netinet/tcp.h> // for TCP_NODELAY
#include <poll.h>        // for poll
#include <sys/socket.h>  // for socket
#include <sys/time.h>    // for timeval
#include <unistd.h>      // for close

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](unsigned char aL, unsigned char aR) { return std::tolower(aL) == std::tolower(aR); });
}

inline std::string Find(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return "";
}

/// One connection, with the bytes that were received and not used yet.
class Connection
{
public:
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

  /// Makes the kernel send a reset instead of the end of the connection.
  void Reset()
  {
    const linger abort{ 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    Close();
  }

  void SetReadTimeout(double aSeconds)
  {
    timeval limit{};
    limit.tv_sec = static_cast<long>(aSeconds);
    limit.tv_usec = static_cast<long>((aSeconds - static_cast<double>(limit.tv_sec)) * 1e6);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent = send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// @return without the line end; none at the end of the connection or after the timeout
  std::optional<std::string> ReadLine()
  {
    for (;;) {
      const std::size_t end = m_buffer.find("\r\n");
      if (end != std::string::npos) {
        std::string line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return line;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }

  bool ReadBytes(std::size_t aCount, std::string& aBytes)
  {
    while (m_buffer.size() < aCount) {
      if (!Fill()) {
        return false;
      }
    }
    aBytes.append(m_buffer, 0, aCount);
    m_buffer.erase(0, aCount);
    return true;
  }

  /// Waits for bytes or the end of the connection. @param aSeconds negative: without a limit
  bool AwaitBytes(double aSeconds)
  {
    pollfd watched{ m_socket, POLLIN, 0 };
    const int limit = aSeconds < 0 ? -1 : static_cast<int>(aSeconds * 1000) + 1;
    return !m_buffer.empty() || poll(&watched, 1, limit) > 0;
  }

  /// Whether the peer has closed the connection. Does not wait and uses no bytes.
  [[nodiscard]] bool PeerClosed() const
  {
    char byte = 0;
    const ssize_t seen = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen == 0 || (seen < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  bool Fill()
  {
    char bytes[16384];
    const ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int m_socket;
  std::string m_buffer;
};

struct Request
{
  std::string m_method;
  std::string m_target;
  Headers m_headers;
  std::string m_body;
  [[nodiscard]] std::string Header(std::string_view aName) const { return Find(m_headers, aName); }
};

struct Answer
{
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
  bool m_complete = false;
  [[nodiscard]] std::string Header(std::string_view aName) const { return Find(m_headers, aName); }
};

inline bool ReadHeaders(Connection& aConnection, Headers& aHeaders)
{
  for (;;) {
    const auto line = aConnection.ReadLine();
    if (!line) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
    const std::size_t colon = line->find(':');
    if (colon != std::string::npos) {
      const std::size_t start = line->find_first_not_of(' ', colon + 1);
      aHeaders.emplace_back(line->substr(0, colon),
                            start == std::string::npos ? "" : line->substr(start));
    }
  }
}

/// Reads a request with a Content-Length; the hosts send no chunks.
inline std::optional<Request> ReadRequest(Connection& aConnection)
{
  const auto line = aConnection.ReadLine();
  if (!line) {
    return std::nullopt;
  }
  Request request;
  const std::size_t first = line->find(' ');
  const std::size_t second = line->find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return std::nullopt;
  }
  request.m_method = line->substr(0, first);
  request.m_target = line->substr(first + 1, second - first - 1);
  if (!ReadHeaders(aConnection, request.m_headers)) {
    return std::nullopt;
  }
  const std::string length = request.Header("content-length");
  if (!aConnection.ReadBytes(std::strtoul(length.c_str(), nullptr, 10), request.m_body)) {
    return std::nullopt;
  }
  return request;
}

/// Reads an answer with a length or chunks.
inline Answer ReadAnswer(Connection& aConnection)
{
  Answer answer;
  const auto line = aConnection.ReadLine();
  if (!line || line->size() < 12) {
    return answer;
  }
  answer.m_status = std::atoi(line->c_str() + 9);
  if (!ReadHeaders(aConnection, answer.m_headers)) {
    return answer;
  }
  if (answer.Header("transfer-encoding").empty()) {
    const std::string length = answer.Header("content-length");
    answer.m_complete =
      aConnection.ReadBytes(std::strtoul(length.c_str(), nullptr, 10), answer.m_body);
    return answer;
  }
  for (;;) {
    const auto sizeLine = aConnection.ReadLine();
    if (!sizeLine) {
      return answer;
    }
    const std::size_t size = std::strtoul(sizeLine->c_str(), nullptr, 16);
    if (!aConnection.ReadBytes(size, answer.m_body) || !aConnection.ReadLine()) {
      return answer;
    }
    if (size == 0) {
      answer.m_complete = true;
      return answer;
    }
  }
}

inline std::string Format(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline sockaddr_in Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @return -1 on failure
inline int Connect(std::uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

/// Listens on a free port and handles each connection in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler aHandler)
    : m_handler(std::move(aHandler))
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = Loopback(0);
    bind(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    listen(m_socket, 512);
    socklen_t size = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Accepts no further connections.
  void Stop() { shutdown(m_socket, SHUT_RDWR); }

  [[nodiscard]] std::uint16_t Port() const { return m_port; }
  [[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
  void Accept()
  {
    for (;;) {
      const int handle = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        return; // stopped
      }
      std::thread([this, handle] {
        Connection connection(handle);
        m_handler(connection);
      }).detach();
    }
  }

  Handler m_handler;
  int m_socket;
  std::uint16_t m_port = 0;
};

} // namespace review
