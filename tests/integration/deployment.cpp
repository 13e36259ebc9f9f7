#include "tests/integration/deployment.hpp"

#include <cstdio>    // for remove
#include <fstream>   // for ofstream
#include <stdexcept> // for runtime_error
#include <unistd.h>  // for getpid

#include "ferrytray/base/digest.hpp" // for Sha256Hex

namespace integration {

using namespace ferrytray;

namespace {

std::vector<std::string> Concatenate(std::vector<std::string> aFirst,
                                     const std::vector<std::string>& aSecond)
{
  aFirst.insert(aFirst.end(), aSecond.begin(), aSecond.end());
  return aFirst;
}

} // namespace

Deployment::Deployment(const std::vector<std::string>& aPlatformArguments)
  : m_platform("standins/standin-platform", aPlatformArguments, { "listening" })
{
}

std::string Deployment::PlatformUrl() const
{
  return PlatformDirectUrl();
}

EntryHost& Deployment::AddHost(const std::string& aName,
                               const std::string& aZone,
                               const std::vector<std::string>& aKeeperArguments,
                               const std::vector<std::string>& aGateArguments)
{
  const std::vector<std::string> keeper{
    "--host",   aName,         "--zone",           aZone,         "--platform",       PlatformUrl(),
    "--listen", "127.0.0.1:0", "--keeper-control", "127.0.0.1:0", "--gossip",         "127.0.0.1:0",
    "--round",  "100",         "--load-poll",      "50",          "--host-list-poll", "100"
  };
  EntryHost host{ aName,
                  aZone,
                  Process("tools/ferrytray-keeper",
                          Concatenate(keeper, aKeeperArguments),
                          { "listening", "control", "gossip" }),
                  {} };
  EntryHost& added = m_hosts.insert_or_assign(aName, std::move(host)).first->second;
  RestartGate(added, aGateArguments);
  return added;
}

void Deployment::RestartGate(EntryHost& aHost, const std::vector<std::string>& aArguments)
{
  const std::vector<std::string> gate{
    "--host",     aHost.m_name,  "--zone",       aHost.m_zone,
    "--platform", PlatformUrl(), "--keeper",     aHost.m_keeper.At("control"),
    "--listen",   "127.0.0.1:0", "--drain-wait", "200"
  };
  aHost.m_gate = Process("tools/ferrytray-gate", Concatenate(gate, aArguments), { "listening" });
}

Endpoint& Deployment::AddEndpoint(const std::string& aProgram,
                                  const std::string& aName,
                                  const std::string& aRole,
                                  const std::string& aPool,
                                  const std::vector<std::string>& aArguments,
                                  bool aProxied)
{
  Endpoint endpoint;
  endpoint.m_name = aName;
  endpoint.m_role = aRole;
  endpoint.m_pool = aPool;
  endpoint.m_zone = "z1";
  endpoint.m_process = Process(aProgram, aArguments, { "listening" });
  if (aProxied) {
    endpoint.m_proxy = Process("standins/standin-proxy",
                               { "--to", endpoint.m_process.At("listening") },
                               { "passing", "listening" });
  }
  m_states[aName] = "live";
  return m_endpoints.insert_or_assign(aName, std::move(endpoint)).first->second;
}

Endpoint& Deployment::AddEngine(const std::string& aName,
                                const std::vector<std::string>& aArguments,
                                bool aProxied)
{
  return AddEndpoint("standins/standin-engine",
                     aName,
                     "engine",
                     "f",
                     Concatenate({ "--model", "m" }, aArguments),
                     aProxied);
}

Endpoint& Deployment::AddService(const std::string& aName,
                                 const std::vector<std::string>& aArguments,
                                 bool aProxied)
{
  return AddEndpoint(
    "standins/standin-service", aName, "service", "catalogue", aArguments, aProxied);
}

Endpoint& Deployment::AddStore(const std::string& aName,
                               const std::vector<std::string>& aArguments,
                               bool aProxied)
{
  return AddEndpoint("standins/standin-store", aName, "store", "", aArguments, aProxied);
}

void Deployment::PublishHostList()
{
  json hosts = json::array();
  for (const auto& [name, endpoint] : m_endpoints) {
    hosts.push_back({ { "name", name },
                      { "role", endpoint.m_role },
                      { "pool", endpoint.m_pool },
                      { "zone", endpoint.m_zone },
                      { "address", endpoint.Address() },
                      { "incarnation", endpoint.m_incarnation },
                      { "state", m_states.at(name) } });
  }
  for (const auto& [name, host] : m_hosts) {
    hosts.push_back({ { "name", name },
                      { "role", "entry" },
                      { "zone", host.m_zone },
                      { "address", host.m_keeper.At("gossip") } });
  }
  Post(PlatformDirectUrl() + "/hosts", { { "hosts", hosts } });
}

void Deployment::SetState(const std::string& aName, const std::string& aState)
{
  m_states[aName] = aState;
  PublishHostList();
}

ProcessResult Deployment::RunCli(const std::vector<std::string>& aArguments) const
{
  const std::vector<std::string> common{ "--platform",    PlatformUrl(),
                                         "--keeper-http", m_hosts.begin()->second.KeeperUrl(),
                                         "--gate-http",   m_hosts.begin()->second.GateUrl(),
                                         "--wait",        "30000" };
  return RunToCompletion("tools/ferrytray", Concatenate(common, aArguments));
}

ProcessResult Deployment::Apply(const std::string& aYaml, const std::string& aName)
{
  const std::string path = "/tmp/ferrytray-" + std::to_string(getpid()) + "-" + aName;
  std::ofstream(path) << aYaml;
  const ProcessResult result = RunCli({ "apply", path });
  std::remove(path.c_str());
  return result;
}

void Deployment::WaitReady()
{
  const bool ready = WaitFor([&] {
    for (const auto& [name, host] : m_hosts) {
      if (Get(host.GateUrl() + "/readyz").m_status != 200) {
        return false;
      }
      const json status = Get(host.KeeperUrl() + "/status").Json();
      std::size_t knownEndpoints = 0;
      for (const json& endpoint : status.value("endpoints", json::array())) {
        const bool reported = endpoint.value("version", "") != "" ||
                              m_endpoints.at(endpoint["name"]).m_role != "engine";
        knownEndpoints += reported ? 1 : 0;
      }
      std::size_t alive = 0;
      for (const json& member : status.value("members", json::array())) {
        alive += member.value("state", "") == "alive" && member.value("gate", "") != "" ? 1 : 0;
      }
      const std::string knownByGate =
        "ferrytray_endpoints_known " + std::to_string(m_endpoints.size()) + "\n";
      const bool gateKnows =
        Get(host.GateUrl() + "/metrics").m_body.find(knownByGate) != std::string::npos;
      if (!gateKnows || knownEndpoints < m_endpoints.size() || alive < m_hosts.size()) {
        return false;
      }
    }
    return true;
  });
  if (!ready) {
    throw std::runtime_error("the deployment did not become ready");
  }
}

void Deployment::StartDeployment(const std::string& aExtra)
{
  PublishHostList();
  const ProcessResult applied = Apply(StandardFile("1", aExtra));
  if (applied.m_exitCode != 0) {
    throw std::runtime_error("apply: " + applied.m_output);
  }
  WaitReady();
}

int Deployment::Executions(const std::string& aRequest) const
{
  int executions = 0;
  for (const auto& [name, endpoint] : m_endpoints) {
    if (endpoint.m_role != "store" && endpoint.m_process.Running()) {
      const json ledger = Get(endpoint.DirectUrl() + "/ledger").Json();
      executions += ledger.at("executions").value(aRequest, 0);
    }
  }
  return executions;
}

std::string StandardFile(const std::string& aVersion, const std::string& aFleetExtra)
{
  const auto account = [](const std::string& aName) {
    return "  - name: " + aName + "\n    key_digests: [" + base::Sha256Hex(aName + "-key") +
           "]\n    requests_per_second: 10000\n    burst: 10000\n    max_concurrent: 10000\n";
  };
  return "schema: 1\nscope: standard\nmodels:\n  - name: m\n    versions: [\"1\", "
         "\"2\"]\nfleets:\n  - name: f\n    model: m\n"
         "    version: \"" +
         aVersion + "\"\n    kv_bytes_per_token: 4000\n" + aFleetExtra +
         "services:\n  - name: catalogue\n    path_prefix: /catalogue\naccounts:\n" +
         account("lab") + account("bench");
}

Call MakeCompletionCall(const EntryHost& aHost,
                        const std::string& aPrompt,
                        const json& aFields,
                        net::Headers aHeaders)
{
  json body{ { "model", "m" }, { "prompt", aPrompt }, { "max_tokens", 8 } };
  body.update(aFields.is_null() ? json::object() : aFields);
  aHeaders.emplace_back("Authorization", "Bearer lab-key");
  return { "POST", aHost.GateUrl() + "/v1/completions", body.dump(), std::move(aHeaders) };
}

Call MakeServiceCall(const EntryHost& aHost, const std::string& aBody, net::Headers aHeaders)
{
  aHeaders.emplace_back("Authorization", "Bearer lab-key");
  return { "POST", aHost.GateUrl() + "/catalogue/order", aBody, std::move(aHeaders) };
}

std::string ReferenceText(const std::string& aPrompt,
                          const std::string& aAccount,
                          const std::string& aVersion,
                          int aTokens)
{
  constexpr std::size_t kBlockBytes = 1024;
  const Process engine(
    "standins/standin-engine", { "--model", "m", "--weight-version", aVersion }, { "listening" });
  std::vector<std::string> blocks;
  for (std::size_t i = 0; i < aPrompt.size() / kBlockBytes; ++i) {
    blocks.push_back("alone" + std::to_string(i));
  }
  const json body{ { "prompt", aPrompt },
                   { "max_tokens", aTokens },
                   { "cache_salt", aAccount },
                   { "x_blocks", blocks } };
  return Post("http://" + engine.At("listening") + "/v1/completions", body).Text();
}

} // namespace integration
