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

/// One logical request of a caller, sent in one or two calls.
struct Operation
{
  std::vector<std::string> m_requests; ///< request ids of its calls
  std::string m_body;                  ///< the service call's body or the prompt
  bool m_isModelRequest = false;
  bool m_atMostOnce = false; ///< may run at most once over all its calls
};

/// A soak run: rounds of load with two injected faults each, checked against the execution ledgers
/// of the stand-ins.
class Soak
{
public:
  explicit Soak(std::uint64_t aSeed);
  int Run(double aSeconds);

private:
  /// Fleet settings added to the standard file.
  inline static const std::string kFleetSettings =
    "    checks_fencing: true\n    max_concurrent_swaps: 1\n";
  inline static const std::vector<std::string> kKeeperArguments{ "--lease", "1500" };
  inline static const std::vector<std::string> kGateArguments{ "--claim-timeout", "1000" };
  inline static const std::vector<std::string> kEngineArguments{ "--checks-fencing",
                                                                 "--swap-time",
                                                                 "100",
                                                                 "--token-time",
                                                                 "5" };

  std::uint64_t RandomBelow(std::uint64_t aLimit) { return m_random() % aLimit; }

  EntryHost& RandomHost();
  Endpoint& RandomEngine() { return m_deployment.At("w" + std::to_string(1 + RandomBelow(3))); }
  Endpoint& RandomService() { return m_deployment.At("c" + std::to_string(1 + RandomBelow(2))); }

  // soak.cpp: the load
  void Round();
  Operation MakeOperation(std::vector<Call>& aCalls);
  std::string RequestTicket();

  // soak_faults.cpp: injects faults; each function returns the one that removes the fault
  std::function<void()> InjectFault();
  std::function<void()> DropEngineReplies();
  std::function<void()> CutEngineStream();
  std::function<void()> DisconnectEngine();
  std::function<void()> SlowEngine();
  std::function<void()> EvictEngineCache();
  std::function<void()> KillEngine();
  std::function<void()> DropServiceReplies();
  std::function<void()> DisconnectService();
  std::function<void()> HalfOpenService();
  std::function<void()> TruncateStore();
  std::function<void()> FreeStoreBlocksOnRead();
  std::function<void()> FillStore();
  std::function<void()> DisconnectStore();
  std::function<void()> StopPlatform();
  std::function<void()> SlowPlatform();
  std::function<void()> DropPlatformReplies();
  std::function<void()> PauseKeeper();
  std::function<void()> KillGate();
  std::function<void()> TerminateGate();
  std::function<void()> ReplaceHost();
  std::function<void()> SwapWeights();
  void SetAllEngineProxyFaults(const json& aFaults);
  void SetAllServiceProxyFaults(const json& aFaults);
  void SetStoreFaults(const json& aFaults) { m_deployment.At("s1").SetFaults(aFaults); }

  // soak_checks.cpp: checks the responses and execution ledgers
  std::map<std::string, int> ReadLedgers();
  void CheckResponses(const std::vector<Operation>& aOperations,
                      const std::vector<std::size_t>& aOperationOf,
                      const std::vector<Call>& aCalls,
                      const std::vector<Response>& aResponses,
                      const std::map<std::string, int>& aLedger);
  static std::string RunStateOf(const Response& aResponse);
  void CheckText(const Operation& aOperation,
                 const std::string& aRequest,
                 const Response& aResponse);
  std::string ReferenceTextFrom(const Process& aEngine, const std::string& aPrompt);
  void CheckAtMostOnce(const std::vector<Operation>& aOperations,
                       const std::map<std::string, int>& aLedger);
  void ReportViolation(const std::string& aWhat);
  int PrintSummary();

  std::mt19937_64 m_random;
  Process m_referenceV1;
  Process m_referenceV2;
  Deployment m_deployment;
  std::vector<std::string> m_contexts;
  std::map<std::string, std::string> m_referenceTexts;
  std::map<std::string, int> m_results;
  std::map<std::string, int> m_faults;
  std::string m_version = "1";
  std::size_t m_calls = 0;
  int m_rounds = 0;
  int m_violations = 0;
  int m_lastOperationId = 0;
  int m_lastReferenceBlock = 0;
  int m_lastIncarnation = 100;
};

} // namespace soak
