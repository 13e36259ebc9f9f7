// A client that sends its second request on a kept connection before the first one is answered.
#include "world.hpp"

using namespace trial;

namespace {

std::mutex g_mutex;
std::set<std::string> g_begun; ///< requests that a worker began to run

json Manifest()
{
  const json route{ { "name", "minutes-fetch" },
                    { "host", "sabha.example" },
                    { "path_prefix", "/minutes/" },
                    { "route_type", "idempotent" },
                    { "timeout_ms", 1200 },
                    { "target_latency_ms", 150 },
                    { "priority", 2 },
                    { "service", "abhilekh" },
                    { "max_attempts", 2 },
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

std::string MakeRequest(const std::string& aId)
{
  return FormatRequest("GET",
                       "/minutes/page-" + aId,
                       { { "Host", "sabha.example" },
                         { "Request-Id", aId },
                         { "Deadline-Ms", "2500" },
                         { "Credential", "key-one" } },
                       "");
}

} // namespace

int main(int aCount, char** aArguments)
{
  OpenRecord(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store("127.0.0.1");
  store.Put("keyed.op", "config", Manifest().dump());
  const auto handler = [&](Worker& aWorker, const Request& aRequest, int aSocket) {
    if (aRequest.Path() != "/health") {
      const std::string id = aRequest.Header("request-id");
      {
        const std::lock_guard lock(g_mutex);
        g_begun.insert(id);
      }
      Note("worker " + aWorker.GetTraits().m_id + " begins " + id);
      SleepMs(30);
      Note("worker " + aWorker.GetTraits().m_id + " has run " + id);
    }
    return aWorker.Answer(aRequest, aSocket, 200, "page " + aRequest.Header("request-id"));
  };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 3; ++i) {
    Worker::Traits traits;
    traits.m_id = "i-" + std::to_string(300 + i);
    traits.m_service = "abhilekh";
    traits.m_zone = "sachivalaya-hall";
    workers.push_back(std::make_unique<Worker>(store, traits, handler));
    workers.back()->Start();
  }
  Host host(1, "sachivalaya-hall", store.Address(), folder.Path());
  host.Start();
  if (!host.AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(2000);
  int answered = 0;
  int lost = 0;
  for (int i = 0; i < 10; ++i) {
    Connection connection(host.Front(), 2000);
    const std::string number = std::to_string(i);
    const auto read = [&](const std::string& aId) {
      const Answer answer = connection.Read();
      const bool whole = answer.m_status == 200 && answer.m_whole;
      Note("client got for " + aId + ": " +
           (answer.m_status == 0 ? "end of the connection" : std::to_string(answer.m_status)));
      const std::lock_guard lock(g_mutex);
      answered += whole ? 1 : 0;
      lost += !whole && g_begun.contains(aId) ? 1 : 0;
    };
    const auto send = [&](const std::vector<std::string>& aIds) {
      std::string bytes;
      for (const std::string& id : aIds) {
        bytes += MakeRequest(id);
        Note("client sends " + id);
      }
      connection.Write(bytes);
    };
    // The connection has been used before, and is kept.
    send({ "a" + number });
    read("a" + number);
    if (WithTrouble()) {
      send({ "b" + number, "c" + number });
      read("b" + number);
      read("c" + number);
    } else {
      send({ "b" + number });
      read("b" + number);
      send({ "c" + number });
      read("c" + number);
    }
  }
  Note("answered " + std::to_string(answered) + " of 30; passed on to a worker and not answered, " +
       "the connection closed: " + std::to_string(lost) + " (more than 3 break LOST)");
  if (!host.Runs()) {
    return kNotRun;
  }
  if (!WithTrouble() && answered < 30) {
    return kNotRun;
  }
  return lost > 3 ? kBroken : kHeld;
}
