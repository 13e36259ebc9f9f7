#pragma once

// What surrounds the hosts in the review's scripts: the record of a run, the platform's store, and
// the host processes themselves.

#include <atomic>             // for atomic
#include <chrono>             // for steady_clock
#include <condition_variable> // for condition_variable
#include <csignal>            // for kill, SIGKILL
#include <cstdio>             // for FILE
#include <cstdlib>            // for getenv, setenv
#include <fstream>            // for ofstream
#include <map>                // for map
#include <memory>             // for unique_ptr
#include <mutex>              // for mutex
#include <string>             // for string
#include <vector>             // for vector

#include <fcntl.h>        // for O_WRONLY
#include <sys/prctl.h>    // for PR_SET_PDEATHSIG
#include <sys/resource.h> // for setrlimit
#include <sys/wait.h>     // for waitpid

#include <nlohmann/json.hpp> // for json

#include "http.hpp" // for Server

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline double Now()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// The file record.txt: what was sent, answered and run, with the time in seconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(std::fopen(aPath.c_str(), "w"))
  {
  }
  void Add(const std::string& aLine)
  {
    const std::scoped_lock lock(m_mutex);
    std::fprintf(m_file, "%9.3f %s\n", Now(), aLine.c_str());
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

/// What one host's link to the store does.
class Link
{
public:
  /// Resets the connections of the link, and new ones, for some time.
  void Cut(double aSeconds) { m_cutUntil = Now() + aSeconds; }
  [[nodiscard]] bool IsCut() const { return Now() < m_cutUntil; }
  /// Called for each read of a topic before it is answered.
  std::function<void(const std::string& aTopic)> m_onRead;

private:
  std::atomic<double> m_cutUntil = 0;
};

/// The platform's store: topics with one partition, kept in memory.
class Store
{
public:
  Store()
    : m_server([this](Connection& aConnection) { Serve(aConnection, nullptr); })
  {
  }

  /// Opens a further address of the store, for one host.
  std::unique_ptr<Server> Open(Link& aLink)
  {
    return std::make_unique<Server>(
      [this, &aLink](Connection& aConnection) { Serve(aConnection, &aLink); });
  }

  /// Writes a record of a keyed topic, as the operator and the workers do.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::scoped_lock lock(m_mutex);
    m_topics[aTopic].push_back(static_cast<char>(aKey.size()) + aKey + aValue);
    m_changed.notify_all();
  }

  [[nodiscard]] std::string Address() const { return m_server.Address(); }

private:
  static std::map<std::string, std::string> Query(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t equals = aTarget.find('=', at);
      const std::size_t end = aTarget.find('&', at + 1);
      query[aTarget.substr(at + 1, equals - at - 1)] =
        aTarget.substr(equals + 1, end == std::string::npos ? end : end - equals - 1);
      at = end;
    }
    return query;
  }

  static std::string BigEndian(std::uint64_t aValue, int aBytes)
  {
    std::string text;
    for (int i = aBytes - 1; i >= 0; --i) {
      text.push_back(static_cast<char>((aValue >> (8 * i)) & 0xff));
    }
    return text;
  }

  static std::string Base64(const std::string& aBytes)
  {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      unsigned group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group =
          group << 8 | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text.push_back(i + j > aBytes.size() ? '=' : digits[(group >> (18 - 6 * j)) & 63]);
      }
    }
    return text;
  }

  void Serve(Connection& aConnection, Link* aLink)
  {
    while (const auto request = ReadRequest(aConnection)) {
      const std::string path = request->m_target.substr(0, request->m_target.find('?'));
      auto query = Query(request->m_target);
      if (aLink != nullptr && aLink->m_onRead && path == "/log-read") {
        aLink->m_onRead(query["topic"]);
      }
      if (aLink != nullptr && aLink->IsCut()) {
        aConnection.Reset();
        return;
      }
      std::string answer;
      if (path == "/log-newest") {
        answer = Newest(query["topic"]);
      } else if (path == "/log-read") {
        answer = Read(query);
      } else if (path == "/log-append") {
        answer = Append(query, request->m_body);
      } else {
        answer = Format(404, {}, "");
      }
      if (aLink != nullptr && aLink->IsCut()) {
        aConnection.Reset();
        return;
      }
      if (!aConnection.Write(answer)) {
        return;
      }
    }
  }

  std::string Newest(const std::string& aTopic)
  {
    const std::scoped_lock lock(m_mutex);
    const std::vector<std::string>& records = m_topics[aTopic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      const auto keySize = static_cast<unsigned char>(records[i][0]);
      const std::string key = records[i].substr(1, keySize);
      if (records[i].size() == 1U + keySize) {
        newest.erase(key);
      } else {
        newest[key] = i;
      }
    }
    json items = json::array();
    for (const auto& [key, offset] : newest) {
      items.push_back({ { "key", key },
                        { "value", Base64(records[offset].substr(1 + key.size())) },
                        { "offset", offset } });
    }
    const json body = { { "items", items }, { "has_more", false }, { "end", records.size() } };
    return Format(200, { { "Content-Type", "application/json" } }, body.dump());
  }

  std::string Read(std::map<std::string, std::string>& aQuery)
  {
    const std::size_t from = std::strtoul(aQuery["from"].c_str(), nullptr, 10);
    const unsigned long wait = std::strtoul(aQuery["wait_ms"].c_str(), nullptr, 10);
    std::unique_lock lock(m_mutex);
    const std::vector<std::string>& records = m_topics[aQuery["topic"]];
    m_changed.wait_for(
      lock, std::chrono::milliseconds(wait), [&] { return records.size() > from; });
    std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      body += BigEndian(records[i].size(), 4) + records[i];
    }
    return Format(200, { { "Content-Type", "application/octet-stream" } }, body);
  }

  std::string Append(std::map<std::string, std::string>& aQuery, const std::string& aBody)
  {
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string>& records = m_topics[aQuery["topic"]];
    const std::string& expected = aQuery["expected_end"];
    if (!expected.empty() && std::strtoul(expected.c_str(), nullptr, 10) != records.size()) {
      return Format(412, {}, json{ { "end", records.size() } }.dump());
    }
    records.push_back(aBody.substr(4));
    m_changed.notify_all();
    return Format(
      200, {}, json{ { "offset", records.size() - 1 }, { "end", records.size() } }.dump());
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<std::string>> m_topics;
  Server m_server;
};

/// Sends one request on a new connection.
inline Answer Ask(std::uint16_t aPort, const std::string& aRequest, double aTimeout)
{
  const int handle = Connect(aPort);
  if (handle < 0) {
    return {};
  }
  Connection connection(handle);
  connection.SetReadTimeout(aTimeout);
  connection.Write(aRequest);
  return ReadAnswer(connection);
}

/// A host: the program of deploy/system.toml as a process of its own.
class Host
{
public:
  Host(std::string aName, std::string aZone, std::string aFolder)
    : m_name(std::move(aName))
    , m_zone(std::move(aZone))
    , m_folder(std::move(aFolder))
  {
  }
  ~Host() { Kill(); }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// @param aExtra further lines of the settings' table [limits]
  /// @return false if it does not become ready
  bool Start(const std::string& aStore, const std::string& aLimits)
  {
    const std::string settings = m_folder + "/" + m_name + ".toml";
    const std::string log = m_folder + "/" + m_name + ".log";
    std::ofstream(settings)
      << "node = \"" << m_name << "\"\nrole = \"host\"\nnode_class = \"edge\"\n"
      << "serves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"" << m_zone << "\"\n"
      << "region = \"r\"\nseeds = []\nbootstrap = true\n"
      << "[listen]\nfront = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
      << "[limits]\n"
      << aLimits
      << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_ms = 3000\ndrain_ms = 2000\n"
      << "grace_s = 8\nlost_ms = 200\nconfig_ms = 2000\nretry_budget_ratio = 0.2\n"
      << "budget_window_s = 10\nbudget_slack = 56\nfencing_required = false\nlease_ms = 3000\n"
      << "thaw_ms = 300\nversion_ms = 12000\n"
      << "[provider]\naddress = \"" << aStore << "\"\nform = \"log\"\n";
    m_process = fork();
    if (m_process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(output, 1);
      dup2(output, 2);
      setenv("FERRYTRAY_BOOT", settings.c_str(), 1);
      setenv("FERRYTRAY_METRICS_PORT", "0", 1);
      const char* program = "target/platform/ferrytray-node";
      execl(program, program, nullptr);
      _exit(127);
    }
    return AwaitReady(log);
  }

  void Signal(int aSignal) const { kill(m_process, aSignal); }

  void Kill()
  {
    if (m_process > 0) {
      kill(m_process, SIGKILL);
      waitpid(m_process, nullptr, 0);
      m_process = -1;
    }
  }

  /// Whether the process has ended by itself or been killed.
  bool Ended()
  {
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
      m_process = -1;
    }
    return m_process <= 0;
  }

  [[nodiscard]] std::uint16_t Port() const { return m_port; }
  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] pid_t Process() const { return m_process; }

private:
  /// Reads the ports from the line that the host logs at its start.
  bool ReadPorts(const std::string& aLog, std::uint16_t& aReadiness)
  {
    std::ifstream file(aLog);
    std::string line;
    const auto port = [&line](const char* aField) {
      const std::size_t colon = line.find(':', line.find(aField));
      return static_cast<std::uint16_t>(std::strtoul(line.c_str() + colon + 1, nullptr, 10));
    };
    while (std::getline(file, line)) {
      if (line.find("event=start ") != std::string::npos) {
        m_port = port("callers=");
        aReadiness = port("readiness=");
        return true;
      }
    }
    return false;
  }

  bool AwaitReady(const std::string& aLog)
  {
    std::uint16_t readiness = 0;
    for (int tries = 0; tries < 150 && !Ended(); ++tries) {
      Sleep(0.1);
      if (readiness == 0 && !ReadPorts(aLog, readiness)) {
        continue;
      }
      if (Ask(readiness, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 2).m_status == 200) {
        return true;
      }
    }
    return false;
  }

  std::string m_name;
  std::string m_zone;
  std::string m_folder;
  pid_t m_process = -1;
  std::uint16_t m_port = 0;
};

/// Whether the run is to hold the disruption; TROUBLE=0 leaves it out.
inline bool WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Exit codes of a case's program.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Ends the program at once: the stand-ins' threads still wait for connections.
[[noreturn]] inline void Exit(int aCode)
{
  std::fflush(stdout);
  _exit(aCode);
}

} // namespace review
