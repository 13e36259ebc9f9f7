// A seeded soak: random faults, two at once, under load; checked from outside by the ledgers of
// the stand-ins. Usage: soak SECONDS SEED. Prints a one-page summary; fails on any violation.
#include <csignal> // for SIGTERM, SIGSTOP
#include <cstdio>  // for printf
#include <cstdlib> // for strtoul
#include <map>     // for map
#include <random>  // for mt19937_64
#include <set>     // for set

#include "ferrytray/base/time.hpp"          // for MonotonicNow
#include "tests/integration/deployment.hpp" // for Deployment

using namespace integration;
using namespace ferrytray;

namespace {

constexpr int kOperationsARound = 110;
const std::string kExtra = "    checks_fencing: true\n    max_concurrent_swaps: 1\n";

/// One thing a caller wants, perhaps asked for twice.
struct Operation
{
  std::vector<std::string> m_requests; ///< ids of its calls
  std::string m_body;                  ///< the service's body or the prompt
  bool m_model = false;
  bool m_once = false; ///< may run at most once over all its calls
};

class Soak
{
public:
  explicit Soak(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_alone("standins/standin-engine",
              { "--model", "m", "--weight-version", "1" },
              { "listening" })
    , m_aloneNew("standins/standin-engine",
                 { "--model", "m", "--weight-version", "2" },
                 { "listening" })
  {
    for (const char* name : { "h1", "h2", "h3" }) {
      m_deployment.AddHost(name, std::string(name) == "h3" ? "z2" : "z1", kKeeper, kGate);
    }
    for (const char* name : { "w1", "w2", "w3" }) {
      m_deployment.AddEngine(name, kEngine, true);
    }
    m_deployment.AddService("c1", {}, true);
    m_deployment.AddService("c2", {}, true);
    m_deployment.AddStore("s1", {}, true);
    m_deployment.Begin(kExtra);
    for (int i = 0; i < 12; ++i) {
      std::string context;
      for (int line = 0; context.size() < 6U * 1024; ++line) {
        context += "context " + std::to_string(i) + " line " + std::to_string(line) + "\n";
      }
      m_contexts.push_back(context);
    }
  }

  int Run(double aSeconds)
  {
    const base::TimePoint end = base::MonotonicNow() + base::FromSeconds(aSeconds);
    while (base::MonotonicNow() < end) {
      Round();
    }
    return Summary();
  }

private:
  inline static const std::vector<std::string> kKeeper{ "--lease", "1500" };
  inline static const std::vector<std::string> kGate{ "--claim-timeout", "1000" };
  inline static const std::vector<std::string> kEngine{ "--checks-fencing",
                                                        "--swap-time",
                                                        "100",
                                                        "--token-time",
                                                        "5" };

  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }

  EntryHost& AnyHost()
  {
    auto host = m_deployment.Hosts().begin();
    std::advance(host, static_cast<long>(Draw(m_deployment.Hosts().size())));
    return host->second;
  }

  Endpoint& AnyEngine() { return m_deployment.At("w" + std::to_string(1 + Draw(3))); }
  Endpoint& AnyService() { return m_deployment.At("c" + std::to_string(1 + Draw(2))); }

  // --- load --------------------------------------------------------------------------------

  void Round()
  {
    ++m_rounds;
    std::vector<Operation> operations;
    std::vector<Call> calls;
    std::vector<std::size_t> operationOf;
    for (int i = 0; i < kOperationsARound; ++i) {
      const std::size_t before = calls.size();
      operations.push_back(MakeOperation(calls));
      operationOf.resize(calls.size(), operations.size() - 1);
      static_cast<void>(before);
    }
    std::vector<std::function<void()>> heals;
    const auto answers = SendAll(calls, [&] {
      heals.push_back(InjectFault());
      heals.push_back(InjectFault());
    });
    for (const auto& heal : heals) {
      heal();
    }
    m_calls += calls.size();
    const std::map<std::string, int> ledger = ReadLedgers();
    CheckAnswers(operations, operationOf, calls, answers, ledger);
    CheckOnce(operations, ledger);
    m_deployment.List();
    m_deployment.WaitReady();
  }

  Operation MakeOperation(std::vector<Call>& aCalls)
  {
    Operation operation;
    const std::string id = "s" + std::to_string(++m_ids);
    const net::Headers deadline{ { "Ferrytray-Deadline-Ms", "2000" } };
    const auto add = [&](Call aCall) {
      const std::string request = id + "-" + std::to_string(operation.m_requests.size());
      aCall.m_headers.emplace_back("X-Request-Id", request);
      operation.m_requests.push_back(request);
      aCalls.push_back(std::move(aCall));
    };
    const std::uint64_t kind = Draw(10);
    if (kind < 4) {
      operation.m_model = true;
      operation.m_once = kind == 0;
      operation.m_body =
        m_contexts[Draw(m_contexts.size())] + "question " + std::to_string(Draw(5));
      net::Headers headers = deadline;
      if (operation.m_once) {
        headers.emplace_back("Ferrytray-Idempotent", "false");
      }
      add(Ask(AnyHost(), operation.m_body, { { "stream", kind % 2 == 1 } }, headers));
      return operation;
    }
    operation.m_once = true;
    operation.m_body = "order " + id;
    if (kind < 6) {
      add(CallService(AnyHost(), operation.m_body, deadline));
      return operation;
    }
    net::Headers headers = deadline;
    if (kind < 8) {
      headers.emplace_back("Idempotency-Key", id);
    } else {
      const std::string ticket = TakeTicket();
      if (ticket.empty()) {
        add(CallService(AnyHost(), operation.m_body, deadline));
        return operation;
      }
      headers.emplace_back("Ferrytray-Ticket", ticket);
    }
    // The caller is impatient and asks two gates.
    add(CallService(AnyHost(), operation.m_body, headers));
    add(CallService(AnyHost(), operation.m_body, headers));
    return operation;
  }

  std::string TakeTicket()
  {
    const Answer answer = Send(
      { "POST", AnyHost().Gate() + "/v1/tickets", "", { { "Authorization", "Bearer lab-key" } } });
    const json body = answer.Json();
    return body.is_object() ? body.value("ticket", "") : "";
  }

  // --- faults ------------------------------------------------------------------------------

  std::function<void()> InjectFault()
  {
    using Fault = std::function<void()> (Soak::*)();
    static const std::vector<std::pair<const char*, Fault>> kFaults{
      { "engine reply dropped", &Soak::DropEngineReplies },
      { "engine stream cut", &Soak::CutEngineStream },
      { "engine cut off", &Soak::CutEngine },
      { "engine slow", &Soak::SlowEngine },
      { "engine evicts, events missing", &Soak::Evict },
      { "engine killed", &Soak::KillEngine },
      { "service reply dropped", &Soak::DropServiceReplies },
      { "service cut off", &Soak::CutService },
      { "service half open", &Soak::HalfOpenService },
      { "store truncates", &Soak::TruncateStore },
      { "store frees during imports", &Soak::FreeStore },
      { "store full", &Soak::FillStore },
      { "store cut off", &Soak::CutStore },
      { "platform down", &Soak::PlatformDown },
      { "platform slow", &Soak::PlatformSlow },
      { "platform loses replies", &Soak::PlatformLoses },
      { "keeper paused", &Soak::PauseKeeper },
      { "gate killed", &Soak::KillGate },
      { "gate stopped as planned", &Soak::StopGate },
      { "host replaced", &Soak::ReplaceHost },
      { "weights swapped", &Soak::Swap },
    };
    const auto& [name, fault] = kFaults[Draw(kFaults.size())];
    ++m_faults[name];
    return (this->*fault)();
  }

  std::function<void()> DropEngineReplies()
  {
    AnyEngine().ProxyFaults({ { "drop_replies", 3 } });
    return [this] { EveryEngine({ { "drop_replies", 0 } }); };
  }

  std::function<void()> CutEngineStream()
  {
    AnyEngine().ProxyFaults({ { "cut_reply_after", 600 } });
    return [this] { EveryEngine({ { "cut_reply_after", -1 } }); };
  }

  std::function<void()> CutEngine()
  {
    AnyEngine().ProxyFaults({ { "cut", true } });
    return [this] { EveryEngine({ { "cut", false } }); };
  }

  std::function<void()> SlowEngine()
  {
    Endpoint& engine = AnyEngine();
    engine.Faults({ { "slowness", 10 } });
    return [&engine] { engine.Faults({ { "slowness", 1 } }); };
  }

  std::function<void()> Evict()
  {
    AnyEngine().Faults({ { "evict", true }, { "hide_events", 20 } });
    return [] {};
  }

  std::function<void()> KillEngine()
  {
    Endpoint& engine = AnyEngine();
    engine.m_process.Kill();
    return [this, &engine] {
      const std::string incarnation = std::to_string(++m_incarnations);
      std::vector<std::string> arguments = kEngine;
      arguments.insert(arguments.end(),
                       { "--incarnation", incarnation, "--weight-version", m_version });
      const std::string name = engine.m_name;
      m_deployment.AddEngine(name, arguments, true).m_incarnation = incarnation;
    };
  }

  std::function<void()> DropServiceReplies()
  {
    AnyService().ProxyFaults({ { "drop_replies", 4 } });
    return [this] { EveryService({ { "drop_replies", 0 } }); };
  }

  std::function<void()> CutService()
  {
    AnyService().ProxyFaults({ { "cut", true } });
    return [this] { EveryService({ { "cut", false } }); };
  }

  std::function<void()> HalfOpenService()
  {
    AnyService().ProxyFaults({ { "half_open", true } });
    return [this] { EveryService({ { "half_open", false } }); };
  }

  std::function<void()> TruncateStore()
  {
    Store({ { "truncate", true } });
    return [this] { Store({ { "truncate", false } }); };
  }

  std::function<void()> FreeStore()
  {
    Store({ { "free_on_read", true } });
    return [this] { Store({ { "free_on_read", false } }); };
  }

  std::function<void()> FillStore()
  {
    Store({ { "full", true } });
    return [this] { Store({ { "full", false } }); };
  }

  std::function<void()> CutStore()
  {
    m_deployment.At("s1").ProxyFaults({ { "cut", true } });
    return [this] { m_deployment.At("s1").ProxyFaults({ { "cut", false } }); };
  }

  std::function<void()> PlatformDown()
  {
    m_deployment.PlatformFaults({ { "down", true } });
    return [this] { m_deployment.PlatformFaults({ { "down", false } }); };
  }

  std::function<void()> PlatformSlow()
  {
    m_deployment.PlatformFaults({ { "slow_ms", 300 } });
    return [this] { m_deployment.PlatformFaults({ { "slow_ms", 0 } }); };
  }

  std::function<void()> PlatformLoses()
  {
    m_deployment.PlatformFaults({ { "lose_replies", 3 } });
    return [this] { m_deployment.PlatformFaults({ { "lose_replies", 0 } }); };
  }

  std::function<void()> PauseKeeper()
  {
    EntryHost& host = AnyHost();
    host.m_keeper.Signal(SIGSTOP);
    return [&host] { host.m_keeper.Signal(SIGCONT); };
  }

  std::function<void()> KillGate()
  {
    EntryHost& host = AnyHost();
    host.m_gate.Kill();
    return [this, &host] { m_deployment.RestartGate(host, kGate); };
  }

  std::function<void()> StopGate()
  {
    EntryHost& host = AnyHost();
    const pid_t stopped = host.m_gate.Pid();
    host.m_gate.Signal(SIGTERM);
    return [this, &host, stopped] {
      // Another fault of the round may have ended or replaced it.
      if (host.m_gate.Pid() == stopped) {
        host.m_gate.Wait();
        m_deployment.RestartGate(host, kGate);
      }
    };
  }

  std::function<void()> ReplaceHost()
  {
    EntryHost& host = AnyHost();
    host.m_keeper.Kill();
    host.m_gate.Kill();
    const std::string name = host.m_name;
    const std::string zone = host.m_zone;
    return [this, name, zone] { m_deployment.AddHost(name, zone, kKeeper, kGate); };
  }

  std::function<void()> Swap()
  {
    m_version = m_version == "1" ? "2" : "1";
    m_deployment.Operate({ "status" });
    return [this] { m_deployment.Apply(StandardFile(m_version, kExtra)); };
  }

  void EveryEngine(const json& aFaults)
  {
    for (const char* name : { "w1", "w2", "w3" }) {
      m_deployment.At(name).ProxyFaults(aFaults);
    }
  }

  void EveryService(const json& aFaults)
  {
    for (const char* name : { "c1", "c2" }) {
      m_deployment.At(name).ProxyFaults(aFaults);
    }
  }

  void Store(const json& aFaults) { m_deployment.At("s1").Faults(aFaults); }

  // --- checks ------------------------------------------------------------------------------

  std::map<std::string, int> ReadLedgers()
  {
    std::map<std::string, int> ledger;
    for (const char* name : { "w1", "w2", "w3", "c1", "c2" }) {
      const json reply = Get(m_deployment.At(name).Direct() + "/ledger").Json();
      const json executions =
        reply.is_object() ? reply.value("executions", json::object()) : json::object();
      for (const auto& [request, count] : executions.items()) {
        ledger[request] += count.get<int>();
      }
    }
    return ledger;
  }

  void CheckAnswers(const std::vector<Operation>& aOperations,
                    const std::vector<std::size_t>& aOperationOf,
                    const std::vector<Call>& aCalls,
                    const std::vector<Answer>& aAnswers,
                    const std::map<std::string, int>& aLedger)
  {
    for (std::size_t i = 0; i < aAnswers.size(); ++i) {
      const Operation& operation = aOperations[aOperationOf[i]];
      const std::string& request = aCalls[i].m_headers.back().second;
      const Answer& answer = aAnswers[i];
      const bool broken = answer.m_body.find("\"error\":{") != std::string::npos;
      const bool whole =
        answer.m_status == 200 && answer.m_end == net::WireEnd::Complete && !broken;
      ++m_results[whole                  ? "answered"
                  : answer.m_status == 0 ? "connection lost"
                                         : "refused or failed: " + RunOf(answer)];
      if (whole) {
        CheckText(operation, request, answer);
      }
      const auto executed = aLedger.find(request);
      if (RunOf(answer) == "not_run" && executed != aLedger.end()) {
        Violation("said not_run but ran: " + request);
      }
    }
  }

  static std::string RunOf(const Answer& aAnswer)
  {
    const std::size_t at = aAnswer.m_body.find("\"run\":\"");
    if (at == std::string::npos) {
      return "none";
    }
    const std::size_t start = at + 7;
    return aAnswer.m_body.substr(start, aAnswer.m_body.find('"', start) - start);
  }

  void CheckText(const Operation& aOperation, const std::string& aRequest, const Answer& aAnswer)
  {
    if (!aOperation.m_model) {
      const json body = aAnswer.Json();
      if (!body.is_object() || body.value("echo", "") != aOperation.m_body) {
        Violation("not its own answer: " + aRequest);
      }
      return;
    }
    const std::string text = aAnswer.Text();
    if (text != Alone(m_alone, aOperation.m_body) && text != Alone(m_aloneNew, aOperation.m_body)) {
      Violation("answer differs from the one computed alone: " + aRequest);
    }
  }

  std::string Alone(const Process& aEngine, const std::string& aPrompt)
  {
    std::string& text = m_aloneTexts[aEngine.At("listening") + aPrompt];
    if (text.empty()) {
      std::vector<std::string> blocks;
      for (std::size_t i = 0; i < aPrompt.size() / 1024; ++i) {
        blocks.push_back("b" + std::to_string(++m_aloneBlocks));
      }
      const json body{
        { "prompt", aPrompt }, { "max_tokens", 8 }, { "cache_salt", "lab" }, { "x_blocks", blocks }
      };
      text = Post("http://" + aEngine.At("listening") + "/v1/completions", body).Text();
    }
    return text;
  }

  void CheckOnce(const std::vector<Operation>& aOperations,
                 const std::map<std::string, int>& aLedger)
  {
    for (const Operation& operation : aOperations) {
      int executions = 0;
      for (const std::string& request : operation.m_requests) {
        const auto found = aLedger.find(request);
        executions += found == aLedger.end() ? 0 : found->second;
      }
      if (operation.m_once && executions > 1) {
        Violation("ran " + std::to_string(executions) + " times: " + operation.m_requests.front());
      }
    }
  }

  void Violation(const std::string& aWhat)
  {
    std::printf("VIOLATION in round %d: %s\n", m_rounds, aWhat.c_str());
    std::fflush(stdout);
    ++m_violations;
  }

  int Summary()
  {
    std::printf(
      "rounds %d, requests %zu, violations %d\n\nresults\n", m_rounds, m_calls, m_violations);
    for (const auto& [result, count] : m_results) {
      std::printf("  %7d %s\n", count, result.c_str());
    }
    int faults = 0;
    std::printf("faults\n");
    for (const auto& [fault, count] : m_faults) {
      std::printf("  %7d %s\n", count, fault.c_str());
      faults += count;
    }
    std::printf("  %7d in all, two at once\n", faults);
    return m_violations == 0 ? 0 : 1;
  }

  std::mt19937_64 m_random;
  Process m_alone;
  Process m_aloneNew;
  Deployment m_deployment;
  std::vector<std::string> m_contexts;
  std::map<std::string, std::string> m_aloneTexts;
  std::map<std::string, int> m_results;
  std::map<std::string, int> m_faults;
  std::string m_version = "1";
  std::size_t m_calls = 0;
  int m_rounds = 0;
  int m_violations = 0;
  int m_ids = 0;
  int m_aloneBlocks = 0;
  int m_incarnations = 100;
};

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::fprintf(stderr, "usage: soak SECONDS SEED\n");
    return 2;
  }
  Soak soak(std::strtoul(argv[2], nullptr, 10));
  return soak.Run(std::strtod(argv[1], nullptr));
}
