#pragma once

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include "tests/integration/client.hpp"  // for Answer
#include "tests/integration/process.hpp" // for Process

namespace integration {

/// One entry host: a keeper and a gate.
struct EntryHost
{
  std::string m_name;
  std::string m_zone;
  Process m_keeper;
  Process m_gate;
  std::string GateUrl() const { return "http://" + m_gate.At("listening"); }
  std::string KeeperUrl() const { return "http://" + m_keeper.At("listening"); }
};

/// A stand-in, directly or behind the fault-injecting proxy.
struct Endpoint
{
  std::string m_name;
  std::string m_role;
  std::string m_pool;
  std::string m_zone;
  std::string m_incarnation = "1";
  Process m_process;
  Process m_proxy;
  std::string DirectUrl() const { return "http://" + m_process.At("listening"); }
  std::string Address() const
  {
    return m_proxy.Running() ? m_proxy.At("passing") : m_process.At("listening");
  }
  void SetFaults(const json& aFaults) const { Post(DirectUrl() + "/admin/faults", aFaults); }
  void SetProxyFaults(const json& aFaults) const
  {
    Post("http://" + m_proxy.At("listening") + "/faults", aFaults);
  }
};

/// A small deployment of real processes on the loopback interface.
class Deployment
{
public:
  explicit Deployment(const std::vector<std::string>& aPlatformArguments = {});

  EntryHost& AddHost(const std::string& aName,
                     const std::string& aZone,
                     const std::vector<std::string>& aKeeperArguments = {},
                     const std::vector<std::string>& aGateArguments = {});
  void RestartGate(EntryHost& aHost, const std::vector<std::string>& aArguments = {});
  Endpoint& AddEngine(const std::string& aName,
                      const std::vector<std::string>& aArguments = {},
                      bool aProxied = false);
  Endpoint& AddService(const std::string& aName,
                       const std::vector<std::string>& aArguments = {},
                       bool aProxied = false);
  Endpoint& AddStore(const std::string& aName,
                     const std::vector<std::string>& aArguments = {},
                     bool aProxied = false);
  /// Publishes all endpoints and hosts in the platform's host list.
  void PublishHostList();
  void SetState(const std::string& aName, const std::string& aState);

  /// Applies a configuration file with the CLI, which waits until it is in force on every host.
  ProcessResult Apply(const std::string& aYaml, const std::string& aName = "test.yaml");
  ProcessResult RunCli(const std::vector<std::string>& aArguments) const;
  /// Applies the standard file and waits until every gate is ready and knows every endpoint.
  void StartDeployment(const std::string& aExtra = "");
  void WaitReady();

  std::string PlatformUrl() const;
  void SetPlatformFaults(const json& aFaults) const
  {
    Post(PlatformDirectUrl() + "/admin/faults", aFaults);
  }
  std::string PlatformDirectUrl() const { return "http://" + m_platform.At("listening"); }
  Endpoint& At(const std::string& aName) { return m_endpoints.at(aName); }
  std::map<std::string, EntryHost>& Hosts() { return m_hosts; }
  /// How often all engines and services together executed a request.
  int Executions(const std::string& aRequest) const;

private:
  Endpoint& AddEndpoint(const std::string& aProgram,
                        const std::string& aName,
                        const std::string& aRole,
                        const std::string& aPool,
                        const std::vector<std::string>& aArguments,
                        bool aProxied);

  Process m_platform;
  std::map<std::string, EntryHost> m_hosts;
  std::map<std::string, Endpoint> m_endpoints;
  std::map<std::string, std::string> m_states;
};

/// The standard configuration: model "m" at aVersion, fleet "f", service "/catalogue", accounts
/// "lab" (key "lab-key") and "bench" (key "bench-key").
std::string StandardFile(const std::string& aVersion = "1", const std::string& aFleetExtra = "");

/// Builds a completion request by account "lab". @param aHeaders added to its authorization
Call MakeCompletionCall(const EntryHost& aHost,
                        const std::string& aPrompt,
                        const json& aFields = {},
                        ferrytray::net::Headers aHeaders = {});
/// Builds a call of the plain service by account "lab".
Call MakeServiceCall(const EntryHost& aHost,
                     const std::string& aBody,
                     ferrytray::net::Headers aHeaders = {});
/// The text that a fresh engine without cached blocks generates for a prompt.
std::string ReferenceText(const std::string& aPrompt,
                          const std::string& aAccount = "lab",
                          const std::string& aVersion = "1",
                          int aTokens = 8);

} // namespace integration
