// A manifest makes a tenant isolated after workers have cached parts of its prompts.
#include "world.hpp"

#include <array>  // for array
#include <cstdio> // for snprintf

using namespace trial;

namespace {

constexpr const char* kModel = "m0";

json Manifest(int aVersion, bool aIsolated)
{
  const json route{ { "name", "session-digest" },
                    { "host", "sabha.example" },
                    { "path_prefix", "/digest/" },
                    { "route_type", "streaming" },
                    { "timeout_ms", 6000 },
                    { "target_latency_ms", 400 },
                    { "priority", 1 },
                    { "service", "lekhak" },
                    { "max_attempts", 2 },
                    { "public", false },
                    { "sticky", true },
                    { "resumable", true },
                    { "gap_target_ms", 300 } };
  json engine{ { "slots", 16 },           { "kv_capacity", 110777 }, { "kv_token_bytes", 18432 },
               { "link_mbps", 180000.0 }, { "managed", true },       { "max_inflight", 12 } };
  engine["models"] = json::array({ { { "name", kModel } } });
  const json service{ { "name", "lekhak" },
                      { "health_path", "/health" },
                      { "max_connections", 180 },
                      { "engine", engine } };
  json committee{ { "name", "committee" }, { "api_keys", { "key-committee" } }, { "priority", 1 } };
  if (aIsolated) {
    committee["isolated"] = true;
  }
  const json members{ { "name", "members" }, { "api_keys", { "key-members" } }, { "priority", 1 } };
  return { { "version", aVersion },
           { "routes", { route } },
           { "services", { service } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants", { committee, members } } };
}

/// What a worker caches: the tenant whose request made each part, by salt and part.
class Cache
{
public:
  /// @return the tenants whose parts the request uses
  std::set<std::string> Use(const Request& aRequest)
  {
    std::set<std::string> makers;
    const std::string salt = aRequest.Header("cache-salt");
    const std::string tenant = aRequest.Header("tenant-id");
    std::string parts = aRequest.Header("prefix-hash");
    bool found = true;
    const std::lock_guard lock(m_mutex);
    while (!parts.empty()) {
      const std::size_t comma = std::min(parts.find(','), parts.size());
      const std::string id = parts.substr(0, std::min(parts.find(':'), comma));
      parts.erase(0, std::min(comma + 1, parts.size()));
      const auto [entry, isNew] = m_makers.try_emplace({ salt, id }, tenant);
      // A part is used if it and all parts before it are cached.
      found = found && !isNew;
      if (found) {
        makers.insert(entry->second);
      } else {
        entry->second = tenant;
      }
    }
    return makers;
  }

private:
  std::mutex m_mutex;
  std::map<std::pair<std::string, std::string>, std::string> m_makers;
};

std::atomic<int> g_foreign{ 0 };
std::atomic<bool> g_isolated{ false };

std::string MakeRequest(const std::string& aId, const std::string& aKey, const std::string& aOwn)
{
  return FormatRequest("POST",
                       "/digest/sitting",
                       { { "Host", "sabha.example" },
                         { "Request-Id", aId },
                         { "Model", kModel },
                         { "Token-Usage", "1460,20" },
                         { "Prefix-Hash", "5c1e07a2:800,91bd3f06:410," + aOwn + ":250" },
                         { "Deadline-Ms", "6000" },
                         { "Credential", aKey } },
                       "the prompt");
}

} // namespace

int main(int aCount, char** aArguments)
{
  OpenRecord(aCount > 1 ? aArguments[1] : "record.txt");
  const Folder folder;
  Store store("127.0.0.1");
  // Without the disruption the tenant is isolated from the beginning.
  store.Put("keyed.op", "version/m0", json{ { "model", kModel }, { "version", 1 } }.dump());
  store.Put("keyed.op", "config", Manifest(3, !WithTrouble()).dump());
  g_isolated = !WithTrouble();
  std::map<std::string, Cache> caches;
  const std::vector<std::string> ids{ "i-201", "i-202", "i-203" };
  for (const std::string& id : ids) {
    caches[id];
  }
  const auto handler = [&](Worker& aWorker, const Request& aRequest, int aSocket) {
    const std::string& id = aWorker.GetTraits().m_id;
    if (aRequest.Path() == "/report") {
      const json report{ { "stage", "unified" }, { "models", aWorker.GetTraits().m_models },
                         { "busy", false },      { "seq", 0 },
                         { "queued", 0 },        { "active", 0 },
                         { "kv_used", 0 },       { "kv_total", 110777 },
                         { "handles", 0 } };
      return WriteAll(aSocket,
                      FormatReply(200, { { "Content-Type", "application/json" } }, report.dump()));
    }
    if (aRequest.Path() != "/digest/sitting") {
      return aWorker.Answer(aRequest, aSocket, aRequest.Path() == "/health" ? 200 : 404, "");
    }
    const std::string tenant = aRequest.Header("tenant-id");
    std::string used;
    for (const std::string& maker : caches.at(id).Use(aRequest)) {
      used += " " + maker;
      g_foreign += maker != tenant && g_isolated ? 1 : 0;
    }
    Note("worker " + id + " runs " + aRequest.Header("request-id") + " of tenant " + tenant +
         ", salt " + aRequest.Header("cache-salt") +
         ", uses parts made by requests of:" + (used.empty() ? " none" : used));
    std::string events;
    for (int i = 1; i <= 3; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: text\n\n";
      std::array<char, 16> size{};
      snprintf(size.data(), size.size(), "%zx", event.size());
      events += std::string(size.data()) + "\r\n" + event + "\r\n";
    }
    return WriteAll(aSocket,
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Header("request-id") +
                      "\r\nOrigin-Signature: signed." + id +
                      "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
                      "Transfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n");
  };
  const std::vector<std::string> zones{ "sachivalaya-hall", "vidhan-hall", "sector-hall" };
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Worker::Traits traits;
    traits.m_id = ids[i];
    traits.m_service = "lekhak";
    traits.m_zone = zones[i];
    traits.m_slots = 16;
    traits.m_models = json::array({ { { "name", kModel }, { "version", 1 } } });
    workers.push_back(std::make_unique<Worker>(store, traits, handler));
    workers.back()->Start();
  }
  Host host(1, zones[0], store.Address(), folder.Path());
  host.Start();
  if (!host.AwaitReady(15000)) {
    return kNotRun;
  }
  SleepMs(2000);
  int served = 0;
  const auto ask = [&](const std::string& aId, const std::string& aKey, const std::string& aOwn) {
    const Answer answer = Ask(host.Front(), MakeRequest(aId, aKey, aOwn));
    served += answer.m_status == 200 && answer.m_whole ? 1 : 0;
    Note("client sent " + aId + " with " + aKey + " at " + std::to_string(answer.m_sentAt) +
         " ms, answered " + std::to_string(answer.m_status));
    SleepMs(100);
  };
  for (int i = 0; i < 6; ++i) {
    ask("c" + std::to_string(i), "key-committee", "c0" + std::to_string(i));
  }
  if (WithTrouble()) {
    store.Put("keyed.op", "config", Manifest(8, true).dump());
    Note("manifest 8 acknowledged: tenant committee is isolated");
    // config_ms is 2,000, stable_ms 3,000, max_skew_ms 5,000.
    SleepMs(11000);
    g_isolated = true;
  }
  for (int i = 0; i < 6; ++i) {
    ask("m" + std::to_string(i), "key-members", "d0" + std::to_string(i));
  }
  for (int i = 6; i < 9; ++i) {
    ask("c" + std::to_string(i), "key-committee", "c0" + std::to_string(i));
  }
  Note("served " + std::to_string(served) + " of 15; uses of parts that a request of the other " +
       "tenant made, while one of the two was isolated: " + std::to_string(g_foreign.load()));
  if (!host.Runs() || served < 15) {
    return kNotRun;
  }
  return g_foreign > 0 ? kBroken : kHeld;
}
