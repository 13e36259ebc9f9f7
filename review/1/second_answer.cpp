// Case 1: some answers of a faulty worker come a second time, while new weights are named. Counts
// the requests that ran more than once, and those that were refused as not run though they had run.

#include <cstdio> // for printf
#include <set>    // for set

#include "../standins/engine.hpp" // for Engine
#include "../standins/world.hpp"  // for Host, Store

using namespace review;

namespace {

constexpr int kHosts = 4;
constexpr int kEngines = 6;
constexpr int kCallers = 24;
constexpr double kLength = 70;
constexpr double kBumpInterval = 4;
constexpr double kHeartbeat = 1.2;
constexpr double kMaxPause = 0.2;

// The site file's share of workers for this disruption (garble, "extra late"). It lets 3 in 100 of
// their answers come a second time; half of the answers 421 are fewer.
constexpr double kFaultyShare = 0.6;
constexpr double kSecondAnswers = 0.5;

json Route(const char* aPrefix, bool aResumable, int aAttempts, int aTimeout, int aPriority)
{
  return { { "name", aPrefix },           { "host", "h.example" },    { "path_prefix", aPrefix },
           { "route_type", "streaming" }, { "timeout_ms", aTimeout }, { "target_latency_ms", 600 },
           { "priority", aPriority },     { "service", "llm" },       { "max_attempts", aAttempts },
           { "public", false },           { "sticky", true },         { "resumable", aResumable },
           { "gap_target_ms", 500 } };
}

json Configuration()
{
  const json engine = { { "slots", 32 },
                        { "kv_capacity", 87295 },
                        { "kv_token_bytes", 18432 },
                        { "link_mbps", 180000.0 },
                        { "models", { { { "name", "m" } } } } };
  return {
    { "version", 7 },
    { "routes", { Route("/review/", true, 2, 10000, 1), Route("/lookup/", false, 1, 5000, 0) } },
    { "services",
      { { { "name", "llm" },
          { "health_path", "/health" },
          { "max_connections", 240 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine", engine } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants", { { { "name", "lab" }, { "api_keys", { "key1" } }, { "priority", 1 } } } }
  };
}

/// What the callers saw, by the id of the request.
class Outcomes
{
public:
  void Add(const std::string& aId, const Answer& aAnswer)
  {
    const std::scoped_lock lock(m_mutex);
    ++m_counts[aAnswer.m_status];
    constexpr int kPromises[] = { 408, 421, 429, 503 };
    for (const int status : kPromises) {
      if (aAnswer.m_status == status) {
        m_refused.insert(aId);
      }
    }
  }
  [[nodiscard]] const std::map<int, int>& Counts() const { return m_counts; }
  [[nodiscard]] const std::set<std::string>& Refused() const { return m_refused; }

private:
  std::mutex m_mutex;
  std::map<int, int> m_counts;
  std::set<std::string> m_refused;
};

/// Sends one request after the other: on the route that may not be repeated, each with an id of its
/// own, on a new connection.
void Call(int aCaller,
          const std::vector<std::unique_ptr<Host>>& aHosts,
          Record& aRecord,
          Outcomes& aOutcomes)
{
  std::mt19937 random(static_cast<unsigned>(aCaller) + 1);
  for (int i = 0; Now() < kLength; ++i) {
    const std::string id = "c" + std::to_string(aCaller) + "-" + std::to_string(i);
    const Host& host = *aHosts[random() % aHosts.size()];
    char shared[16];
    std::snprintf(shared, sizeof shared, "%lx", random() % 40UL);
    const std::string body = "what of " + id;
    aRecord.Add("caller sends " + id + " to " + host.Name());
    const Answer answer =
      Ask(host.Port(),
          "POST /lookup/q HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
            "\r\nModel: m\r\nToken-Usage: 400,11\r\nPrefix-Hash: a" + shared + ":300,b" +
            std::to_string(aCaller * 100000 + i) +
            ":100\r\nDeadline-Ms: 5000\r\nCredential: key1\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
          6);
    aRecord.Add("caller gets " + std::to_string(answer.m_status) +
                (answer.m_complete ? " for " : ", incomplete, for ") + id);
    aOutcomes.Add(id, answer);
    Sleep(std::uniform_real_distribution<>(0, kMaxPause)(random));
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::printf("usage: second_answer RECORD TEMPORARY_FOLDER\n");
    return kCouldNotRun;
  }
  Record record(aArguments[1]);
  const std::string folder = aArguments[2];
  Store store;
  store.Put("keyed.op", "config", Configuration().dump());
  store.Put("keyed.op", "version/m", json{ { "model", "m" }, { "version", 1 } }.dump());
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    const std::string name = "i-" + std::to_string(i + 1);
    const char* zone = i % 2 == 0 ? "z1" : "z2";
    engines.push_back(std::make_unique<Engine>(name, "llm", zone, "m", record, 100U + i));
    store.Put("keyed.servers", name, engines.back()->Entry());
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(
      std::make_unique<Host>("host-" + std::to_string(i + 1), i % 2 == 0 ? "z1" : "z2", folder));
    if (!hosts.back()->Start(store.Address(), "cpu_share = 0.25\nmemory_mb = 260\n")) {
      std::printf("host %d does not become ready\n", i + 1);
      hosts.clear();
      Exit(kCouldNotRun);
    }
  }
  if (WithTrouble()) {
    for (int i = 0; i < static_cast<int>(kFaultyShare * kEngines + 0.5); ++i) {
      engines[i]->SetFaults({ kSecondAnswers });
    }
  }
  Outcomes outcomes;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { Call(i, hosts, record, outcomes); });
  }
  unsigned version = 1;
  double nextBump = Now() + kBumpInterval;
  while (Now() < kLength) {
    Sleep(kHeartbeat);
    for (const auto& engine : engines) {
      store.Put("keyed.servers", engine->Id(), engine->Entry());
    }
    if (Now() >= nextBump) {
      nextBump += kBumpInterval;
      ++version;
      record.Add("operator names weights " + std::to_string(version));
      store.Put("keyed.op", "version/m", json{ { "model", "m" }, { "version", version } }.dump());
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int answered = 0;
  for (const auto& engine : engines) {
    answered += engine->Answered();
  }
  record.Add("the workers gave " + std::to_string(answered) + " answers");
  Sleep(2); // a refused request must not run later either
  hosts.clear();
  std::map<std::string, int> runs;
  for (const auto& engine : engines) {
    for (const auto& [id, count] : engine->Runs()) {
      runs[id] += count;
    }
  }
  int twice = 0;
  int refused = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      record.Add("TWICE: " + id + " ran " + std::to_string(count) + " times");
    }
    if (outcomes.Refused().contains(id)) {
      ++refused;
      record.Add("REFUSED: " + id + " was refused and ran");
    }
  }
  std::string counts;
  for (const auto& [status, count] : outcomes.Counts()) {
    counts += " " + std::to_string(status) + ": " + std::to_string(count) + ",";
  }
  record.Add("answers by status:" + counts + " ran twice: " + std::to_string(twice) +
             ", refused and ran: " + std::to_string(refused));
  std::printf(
    "answers by status:%s ran twice: %d, refused and ran: %d\n", counts.c_str(), twice, refused);
  Exit(twice + refused > 0 ? kBroken : kHeld);
}
