// The deployment of the soak test and the load on it.
#include "tests/soak/soak.hpp"

#include "ferrytray/base/time.hpp" // for MonotonicNow

namespace soak {

namespace {

constexpr int kOperationsPerRound = 110;

} // namespace

Soak::Soak(std::uint64_t aSeed)
  : m_random(aSeed)
  , m_referenceV1("standins/standin-engine",
                  { "--model", "m", "--weight-version", "1" },
                  { "listening" })
  , m_referenceV2("standins/standin-engine",
                  { "--model", "m", "--weight-version", "2" },
                  { "listening" })
{
  for (const char* name : { "h1", "h2", "h3" }) {
    m_deployment.AddHost(
      name, std::string(name) == "h3" ? "z2" : "z1", kKeeperArguments, kGateArguments);
  }
  for (const char* name : { "w1", "w2", "w3" }) {
    m_deployment.AddEngine(name, kEngineArguments, true);
  }
  m_deployment.AddService("c1", {}, true);
  m_deployment.AddService("c2", {}, true);
  m_deployment.AddStore("s1", {}, true);
  m_deployment.StartDeployment(kFleetSettings);
  for (int i = 0; i < 12; ++i) {
    std::string context;
    for (int line = 0; context.size() < 6U * 1024; ++line) {
      context += "context " + std::to_string(i) + " line " + std::to_string(line) + "\n";
    }
    m_contexts.push_back(context);
  }
}

int Soak::Run(double aSeconds)
{
  const base::TimePoint end = base::MonotonicNow() + base::FromSeconds(aSeconds);
  while (base::MonotonicNow() < end) {
    Round();
  }
  return PrintSummary();
}

EntryHost& Soak::RandomHost()
{
  auto host = m_deployment.Hosts().begin();
  std::advance(host, static_cast<long>(RandomBelow(m_deployment.Hosts().size())));
  return host->second;
}

void Soak::Round()
{
  ++m_rounds;
  std::vector<Operation> operations;
  std::vector<Call> calls;
  std::vector<std::size_t> operationOf;
  for (int i = 0; i < kOperationsPerRound; ++i) {
    const std::size_t before = calls.size();
    operations.push_back(MakeOperation(calls));
    operationOf.resize(calls.size(), operations.size() - 1);
    static_cast<void>(before);
  }
  std::vector<std::function<void()>> restores;
  const auto responses = SendAll(calls, [&] {
    restores.push_back(InjectFault());
    restores.push_back(InjectFault());
  });
  for (const auto& restore : restores) {
    restore();
  }
  m_calls += calls.size();
  const std::map<std::string, int> ledger = ReadLedgers();
  CheckResponses(operations, operationOf, calls, responses, ledger);
  CheckAtMostOnce(operations, ledger);
  m_deployment.PublishHostList();
  m_deployment.WaitReady();
}

Operation Soak::MakeOperation(std::vector<Call>& aCalls)
{
  Operation operation;
  const std::string id = "s" + std::to_string(++m_lastOperationId);
  const net::Headers deadline{ { "Ferrytray-Deadline-Ms", "2000" } };
  const auto add = [&](Call aCall) {
    const std::string request = id + "-" + std::to_string(operation.m_requests.size());
    aCall.m_headers.emplace_back("X-Request-Id", request);
    operation.m_requests.push_back(request);
    aCalls.push_back(std::move(aCall));
  };
  const std::uint64_t kind = RandomBelow(10);
  if (kind < 4) {
    operation.m_isModelRequest = true;
    operation.m_atMostOnce = kind == 0;
    operation.m_body =
      m_contexts[RandomBelow(m_contexts.size())] + "question " + std::to_string(RandomBelow(5));
    net::Headers headers = deadline;
    if (operation.m_atMostOnce) {
      headers.emplace_back("Ferrytray-Idempotent", "false");
    }
    add(
      MakeCompletionCall(RandomHost(), operation.m_body, { { "stream", kind % 2 == 1 } }, headers));
    return operation;
  }
  operation.m_atMostOnce = true;
  operation.m_body = "order " + id;
  if (kind < 6) {
    add(MakeServiceCall(RandomHost(), operation.m_body, deadline));
    return operation;
  }
  net::Headers headers = deadline;
  if (kind < 8) {
    headers.emplace_back("Idempotency-Key", id);
  } else {
    const std::string ticket = RequestTicket();
    if (ticket.empty()) {
      add(MakeServiceCall(RandomHost(), operation.m_body, deadline));
      return operation;
    }
    headers.emplace_back("Ferrytray-Ticket", ticket);
  }
  // An impatient caller sends the same call twice, usually to different gates.
  add(MakeServiceCall(RandomHost(), operation.m_body, headers));
  add(MakeServiceCall(RandomHost(), operation.m_body, headers));
  return operation;
}

std::string Soak::RequestTicket()
{
  const Response response = Send({ "POST",
                                   RandomHost().GateUrl() + "/v1/tickets",
                                   "",
                                   { { "Authorization", "Bearer lab-key" } } });
  const json body = response.Json();
  return body.is_object() ? body.value("ticket", "") : "";
}

} // namespace soak
