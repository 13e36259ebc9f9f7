#pragma once

#include <cstddef>    // for size_t
#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <map>        // for map
#include <random>     // for mt19937_64
#include <string>     // for string
#include <vector>     // for vector

#include "tests/integration/deployment.hpp" // for Deployment

namespace soak {

using namespace integration;
using namespace ferrytray;

/// One thing a caller wants, perhaps asked for twice.
struct Operation
{
  std::vector<std::string> m_requests; ///< ids of its calls
  std::string m_body;                  ///< the service's body or the prompt
  bool m_model = false;
  bool m_once = false; ///< may run at most once over all its calls
};

/// One run: rounds of load, two faults in each, and what the ledgers say of it.
class Soak
{
public:
  explicit Soak(std::uint64_t aSeed);
  int Run(double aSeconds);

private:
  /// Lines of the deployment's file beyond the usual ones.
  inline static const std::string kExtra =
    "    checks_fencing: true\n    max_concurrent_swaps: 1\n";
  inline static const std::vector<std::string> kKeeper{ "--lease", "1500" };
  inline static const std::vector<std::string> kGate{ "--claim-timeout", "1000" };
  inline static const std::vector<std::string> kEngine{ "--checks-fencing",
                                                        "--swap-time",
                                                        "100",
                                                        "--token-time",
                                                        "5" };

  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }

  EntryHost& AnyHost();
  Endpoint& AnyEngine() { return m_deployment.At("w" + std::to_string(1 + Draw(3))); }
  Endpoint& AnyService() { return m_deployment.At("c" + std::to_string(1 + Draw(2))); }

  // soak.cpp: the load
  void Round();
  Operation MakeOperation(std::vector<Call>& aCalls);
  std::string TakeTicket();

  // soak_faults.cpp: what goes wrong; each returns how it is mended
  std::function<void()> InjectFault();
  std::function<void()> DropEngineReplies();
  std::function<void()> CutEngineStream();
  std::function<void()> CutEngine();
  std::function<void()> SlowEngine();
  std::function<void()> Evict();
  std::function<void()> KillEngine();
  std::function<void()> DropServiceReplies();
  std::function<void()> CutService();
  std::function<void()> HalfOpenService();
  std::function<void()> TruncateStore();
  std::function<void()> FreeStore();
  std::function<void()> FillStore();
  std::function<void()> CutStore();
  std::function<void()> PlatformDown();
  std::function<void()> PlatformSlow();
  std::function<void()> PlatformLoses();
  std::function<void()> PauseKeeper();
  std::function<void()> KillGate();
  std::function<void()> StopGate();
  std::function<void()> ReplaceHost();
  std::function<void()> Swap();
  void EveryEngine(const json& aFaults);
  void EveryService(const json& aFaults);
  void Store(const json& aFaults) { m_deployment.At("s1").Faults(aFaults); }

  // soak_checks.cpp: what the ledgers say
  std::map<std::string, int> ReadLedgers();
  void CheckAnswers(const std::vector<Operation>& aOperations,
                    const std::vector<std::size_t>& aOperationOf,
                    const std::vector<Call>& aCalls,
                    const std::vector<Answer>& aAnswers,
                    const std::map<std::string, int>& aLedger);
  static std::string RunOf(const Answer& aAnswer);
  void CheckText(const Operation& aOperation, const std::string& aRequest, const Answer& aAnswer);
  std::string Alone(const Process& aEngine, const std::string& aPrompt);
  void CheckOnce(const std::vector<Operation>& aOperations,
                 const std::map<std::string, int>& aLedger);
  void Violation(const std::string& aWhat);
  int Summary();

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

} // namespace soak
