// Stand-ins for the cases of REPORT-2.md: the platform's store, workers, clients, and the start of
// hosts as separate processes. Everything listens on loopback addresses.
#pragma once

#include <atomic>             // for atomic
#include <condition_variable> // for condition_variable
#include <cstdint>            // for uint16_t
#include <fstream>            // for ofstream
#include <functional>         // for function
#include <map>                // for map
#include <memory>             // for unique_ptr
#include <mutex>              // for mutex
#include <set>                // for set
#include <string>             // for string
#include <sys/types.h>        // for pid_t
#include <thread>             // for thread
#include <utility>            // for pair
#include <vector>             // for vector

#include <nlohmann/json.hpp> // for json

namespace trial {

using nlohmann::json;

/// Milliseconds since the trial began.
long NowMs();
void SleepMs(long aMillis);
long UnixMs();

/// record.txt: what was sent, answered and run. Safe to use from all threads.
void OpenRecord(const std::string& aPath);
void Note(const std::string& aLine);

struct Request
{
  std::string m_method;
  std::string m_target;
  std::map<std::string, std::string> m_headers; ///< names in lower case
  std::string m_body;
  long m_at = 0;

  [[nodiscard]] std::string Header(const std::string& aName) const;
  [[nodiscard]] std::string Path() const;
  [[nodiscard]] std::string Query(const std::string& aName) const;
};

/// Reads HTTP messages from a socket.
class Reader
{
public:
  explicit Reader(int aSocket)
    : m_socket(aSocket)
  {
  }
  /// Waits this long after each 64 KiB.
  void SetPause(long aMillis) { m_pause = aMillis; }
  /// @return false if the connection ended before a whole head
  bool ReadHead(std::string& aFirstLine, std::map<std::string, std::string>& aHeaders);
  /// @return false if the connection ended before the whole body
  bool ReadBody(const std::map<std::string, std::string>& aHeaders, std::string& aBody);

private:
  bool Fill();
  bool ReadLine(std::string& aLine);
  bool ReadBytes(std::size_t aCount, std::string& aTo);

  int m_socket;
  long m_pause = 0;
  std::string m_buffer;
};

/// @return false if the peer is gone
bool WriteAll(int aSocket, const std::string& aBytes);
std::string FormatReply(int aStatus,
                        const std::vector<std::pair<std::string, std::string>>& aHeaders,
                        const std::string& aBody);

/// An HTTP/1.1 server with one thread for each connection.
class Server
{
public:
  /// @return false: the server closes the connection
  using Handler = std::function<bool(const Request&, int aSocket)>;

  /// @param aPause in milliseconds after each 64 KiB that are read
  /// @param aOnHead called with the Request-Id of each request whose head has been read
  Server(std::string aIp,
         std::uint16_t aPort,
         Handler aHandler,
         long aPause = 0,
         std::function<void(const std::string&)> aOnHead = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /// Closes the listening socket and all connections at once, as the end of a process does.
  void Stop();
  [[nodiscard]] std::string Address() const { return m_ip + ":" + std::to_string(m_port); }
  [[nodiscard]] std::uint16_t Port() const { return m_port; }

private:
  void Accept();
  void Serve(int aSocket);

  std::string m_ip;
  std::uint16_t m_port = 0;
  Handler m_handler;
  long m_pause;
  std::function<void(const std::string&)> m_onHead;
  int m_listener = -1;
  std::atomic<bool> m_stopped{ false };
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::set<int> m_open;
  int m_threads = 0;
  std::thread m_acceptor;
};

/// The platform's store: a log with topics of one partition.
class Store
{
public:
  explicit Store(const std::string& aIp);
  /// Writes as the operator or a worker does. An empty value removes the key. The return is the
  /// ack.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);
  [[nodiscard]] std::string Address() const { return m_server->Address(); }
  /// Moves the store to another address; what it holds stays.
  void Move();

private:
  struct Record
  {
    std::string m_bytes;
    std::string m_key;
    std::string m_value;
  };
  bool Handle(const Request& aRequest, int aSocket);
  bool Append(const Request& aRequest, int aSocket);
  bool ReadLog(const Request& aRequest, int aSocket);
  bool ReadNewest(const Request& aRequest, int aSocket);

  std::string m_ip;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<Record>> m_topics;
  std::unique_ptr<Server> m_server;
};

/// A worker that registers in the store. Its handler answers requests.
class Worker
{
public:
  struct Traits
  {
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots = 6;
    json m_models; ///< null: none
    std::string m_ip = "127.0.0.1";
    long m_pause = 0; ///< in milliseconds after each 64 KiB that are read
    std::function<void(const std::string&)> m_onHead; ///< called with the id of each request
  };
  using Handler = std::function<bool(Worker&, const Request&, int aSocket)>;

  Worker(Store& aStore, Traits aTraits, Handler aHandler);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  void Start();
  /// Ends at once; nothing is sent and nothing written to the store.
  void Crash();
  /// Whether the request names this worker, or none. Otherwise answers 421.
  [[nodiscard]] bool IsForThis(const Request& aRequest, int aSocket) const;
  bool Answer(const Request& aRequest, int aSocket, int aStatus, const std::string& aBody) const;
  [[nodiscard]] const Traits& GetTraits() const { return m_traits; }
  void SetId(const std::string& aId);

private:
  void Register();

  Store& m_store;
  Traits m_traits;
  Handler m_handler;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_up = false;
  bool m_ending = false;
  bool m_listed = false;   ///< has an entry in the store, which expires when nothing renews it
  long m_registeredAt = 0; ///< last time
  long m_born = 0;
  std::uint64_t m_sequence = 0;
  std::uint16_t m_port = 0;
  std::unique_ptr<Server> m_server;
  std::thread m_beats;
};

struct Answer
{
  int m_status = 0; ///< 0: none
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  bool m_whole = false;
  long m_sentAt = 0;
  long m_endedAt = 0;
};

/// A client's connection to a host.
class Connection
{
public:
  /// @param aTo IP:PORT
  explicit Connection(const std::string& aTo, long aTimeoutMs = 20000);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  [[nodiscard]] bool IsOpen() const { return m_socket >= 0; }
  bool Write(const std::string& aBytes);
  Answer Read();

private:
  int m_socket = -1;
  std::unique_ptr<Reader> m_reader;
};

std::string FormatRequest(const std::string& aMethod,
                          const std::string& aTarget,
                          const std::vector<std::pair<std::string, std::string>>& aHeaders,
                          const std::string& aBody);
/// Sends one request on a connection of its own.
Answer Ask(const std::string& aTo, const std::string& aRequest, long aTimeoutMs = 20000);

/// A host of the system: target/platform/ferrytray-node with a settings file of its own.
class Host
{
public:
  /// @param aNumber 1, 2 and so on; its address is 127.0.1.NUMBER
  Host(int aNumber, std::string aZone, std::string aStore, std::string aFolder);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  void WriteSettings(const std::string& aStore);
  void Start();
  void Signal(int aSignal) const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool AwaitReady(long aMillis) const;
  /// Memory of the process itself, without files that it maps, in KiB; zero if it has ended.
  [[nodiscard]] long Memory() const;
  /// Whether the process still runs.
  [[nodiscard]] bool Runs();
  [[nodiscard]] std::string Front() const;
  [[nodiscard]] pid_t Pid() const { return m_pid; }

private:
  int m_number;
  std::string m_zone;
  std::string m_store;
  std::string m_folder;
  pid_t m_pid = -1;
};

/// A folder under TMPDIR or /tmp that the destructor removes.
class Folder
{
public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  [[nodiscard]] const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

/// Whether the case is played with its disruption; TROUBLE=0 leaves it out.
bool WithTrouble();

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace trial
