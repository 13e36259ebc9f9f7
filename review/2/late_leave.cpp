// Case 2: workers leave without reporting it, so that their entries are removed from the store.
// Just then, the link of one host to the store is cut for a moment. Counts the requests that hosts
// without any disturbance send to such a worker later than drain_ms after the removal.

#include <cstdio> // for printf
#include <set>    // for set

#include "../standins/world.hpp" // for Host, Store

using namespace review;

namespace {

constexpr int kZones = 4;
constexpr int kHosts = 12;
constexpr int kCallersPerHost = 4;
constexpr int kWorkers = 6;
constexpr int kTrials = 11;
constexpr double kDrain = 2;     // drain_ms
constexpr double kLinger = 0.25; // how much longer a worker serves
constexpr double kTrialTime = 7.5;
constexpr double kCutTime = 0.08; // of a link to the store
constexpr double kWorkTime = 0.2;
constexpr double kHeartbeat = 1.2;

json Configuration()
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "fetch" },
                 { "host", "h.example" },
                 { "path_prefix", "/fetch/" },
                 { "route_type", "non_idempotent" },
                 { "timeout_ms", 3000 },
                 { "target_latency_ms", 500 },
                 { "priority", 1 },
                 { "service", "app" },
                 { "max_attempts", 1 },
                 { "public", false },
                 { "sticky", false },
                 { "resumable", false } } } },
           { "services",
             { { { "name", "app" },
                 { "health_path", "/health" },
                 { "max_connections", 600 },
                 { "protocol", "h1" },
                 { "tls", false } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants",
             { { { "name", "lab" }, { "api_keys", { "key1" } }, { "priority", 1 } } } } };
}

/// A request that reached a worker later than drain_ms after the removal of its entry.
struct LateRequest
{
  std::string m_id;
  std::string m_worker;
  double m_lateness = 0; ///< beyond drain_ms
  bool m_cut = false;    ///< the worker exited while it worked on it
};

/// A worker of a plain service that can leave without reporting it.
class App
{
public:
  App(std::string aId, std::string aZone, Record& aRecord)
    : m_id(std::move(aId))
    , m_zone(std::move(aZone))
    , m_record(aRecord)
    , m_server([this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  [[nodiscard]] const std::string& Id() const { return m_id; }
  [[nodiscard]] std::string Entry() const
  {
    return json{
      { "service", "app" },
      { "address", m_server.Address() },
      { "zone", m_zone },
      { "version", "v1" },
      { "slots", 64 },
      { "state", "ready" },
      { "cold_remaining_ms", 0 },
      { "seq", 0 }
    }.dump();
  }

  /// The store has acknowledged the removal of the entry.
  void OnRemoved() { m_removedAt = Now(); }
  /// Ends the worker, with what still runs on it.
  void Exit()
  {
    if (!m_exited.exchange(true)) {
      m_record.Add(m_id + " exits");
      m_server.Stop();
    }
  }
  std::vector<LateRequest> Late()
  {
    const std::scoped_lock lock(m_mutex);
    return m_late;
  }

private:
  void Serve(Connection& aConnection)
  {
    constexpr double kStep = 0.02;
    while (!m_exited) {
      if (!aConnection.AwaitBytes(kStep)) {
        continue;
      }
      const auto request = ReadRequest(aConnection);
      if (!request) {
        return;
      }
      const std::string id = request->Header("request-id");
      const double arrivedAt = Now();
      const double lateness = arrivedAt - m_removedAt - kDrain;
      const bool late = m_removedAt > 0 && lateness > 0;
      m_record.Add(m_id + " runs " + id);
      while (!m_exited && Now() < arrivedAt + kWorkTime) {
        Sleep(kStep);
      }
      if (late) {
        const std::scoped_lock lock(m_mutex);
        m_late.push_back({ id, m_id, lateness, m_exited });
      }
      const Headers headers = { { "Request-Id", id }, { "Origin-Signature", m_id + "." + id } };
      if (m_exited || !aConnection.Write(Format(200, headers, "done"))) {
        m_record.Add(m_id + " gives no answer to " + id);
        return;
      }
    }
  }

  std::string m_id;
  std::string m_zone;
  Record& m_record;
  std::mutex m_mutex;
  std::vector<LateRequest> m_late;
  std::atomic<double> m_removedAt = 0;
  std::atomic<bool> m_exited = false;
  Server m_server;
};

/// A host with a link of its own to the store.
struct LinkedHost
{
  LinkedHost(Store& aStore, const std::string& aName, const std::string& aZone, const char* aFolder)
    : m_address(aStore.Open(m_link))
    , m_log(std::string(aFolder) + "/" + aName + ".log")
    , m_host(aName, aZone, aFolder)
  {
    m_link.m_onRead = [this](const std::string& aTopic) { OnRead(aTopic); };
  }

  void OnRead(const std::string& aTopic)
  {
    if (aTopic != "keyed.servers") {
      return;
    }
    m_lastReadAt = Now();
    if (m_cutNextRead.exchange(false)) {
      m_link.Cut(kCutTime);
      m_cutAt = Now();
    }
  }

  /// Name of the host that it asks for the records of the store; empty if it reads them itself.
  [[nodiscard]] std::string Source() const
  {
    std::ifstream file(m_log);
    std::string line;
    std::string source;
    while (std::getline(file, line)) {
      constexpr std::string_view kField = "event=asks_host host=";
      const std::size_t start = line.find(kField);
      if (start != std::string::npos) {
        const std::size_t name = start + kField.size();
        source = line.substr(name, line.find(' ', name) - name);
      }
    }
    return m_lastReadAt > Now() - 3 ? "" : source;
  }

  Link m_link;
  std::atomic<double> m_lastReadAt = 0;
  std::atomic<bool> m_cutNextRead = false;
  std::atomic<double> m_cutAt = 0;
  std::unique_ptr<Server> m_address;
  std::string m_log;
  Host m_host;
};

/// Counts of the answers by status, over all callers.
class Answers
{
public:
  void Add(int aStatus)
  {
    const std::scoped_lock lock(m_mutex);
    ++m_counts[aStatus];
  }
  std::string Text()
  {
    const std::scoped_lock lock(m_mutex);
    std::string text;
    for (const auto& [status, count] : m_counts) {
      text += " " + std::to_string(status) + ": " + std::to_string(count) + ",";
    }
    return text;
  }

private:
  std::mutex m_mutex;
  std::map<int, int> m_counts;
};

void Call(const LinkedHost& aHost,
          int aCaller,
          const std::atomic<bool>& aStop,
          Record& aRecord,
          Answers& aAnswers)
{
  for (int i = 0; !aStop; ++i) {
    const std::string id =
      aHost.m_host.Name() + "." + std::to_string(aCaller) + "." + std::to_string(i);
    const Answer answer =
      Ask(aHost.m_host.Port(),
          "POST /fetch/q HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 2500\r\nCredential: key1\r\nContent-Length: 2\r\n\r\nhi",
          4);
    aRecord.Add("caller gets " + std::to_string(answer.m_status) + " for " + id);
    aAnswers.Add(answer.m_status);
    Sleep(0.01);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::printf("usage: late_leave RECORD TEMPORARY_FOLDER\n");
    return kCouldNotRun;
  }
  Record record(aArguments[1]);
  Store store;
  store.Put("keyed.op", "config", Configuration().dump());
  std::vector<std::unique_ptr<App>> workers;
  int started = 0;
  const auto startWorker = [&] {
    const std::string name = "i-" + std::to_string(++started);
    workers.push_back(std::make_unique<App>(name, "z" + std::to_string(started % kZones), record));
    store.Put("keyed.servers", name, workers.back()->Entry());
  };
  for (int i = 0; i < kWorkers; ++i) {
    startWorker();
  }
  std::vector<std::unique_ptr<LinkedHost>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<LinkedHost>(
      store, "host-" + std::to_string(i + 1), "z" + std::to_string(i % kZones), aArguments[2]));
    if (!hosts.back()->m_host.Start(hosts.back()->m_address->Address(),
                                    "cpu_share = 0.25\nmemory_mb = 260\n")) {
      std::printf("host %d does not become ready\n", i + 1);
      hosts.clear();
      Exit(kCouldNotRun);
    }
  }
  Sleep(4);
  std::atomic<bool> stop = false;
  Answers answers;
  std::vector<std::thread> callers;
  for (const auto& host : hosts) {
    for (int i = 0; i < kCallersPerHost; ++i) {
      callers.emplace_back([&, i] { Call(*host, i, stop, record, answers); });
    }
  }
  std::set<std::string> disturbed;
  std::size_t oldest = 0;
  double nextHeartbeat = Now();
  for (int trial = 0; trial < kTrials; ++trial) {
    const double begin = Now();
    startWorker();
    Sleep(0.5 + 0.1 * (trial % 5));
    // The hosts that others ask; those never get a cut themselves that ask.
    std::vector<LinkedHost*> readers;
    for (const auto& host : hosts) {
      const std::string source = host->Source();
      for (const auto& other : hosts) {
        if (!source.empty() && other->m_host.Name() == source && other->Source().empty()) {
          readers.push_back(other.get());
        }
      }
    }
    if (readers.empty()) {
      std::printf("no host follows the store through another one\n");
      for (const auto& host : hosts) {
        host->m_host.Kill();
      }
      Exit(kCouldNotRun);
    }
    App& leaving = *workers[oldest++];
    LinkedHost& reader = *readers[static_cast<std::size_t>(trial) % readers.size()];
    store.Put("keyed.servers", leaving.Id(), "");
    leaving.OnRemoved();
    record.Add("the entry of " + leaving.Id() + " is removed");
    if (WithTrouble()) {
      disturbed.insert(reader.m_host.Name());
      reader.m_cutNextRead = true;
    }
    const double removedAt = Now();
    bool told = false;
    while (Now() < begin + kTrialTime) {
      Sleep(0.05);
      if (!told && reader.m_cutAt > removedAt) {
        told = true;
        record.Add("the link of " + reader.m_host.Name() + " to the store was cut for " +
                   std::to_string(kCutTime) + " s at " + std::to_string(reader.m_cutAt));
      }
      if (Now() > removedAt + kDrain + kLinger) {
        leaving.Exit();
      }
      if (Now() > nextHeartbeat) {
        nextHeartbeat = Now() + kHeartbeat;
        for (std::size_t i = oldest; i < workers.size(); ++i) {
          store.Put("keyed.servers", workers[i]->Id(), workers[i]->Entry());
        }
      }
    }
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int late = 0;
  int excused = 0;
  int cut = 0;
  for (const auto& worker : workers) {
    for (const LateRequest& request : worker->Late()) {
      const std::string host = request.m_id.substr(0, request.m_id.find('.'));
      const bool counts = !disturbed.contains(host);
      ++(counts ? late : excused);
      cut += counts && request.m_cut ? 1 : 0;
      record.Add(std::string(counts ? "DRAIN: " : "excused: ") + request.m_id + " reached " +
                 request.m_worker + " " + std::to_string(request.m_lateness) +
                 " s later than drain_ms after the removal" +
                 (request.m_cut ? ", and was cut off by its exit" : ""));
    }
  }
  const std::string summary = "answers by status:" + answers.Text() +
                              " late: " + std::to_string(late) +
                              ", of these cut off: " + std::to_string(cut) +
                              ", late from hosts that were cut: " + std::to_string(excused);
  record.Add(summary);
  std::printf("%s\n", summary.c_str());
  hosts.clear();
  Exit(late > 0 ? kBroken : kHeld);
}
