// Checks a round's responses against the execution ledgers of the stand-ins.
#include "tests/soak/soak.hpp"

#include <cstdio> // for printf

namespace soak {

std::map<std::string, int> Soak::ReadLedgers()
{
  std::map<std::string, int> ledger;
  for (const char* name : { "w1", "w2", "w3", "c1", "c2" }) {
    const json reply = Get(m_deployment.At(name).DirectUrl() + "/ledger").Json();
    const json executions =
      reply.is_object() ? reply.value("executions", json::object()) : json::object();
    for (const auto& [request, count] : executions.items()) {
      ledger[request] += count.get<int>();
    }
  }
  return ledger;
}

void Soak::CheckResponses(const std::vector<Operation>& aOperations,
                          const std::vector<std::size_t>& aOperationOf,
                          const std::vector<Call>& aCalls,
                          const std::vector<Response>& aResponses,
                          const std::map<std::string, int>& aLedger)
{
  for (std::size_t i = 0; i < aResponses.size(); ++i) {
    const Operation& operation = aOperations[aOperationOf[i]];
    const std::string& request = aCalls[i].m_headers.back().second;
    const Response& response = aResponses[i];
    const bool hasError = response.m_body.find("\"error\":{") != std::string::npos;
    const bool isComplete =
      response.m_status == 200 && response.m_end == net::WireEnd::Complete && !hasError;
    ++m_results[isComplete               ? "answered"
                : response.m_status == 0 ? "connection lost"
                                         : "refused or failed: " + RunStateOf(response)];
    if (isComplete) {
      CheckText(operation, request, response);
    }
    const auto executed = aLedger.find(request);
    if (RunStateOf(response) == "not_run" && executed != aLedger.end()) {
      ReportViolation("said not_run but ran: " + request);
    }
  }
}

std::string Soak::RunStateOf(const Response& aResponse)
{
  const std::size_t at = aResponse.m_body.find("\"run\":\"");
  if (at == std::string::npos) {
    return "none";
  }
  const std::size_t start = at + 7;
  return aResponse.m_body.substr(start, aResponse.m_body.find('"', start) - start);
}

void Soak::CheckText(const Operation& aOperation,
                     const std::string& aRequest,
                     const Response& aResponse)
{
  if (!aOperation.m_isModelRequest) {
    const json body = aResponse.Json();
    if (!body.is_object() || body.value("echo", "") != aOperation.m_body) {
      ReportViolation("not its own answer: " + aRequest);
    }
    return;
  }
  const std::string text = aResponse.Text();
  if (text != ReferenceTextFrom(m_referenceV1, aOperation.m_body) &&
      text != ReferenceTextFrom(m_referenceV2, aOperation.m_body)) {
    ReportViolation("answer differs from the one computed alone: " + aRequest);
  }
}

std::string Soak::ReferenceTextFrom(const Process& aEngine, const std::string& aPrompt)
{
  std::string& text = m_referenceTexts[aEngine.At("listening") + aPrompt];
  if (text.empty()) {
    std::vector<std::string> blocks;
    for (std::size_t i = 0; i < aPrompt.size() / 1024; ++i) {
      blocks.push_back("b" + std::to_string(++m_lastReferenceBlock));
    }
    const json body{
      { "prompt", aPrompt }, { "max_tokens", 8 }, { "cache_salt", "lab" }, { "x_blocks", blocks }
    };
    text = Post("http://" + aEngine.At("listening") + "/v1/completions", body).Text();
  }
  return text;
}

void Soak::CheckAtMostOnce(const std::vector<Operation>& aOperations,
                           const std::map<std::string, int>& aLedger)
{
  for (const Operation& operation : aOperations) {
    int executions = 0;
    for (const std::string& request : operation.m_requests) {
      const auto found = aLedger.find(request);
      executions += found == aLedger.end() ? 0 : found->second;
    }
    if (operation.m_atMostOnce && executions > 1) {
      ReportViolation("ran " + std::to_string(executions) +
                      " times: " + operation.m_requests.front());
    }
  }
}

void Soak::ReportViolation(const std::string& aWhat)
{
  std::printf("VIOLATION in round %d: %s\n", m_rounds, aWhat.c_str());
  std::fflush(stdout);
  ++m_violations;
}

int Soak::PrintSummary()
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

} // namespace soak
