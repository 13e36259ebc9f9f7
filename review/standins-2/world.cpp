#include "world.hpp"

#include <algorithm>     // for transform
#include <arpa/inet.h>   // for inet_pton
#include <array>         // for array
#include <cctype>        // for tolower
#include <cerrno>        // for errno
#include <chrono>        // for steady_clock
#include <csignal>       // for kill
#include <cstdlib>       // for getenv
#include <fcntl.h>       // for open
#include <filesystem>    // for remove_all
#include <netinet/in.h>  // for sockaddr_in
#include <netinet/tcp.h> // for TCP_NODELAY
#include <sys/prctl.h>   // for prctl
#include <sys/socket.h>  // for socket
#include <sys/wait.h>    // for waitpid
#include <unistd.h>      // for close

namespace trial {

namespace {

const auto kBegin = std::chrono::steady_clock::now();

std::mutex g_recordMutex;
std::ofstream g_record;

std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return aText;
}

sockaddr_in ToAddress(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

std::string Decode(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text.push_back(static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      text.push_back(aText[i]);
    }
  }
  return text;
}

std::string BigEndian(std::uint64_t aValue, std::size_t aBytes)
{
  std::string text(aBytes, '\0');
  for (std::size_t i = aBytes; i > 0; --i) {
    text[i - 1] = static_cast<char>(aValue & 0xffU);
    aValue >>= 8U;
  }
  return text;
}

std::string Base64(const std::string& aBytes)
{
  const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = (group << 8U) | (k < count ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text.push_back(k <= count ? digits[(group >> (18U - 6U * k)) & 63U] : '=');
    }
  }
  return text;
}

} // namespace

long NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kBegin)
    .count();
}

void SleepMs(long aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

long UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void OpenRecord(const std::string& aPath)
{
  signal(SIGPIPE, SIG_IGN);
  g_record.open(aPath);
}

void Note(const std::string& aLine)
{
  const std::lock_guard lock(g_recordMutex);
  g_record << NowMs() << " ms " << aLine << std::endl;
}

std::string Request::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? "" : found->second;
}

std::string Request::Path() const
{
  return m_target.substr(0, m_target.find('?'));
}

std::string Request::Query(const std::string& aName) const
{
  const std::size_t mark = m_target.find('?');
  std::string rest = mark == std::string::npos ? "" : m_target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == aName) {
      return Decode(pair.substr(equals + 1));
    }
    rest.erase(0, std::min(end + 1, rest.size()));
  }
  return "";
}

bool Reader::Fill()
{
  std::array<char, 65536> bytes; // NOLINT: recv initializes what is used
  const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
  if (m_pause > 0) {
    SleepMs(m_pause * size / static_cast<long>(bytes.size()));
  }
  return true;
}

bool Reader::ReadLine(std::string& aLine)
{
  std::size_t end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = m_buffer.find("\r\n");
  }
  aLine = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return true;
}

bool Reader::ReadBytes(std::size_t aCount, std::string& aTo)
{
  while (m_buffer.size() < aCount) {
    if (!Fill()) {
      return false;
    }
  }
  aTo.append(m_buffer, 0, aCount);
  m_buffer.erase(0, aCount);
  return true;
}

bool Reader::ReadHead(std::string& aFirstLine, std::map<std::string, std::string>& aHeaders)
{
  aHeaders.clear();
  if (!ReadLine(aFirstLine)) {
    return false;
  }
  for (std::string line; ReadLine(line);) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::size_t value = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    aHeaders[Lower(line.substr(0, colon))] = line.substr(value);
  }
  return false;
}

bool Reader::ReadBody(const std::map<std::string, std::string>& aHeaders, std::string& aBody)
{
  const auto chunked = aHeaders.find("transfer-encoding");
  if (chunked == aHeaders.end()) {
    const auto length = aHeaders.find("content-length");
    return length == aHeaders.end() || ReadBytes(std::stoul(length->second), aBody);
  }
  for (std::string line; ReadLine(line);) {
    const std::size_t size = std::stoul(line, nullptr, 16);
    if (size > 0 && !ReadBytes(size, aBody)) {
      return false;
    }
    if (!ReadLine(line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

bool WriteAll(int aSocket, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t size = send(aSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(size);
  }
  return true;
}

std::string FormatReply(int aStatus,
                        const std::vector<std::pair<std::string, std::string>>& aHeaders,
                        const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Server::Server(std::string aIp,
               std::uint16_t aPort,
               Handler aHandler,
               long aPause,
               std::function<void(const std::string&)> aOnHead)
  : m_ip(std::move(aIp))
  , m_handler(std::move(aHandler))
  , m_pause(aPause)
  , m_onHead(std::move(aOnHead))
  , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int yes = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address = ToAddress(m_ip, aPort);
  socklen_t size = sizeof address;
  if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(m_listener, 512) != 0) {
    Note("cannot listen at " + m_ip + ":" + std::to_string(aPort));
    std::_Exit(kNotRun);
  }
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

Server::~Server()
{
  Stop();
}

void Server::Stop()
{
  if (m_stopped.exchange(true)) {
    return;
  }
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  std::unique_lock lock(m_mutex);
  for (const int open : m_open) {
    shutdown(open, SHUT_RDWR);
  }
  m_ended.wait(lock, [this] { return m_threads == 0; });
}

void Server::Accept()
{
  while (!m_stopped) {
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      if (m_stopped || errno == EINVAL) {
        return;
      }
      continue;
    }
    const int yes = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const std::lock_guard lock(m_mutex);
    m_open.insert(accepted);
    ++m_threads;
    std::thread([this, accepted] { Serve(accepted); }).detach();
  }
}

void Server::Serve(int aSocket)
{
  Reader reader(aSocket);
  reader.SetPause(m_pause);
  Request request;
  std::string line;
  while (!m_stopped && reader.ReadHead(line, request.m_headers)) {
    request.m_body.clear();
    if (m_onHead && request.m_headers.contains("request-id")) {
      m_onHead(request.m_headers["request-id"]);
    }
    if (!reader.ReadBody(request.m_headers, request.m_body)) {
      break;
    }
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::size_t second = std::min(line.find(' ', space + 1), line.size());
    request.m_method = line.substr(0, space);
    request.m_target = line.substr(space + 1, second - space - 1);
    request.m_at = NowMs();
    if (!m_handler(request, aSocket)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_open.erase(aSocket);
  close(aSocket);
  --m_threads;
  m_ended.notify_all();
}

Store::Store(const std::string& aIp)
  : m_ip(aIp)
{
  Move();
}

void Store::Move()
{
  auto next = std::make_unique<Server>(
    m_ip, 0, [this](const Request& aRequest, int aSocket) { return Handle(aRequest, aSocket); });
  std::swap(m_server, next);
}

void Store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  const std::string content = BigEndian(aKey.size(), 1) + aKey + aValue;
  m_topics[aTopic].push_back({ content, aKey, aValue });
  m_changed.notify_all();
}

bool Store::Handle(const Request& aRequest, int aSocket)
{
  const std::string path = aRequest.Path();
  if (path == "/log-append") {
    return Append(aRequest, aSocket);
  }
  if (path == "/log-read") {
    return ReadLog(aRequest, aSocket);
  }
  if (path == "/log-newest") {
    return ReadNewest(aRequest, aSocket);
  }
  return WriteAll(aSocket, FormatReply(404, {}, ""));
}

bool Store::Append(const Request& aRequest, int aSocket)
{
  const std::string topic = aRequest.Query("topic");
  const bool keyed = topic.starts_with("keyed.");
  json reply;
  int status = 200;
  {
    const std::lock_guard lock(m_mutex);
    std::vector<Record>& records = m_topics[topic];
    const std::string expected = aRequest.Query("expected_end");
    if (!expected.empty() && std::stoul(expected) != records.size()) {
      status = 412;
      reply = { { "end", records.size() } };
    } else {
      const std::size_t offset = records.size();
      std::size_t at = 0;
      while (at + 4 <= aRequest.m_body.size()) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i) {
          size = (size << 8U) | static_cast<unsigned char>(aRequest.m_body[at + i]);
        }
        Record record;
        record.m_bytes = aRequest.m_body.substr(at + 4, size);
        if (keyed && !record.m_bytes.empty()) {
          const std::size_t key = static_cast<unsigned char>(record.m_bytes[0]);
          record.m_key = record.m_bytes.substr(1, key);
          record.m_value = record.m_bytes.substr(1 + key);
        }
        records.push_back(record);
        at += 4 + size;
      }
      reply = { { "offset", offset }, { "end", records.size() } };
      m_changed.notify_all();
    }
  }
  return WriteAll(aSocket,
                  FormatReply(status, { { "Content-Type", "application/json" } }, reply.dump()));
}

bool Store::ReadLog(const Request& aRequest, int aSocket)
{
  const std::string topic = aRequest.Query("topic");
  const std::size_t from = std::stoul(aRequest.Query("from"));
  const std::string wait = aRequest.Query("wait_ms");
  std::string body;
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)), [&] {
      return m_topics[topic].size() > from;
    });
    const std::vector<Record>& records = m_topics[topic];
    body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      body += BigEndian(records[i].m_bytes.size(), 4) + records[i].m_bytes;
    }
  }
  return WriteAll(aSocket, FormatReply(200, {}, body));
}

bool Store::ReadNewest(const Request& aRequest, int aSocket)
{
  json items = json::array();
  json reply;
  {
    const std::lock_guard lock(m_mutex);
    const std::vector<Record>& records = m_topics[aRequest.Query("topic")];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      newest[records[i].m_key] = i;
    }
    for (const auto& [key, offset] : newest) {
      if (!records[offset].m_value.empty()) {
        items.push_back(
          { { "key", key }, { "value", Base64(records[offset].m_value) }, { "offset", offset } });
      }
    }
    reply = { { "items", items }, { "has_more", false }, { "end", records.size() } };
  }
  return WriteAll(aSocket,
                  FormatReply(200, { { "Content-Type", "application/json" } }, reply.dump()));
}

Worker::Worker(Store& aStore, Traits aTraits, Handler aHandler)
  : m_store(aStore)
  , m_traits(std::move(aTraits))
  , m_handler(std::move(aHandler))
{
  m_beats = std::thread([this] {
    constexpr long kIntervalMs = 1200;
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
      m_wake.wait_for(lock, std::chrono::milliseconds(100));
      const long silent = NowMs() - m_registeredAt;
      if (m_ending) {
        return;
      }
      if (m_up && silent >= kIntervalMs) {
        Register();
      } else if (!m_up && m_listed && silent >= 3 * kIntervalMs) {
        Note("the store removes the entry of worker " + m_traits.m_id);
        m_store.Put("keyed.servers", m_traits.m_id, "");
        m_listed = false;
      }
    }
  });
}

Worker::~Worker()
{
  {
    const std::lock_guard lock(m_mutex);
    m_ending = true;
    m_wake.notify_all();
  }
  m_beats.join();
  Crash();
}

void Worker::SetId(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  m_traits.m_id = aId;
}

void Worker::Start()
{
  const std::lock_guard lock(m_mutex);
  m_server = std::make_unique<Server>(
    m_traits.m_ip,
    m_port,
    [this](const Request& aRequest, int aSocket) {
      return IsForThis(aRequest, aSocket) ? m_handler(*this, aRequest, aSocket) : true;
    },
    m_traits.m_pause,
    m_traits.m_onHead);
  m_port = m_server->Port();
  m_born = UnixMs();
  m_sequence = 0;
  m_up = true;
  Note("worker " + m_traits.m_id + " born " + std::to_string(m_born) + " starts at " +
       m_server->Address());
  Register();
}

void Worker::Crash()
{
  std::unique_ptr<Server> server;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_up) {
      return;
    }
    m_up = false;
    server = std::move(m_server);
  }
  server->Stop();
}

void Worker::Register()
{
  json entry{ { "service", m_traits.m_service },
              { "address", m_server->Address() },
              { "zone", m_traits.m_zone },
              { "version", "v1" },
              { "slots", m_traits.m_slots },
              { "state", "ready" },
              { "cold_remaining_ms", 0 },
              { "born", m_born },
              { "seq", ++m_sequence } };
  if (!m_traits.m_models.is_null()) {
    entry["stage"] = "unified";
    entry["models"] = m_traits.m_models;
  }
  m_store.Put("keyed.servers", m_traits.m_id, entry.dump());
  m_registeredAt = NowMs();
  m_listed = true;
}

bool Worker::IsForThis(const Request& aRequest, int aSocket) const
{
  const std::string target = aRequest.Header("target-instance");
  if (target.empty() || target == m_traits.m_id) {
    return true;
  }
  WriteAll(aSocket,
           FormatReply(421,
                       { { "Instance-Id", m_traits.m_id },
                         { "Not-Executed", "1" },
                         { "Request-Id", aRequest.Header("request-id") } },
                       ""));
  return false;
}

bool Worker::Answer(const Request& aRequest,
                    int aSocket,
                    int aStatus,
                    const std::string& aBody) const
{
  return WriteAll(aSocket,
                  FormatReply(aStatus,
                              { { "Request-Id", aRequest.Header("request-id") },
                                { "Instance-Id", m_traits.m_id },
                                { "Origin-Signature", "signed." + m_traits.m_id },
                                { "Keep-Alive", "timeout=15" } },
                              aBody));
}

Connection::Connection(const std::string& aTo, long aTimeoutMs)
  : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const int yes = 1;
  setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  const std::size_t colon = aTo.find(':');
  const sockaddr_in address =
    ToAddress(aTo.substr(0, colon), static_cast<std::uint16_t>(std::stoul(aTo.substr(colon + 1))));
  if (connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(m_socket);
    m_socket = -1;
  }
  m_reader = std::make_unique<Reader>(m_socket);
}

Connection::~Connection()
{
  if (m_socket >= 0) {
    close(m_socket);
  }
}

bool Connection::Write(const std::string& aBytes)
{
  return m_socket >= 0 && WriteAll(m_socket, aBytes);
}

Answer Connection::Read()
{
  Answer answer;
  std::string line;
  if (m_socket >= 0 && m_reader->ReadHead(line, answer.m_headers)) {
    answer.m_status = std::stoi(line.substr(std::min(line.find(' ') + 1, line.size())));
    answer.m_whole = m_reader->ReadBody(answer.m_headers, answer.m_body);
  }
  answer.m_endedAt = NowMs();
  return answer;
}

std::string FormatRequest(const std::string& aMethod,
                          const std::string& aTarget,
                          const std::vector<std::pair<std::string, std::string>>& aHeaders,
                          const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

Answer Ask(const std::string& aTo, const std::string& aRequest, long aTimeoutMs)
{
  const long sentAt = NowMs();
  Connection connection(aTo, aTimeoutMs);
  Answer answer;
  if (connection.Write(aRequest)) {
    answer = connection.Read();
  }
  answer.m_sentAt = sentAt;
  answer.m_endedAt = NowMs();
  return answer;
}

namespace {

/// Ports that are free at the addresses of the hosts; the same at all hosts of a trial.
struct Ports
{
  std::uint16_t m_front = 0;
  std::uint16_t m_ready = 0;
  std::uint16_t m_peers = 0;
  std::uint16_t m_metrics = 0;
};

bool AreFree(std::uint16_t aFirst, std::uint16_t aCount)
{
  for (int host = 1; host <= 8; ++host) {
    for (std::uint16_t port = aFirst; port < aFirst + aCount; ++port) {
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = ToAddress("127.0.1." + std::to_string(host), port);
      const bool free =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      close(probe);
      if (!free) {
        return false;
      }
    }
  }
  return true;
}

const Ports& HostPorts()
{
  static const Ports ports = [] {
    constexpr std::uint16_t kCount = 24;
    for (auto first = static_cast<std::uint16_t>(12000 + getpid() % 400 * 40);; first += kCount) {
      if (AreFree(first, kCount)) {
        return Ports{ first,
                      static_cast<std::uint16_t>(first + 1),
                      static_cast<std::uint16_t>(first + 4),
                      static_cast<std::uint16_t>(first + 22) };
      }
    }
  }();
  return ports;
}

} // namespace

Host::Host(int aNumber, std::string aZone, std::string aStore, std::string aFolder)
  : m_number(aNumber)
  , m_zone(std::move(aZone))
  , m_store(std::move(aStore))
  , m_folder(std::move(aFolder))
{
  WriteSettings(m_store);
}

Host::~Host()
{
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

std::string Host::Front() const
{
  return "127.0.1." + std::to_string(m_number) + ":" + std::to_string(HostPorts().m_front);
}

void Host::WriteSettings(const std::string& aStore)
{
  const std::string ip = "127.0.1." + std::to_string(m_number);
  const auto at = [&](std::uint16_t aPort) { return ip + ":" + std::to_string(aPort); };
  const std::string path = m_folder + "/node-" + std::to_string(m_number) + ".toml";
  const std::string next = path + ".next";
  std::ofstream(next)
    << "node = \"edge-" << m_number << "\"\nrole = \"host\"\nnode_class = \"edge\"\n"
    << "serves = [\"edge\"]\nip = \"" << ip << "\"\nzone = \"" << m_zone
    << "\"\nregion = \"gandhinagar\"\nport_range = [" << HostPorts().m_peers << ","
    << HostPorts().m_peers + 15 << "]\nseeds = []\nbootstrap = true\nfault_counted = false\n"
    << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
    << "[listen]\nfront = \"" << at(HostPorts().m_front) << "\"\nready = \""
    << at(HostPorts().m_ready) << "\"\n"
    << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n"
    << "link_mbps = 1000.0\ndisk_mb = 0\n"
    << "[bounds]\nstable_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nlost_ms = 200\n"
    << "config_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nstrict_revoke = false\n"
    << "revoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\n"
    << "recovery_s = 12\nfencing_required = false\nlease_ms = 3000\nthaw_ms = 300\n"
    << "version_ms = 12000\nversion_all_ms = 17000\n"
    << "[provider]\naddress = \"" << aStore << "\"\nform = \"log\"\nwrites_per_s = 400\n"
    << "reads_per_s = 2000\n";
  std::filesystem::rename(next, path);
}

void Host::Start()
{
  const std::string number = std::to_string(m_number);
  const std::string settings = m_folder + "/node-" + number + ".toml";
  const std::string log = m_folder + "/node-" + number + ".log";
  const std::string metrics = std::to_string(HostPorts().m_metrics);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // no host outlives the trial
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("FERRYTRAY_BOOT", settings.c_str(), 1);
    setenv("FERRYTRAY_METRICS_PORT", metrics.c_str(), 1);
    execl("target/platform/ferrytray-node", "target/platform/ferrytray-node", nullptr);
    std::_Exit(127);
  }
  Note("host " + number + " starts, process " + std::to_string(m_pid));
}

void Host::Signal(int aSignal) const
{
  Note("host " + std::to_string(m_number) + " gets signal " + std::to_string(aSignal));
  kill(m_pid, aSignal);
}

bool Host::IsReady() const
{
  const std::string ready =
    "127.0.1." + std::to_string(m_number) + ":" + std::to_string(HostPorts().m_ready);
  return Ask(ready, FormatRequest("GET", "/ready", { { "Host", "ready" } }, ""), 1000).m_status ==
         200;
}

bool Host::AwaitReady(long aMillis) const
{
  for (const long end = NowMs() + aMillis; NowMs() < end; SleepMs(50)) {
    if (IsReady()) {
      Note("host " + std::to_string(m_number) + " is ready");
      return true;
    }
  }
  Note("host " + std::to_string(m_number) + " is not ready");
  return false;
}

long Host::Memory() const
{
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::stol(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

bool Host::Runs()
{
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    Note("host " + std::to_string(m_number) + " has ended, status " + std::to_string(status));
    m_pid = -1;
  }
  return m_pid > 0;
}

Folder::Folder()
{
  const char* parent = std::getenv("TMPDIR");
  std::string name = std::string(parent == nullptr ? "/tmp" : parent) + "/ferrytray-case-XXXXXX";
  m_path = mkdtemp(name.data()) == nullptr ? "" : name;
}

Folder::~Folder()
{
  const char* kept = std::getenv("KEEP");
  if (!m_path.empty() && kept == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
}

bool WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace trial
