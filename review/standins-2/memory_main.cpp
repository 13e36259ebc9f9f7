// Workers that read slowly, while clients send requests of the largest size.
#include "world.hpp"

#include <csignal> // for SIGKILL

using namespace trial;

namespace {

constexpr int kClients = 40;
constexpr long kIntervalMs = 125; // 8 requests a second
constexpr std::size_t kBodyBytes = 4194304;
constexpr long kPauseMs = 70; // after 64 KiB: a body takes 4.5 s
constexpr long kMemoryKilobytes = 110 * 1024;

std::mutex g_mutex;
std::set<std::string> g_begun; ///< requests that a worker began to work on

json Manifest()
{
  const json route{ { "name", "transcript-fetch" },
                    { "host", "sabha.example" },
                    { "path_prefix", "/fetch/" },
                    { "route_type", "non_idempotent" },
                    { "timeout_ms", 6000 },
                    { "target_latency_ms", 400 },
                    { "priority", 2 },
                    { "service", "abhilekh" },
                    { "max_attempts", 1 },
                    { "public", false } };
  return {
    { "version", 3 },
    { "routes", { route } },
    { "services",
      { { { "name", "abhilekh" }, { "health_path", "/health" }, { "max_connections", 110 } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", kBodyBytes },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants", { { { "name", "clerks" }, { "api_keys", { "key-one" } } } } }
  };
}

std::string MakeRequest(const std::string& aId, std::size_t aBytes)
{
  return FormatRequest("POST",
                       "/fetch/page",
                       { { "Host", "sabha.example" },
                         { "Request-Id", aId },
                         { "Deadline-Ms", "6000" },
                         { "Credential", "key-one" } },
                       std::string(aBytes, 'x'));
}

} // namespace

int main(int aCount, char** aArguments)
{
  OpenRecord(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store("127.0.0.1");
  store.Put("keyed.op", "config", Manifest().dump());
  const auto handler = [&](Worker& aWorker, const Request& aRequest, int aSocket) {
    return aWorker.Answer(aRequest, aSocket, 200, "page");
  };
  const auto onHead = [](const std::string& aId) {
    Note("a worker begins to read " + aId);
    const std::lock_guard lock(g_mutex);
    g_begun.insert(aId);
  };
  const std::vector<std::string> zones{ "sachivalaya-hall", "vidhan-hall", "sector-hall" };
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    Worker::Traits traits;
    traits.m_id = "i-" + std::to_string(500 + i);
    traits.m_service = "abhilekh";
    traits.m_zone = zones[i];
    traits.m_pause = WithTrouble() ? kPauseMs : 0;
    traits.m_onHead = onHead;
    workers.push_back(std::make_unique<Worker>(store, traits, handler));
    workers.back()->Start();
  }
  Host host(1, zones[0], store.Address(), folder.Path());
  host.Start();
  if (!host.AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(2000);

  std::atomic<bool> over{ false };
  std::atomic<bool> killed{ false };
  std::atomic<long> peak{ 0 };
  // The platform kills a process that exceeds its memory.
  std::thread platform([&] {
    while (!over && !killed) {
      const long memory = host.Memory();
      peak = std::max(peak.load(), memory);
      if (memory > kMemoryKilobytes) {
        Note("host 1 has " + std::to_string(memory) + " KiB of memory, over its memory_mb");
        host.Signal(SIGKILL);
        killed = true;
      }
      SleepMs(5);
    }
  });
  std::mutex resultMutex;
  std::map<int, int> statuses; ///< of the large requests
  int lost = 0;
  int kept = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      const std::string number = std::to_string(c);
      Connection connection(host.Front());
      connection.Write(MakeRequest("a" + number, 600));
      const Answer first = connection.Read();
      SleepMs(1000 + c * kIntervalMs);
      const std::string id = "b" + number;
      Note("client sends " + id);
      connection.Write(MakeRequest(id, kBodyBytes));
      const Answer answer = connection.Read();
      Note("client got for " + id + ": " +
           (answer.m_status == 0 ? "end of the connection" : std::to_string(answer.m_status)));
      const std::lock_guard lock(resultMutex);
      kept += first.m_status == 200 ? 1 : 0;
      ++statuses[answer.m_status];
      const std::lock_guard begunLock(g_mutex);
      lost += first.m_status == 200 && answer.m_status == 0 && g_begun.contains(id) ? 1 : 0;
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  over = true;
  platform.join();
  std::string counts;
  for (const auto& [status, count] : statuses) {
    counts += " " + std::to_string(status) + ": " + std::to_string(count) + ",";
  }
  Note("kept connections " + std::to_string(kept) + "; answers by status (0: none)" + counts +
       " peak of memory " + std::to_string(peak / 1024) +
       " MiB, killed: " + (killed ? "yes" : "no") +
       "; passed on to a worker and not answered, the connection closed: " + std::to_string(lost) +
       " (more than 3 break LOST)");
  if (kept < kClients || (!killed && !host.Runs())) {
    return kNotRun;
  }
  return lost > 3 ? kBroken : kHeld;
}
