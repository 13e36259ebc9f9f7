// A request that crashes each worker that begins to run it, and workers that are back after some
// seconds under the id that they had.
#include "world.hpp"

#include <cstdlib> // for getenv, atoi, atol

using namespace trial;

namespace {

constexpr const char* kPoison = "the request that crashes workers";
constexpr long kStableMs = 3000;
const long kBackAfterMs = std::getenv("BACK") != nullptr ? std::atol(std::getenv("BACK")) : 2300;

std::mutex g_mutex;
std::map<std::string, long> g_sentAt; ///< by Request-Id, of the crashing request
std::vector<long> g_arrivalsSentAt;
std::vector<long> g_crashes;
std::set<std::string> g_begun;    ///< other requests that a worker began to run
std::set<std::string> g_answered; ///< other requests that were answered with success
int g_others = 0;

std::string MakeRequest(const std::string& aId, const std::string& aBody)
{
  return FormatRequest("POST",
                       "/fetch/page",
                       { { "Host", "sabha.example" },
                         { "Request-Id", aId },
                         { "Deadline-Ms", "2500" },
                         { "Credential", "key-one" } },
                       aBody);
}

json Manifest()
{
  const json route{ { "name", "transcript-fetch" },
                    { "host", "sabha.example" },
                    { "path_prefix", "/fetch/" },
                    { "route_type", "non_idempotent" },
                    { "timeout_ms", 1200 },
                    { "target_latency_ms", 150 },
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
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants", { { { "name", "clerks" }, { "api_keys", { "key-one" } } } } }
  };
}

} // namespace

int main(int aCount, char** aArguments)
{
  OpenRecord(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store("127.0.0.1");
  store.Put("keyed.op", "config", Manifest().dump());
  const bool sameId = std::getenv("NEWID") == nullptr;
  const int workerCount = std::getenv("WORKERS") != nullptr ? std::atoi(std::getenv("WORKERS")) : 3;
  const std::vector<std::string> zones{ "sachivalaya-hall", "vidhan-hall", "sector-hall" };

  std::atomic<bool> over{ false };
  std::vector<std::thread> revivals;
  std::mutex revivalMutex;
  int lives = 0;
  const auto handler = [&](Worker& aWorker, const Request& aRequest, int aSocket) {
    if (aRequest.Path() == "/health") {
      return aWorker.Answer(aRequest, aSocket, 200, "");
    }
    if (aRequest.m_body != kPoison || !WithTrouble()) {
      if (aRequest.m_body == kPoison) {
        Note("worker " + aWorker.GetTraits().m_id + " runs " + aRequest.Header("request-id"));
      }
      if (aRequest.m_body != kPoison) {
        const std::lock_guard lock(g_mutex);
        g_begun.insert(aRequest.Header("request-id"));
      }
      SleepMs(60);
      return aWorker.Answer(aRequest, aSocket, 200, "page of " + aRequest.m_body);
    }
    Note("worker " + aWorker.GetTraits().m_id + " runs " + aRequest.Header("request-id") +
         " and crashes");
    {
      const std::lock_guard lock(g_mutex);
      g_arrivalsSentAt.push_back(g_sentAt[aRequest.Header("request-id")]);
      g_crashes.push_back(NowMs());
    }
    const std::lock_guard lock(revivalMutex);
    Worker* worker = &aWorker;
    revivals.emplace_back([&, worker] {
      worker->Crash();
      SleepMs(kBackAfterMs);
      if (!over) {
        if (!sameId) {
          store.Put("keyed.servers", worker->GetTraits().m_id, "");
          worker->SetId("i-new-" + std::to_string(++lives));
        }
        worker->Start();
      }
    });
    return false;
  };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < workerCount; ++i) {
    Worker::Traits traits;
    traits.m_id = "i-" + std::to_string(100 + i);
    traits.m_service = "abhilekh";
    traits.m_zone = zones[static_cast<std::size_t>(i) % zones.size()];
    workers.push_back(std::make_unique<Worker>(store, traits, handler));
    workers.back()->Start();
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 2; ++i) {
    hosts.push_back(std::make_unique<Host>(
      i, zones[static_cast<std::size_t>(i)], store.Address(), folder.Path()));
    hosts.back()->Start();
  }
  for (const auto& host : hosts) {
    if (!host->AwaitReady(15000)) {
      return kNotRun;
    }
  }
  SleepMs(3000);

  std::vector<std::thread> clients;
  for (int c = 0; c < 12; ++c) {
    clients.emplace_back([&, c] {
      for (int i = 0; !over; ++i) {
        const std::string id = "n" + std::to_string(c) + "-" + std::to_string(i);
        const Answer answer = Ask(hosts[static_cast<std::size_t>(c) % hosts.size()]->Front(),
                                  MakeRequest(id, "record " + id));
        {
          const std::lock_guard lock(g_mutex);
          ++g_others;
          if (answer.m_status == 200 && answer.m_whole) {
            g_answered.insert(id);
          }
        }
        SleepMs(100);
      }
    });
  }
  SleepMs(2000);
  const long end = NowMs() + 42000;
  for (int i = 0; NowMs() < end; ++i) {
    const std::string id = "p" + std::to_string(i);
    {
      const std::lock_guard lock(g_mutex);
      g_sentAt[id] = NowMs();
    }
    const Answer answer =
      Ask(hosts[static_cast<std::size_t>(i) % hosts.size()]->Front(), MakeRequest(id, kPoison));
    Note("client sent " + id + " at " + std::to_string(answer.m_sentAt) + " ms, answered " +
         std::to_string(answer.m_status));
    SleepMs(1000);
  }
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (std::thread& revival : revivals) {
    revival.join();
  }
  int late = 0;
  const long third = g_crashes.size() >= 3 ? g_crashes[2] : -1;
  for (const long sentAt : g_arrivalsSentAt) {
    late += third >= 0 && sentAt > third + kStableMs ? 1 : 0;
  }
  std::size_t lost = 0;
  for (const std::string& id : g_begun) {
    lost += g_answered.contains(id) ? 0 : 1;
  }
  Note("crashes " + std::to_string(g_crashes.size()) + ", the third at " + std::to_string(third) +
       " ms; arrivals of requests sent later than " + std::to_string(kStableMs) +
       " ms after it: " + std::to_string(late) + " (more than 3 break BUDGET); other requests " +
       std::to_string(g_others) + ", served " + std::to_string(g_answered.size()) +
       ", begun by a worker and never answered " + std::to_string(lost));
  for (const auto& host : hosts) {
    if (!host->Runs()) {
      return kNotRun;
    }
  }
  return late > 3 ? kBroken : kHeld;
}
