// Injects and removes the faults of a soak round.
#include "tests/soak/soak.hpp"

#include <csignal> // for SIGTERM, SIGSTOP
#include <utility> // for pair

namespace soak {

std::function<void()> Soak::InjectFault()
{
  using Fault = std::function<void()> (Soak::*)();
  static const std::vector<std::pair<const char*, Fault>> kFaults{
    { "engine reply dropped", &Soak::DropEngineReplies },
    { "engine stream cut", &Soak::CutEngineStream },
    { "engine cut off", &Soak::DisconnectEngine },
    { "engine slow", &Soak::SlowEngine },
    { "engine evicts, events missing", &Soak::EvictEngineCache },
    { "engine killed", &Soak::KillEngine },
    { "service reply dropped", &Soak::DropServiceReplies },
    { "service cut off", &Soak::DisconnectService },
    { "service half open", &Soak::HalfOpenService },
    { "store truncates", &Soak::TruncateStore },
    { "store frees during imports", &Soak::FreeStoreBlocksOnRead },
    { "store full", &Soak::FillStore },
    { "store cut off", &Soak::DisconnectStore },
    { "platform down", &Soak::StopPlatform },
    { "platform slow", &Soak::SlowPlatform },
    { "platform loses replies", &Soak::DropPlatformReplies },
    { "keeper paused", &Soak::PauseKeeper },
    { "gate killed", &Soak::KillGate },
    { "gate stopped as planned", &Soak::TerminateGate },
    { "host replaced", &Soak::ReplaceHost },
    { "weights swapped", &Soak::SwapWeights },
  };
  const auto& [name, fault] = kFaults[RandomBelow(kFaults.size())];
  ++m_faults[name];
  return (this->*fault)();
}

std::function<void()> Soak::DropEngineReplies()
{
  RandomEngine().SetProxyFaults({ { "drop_replies", 3 } });
  return [this] { SetAllEngineProxyFaults({ { "drop_replies", 0 } }); };
}

std::function<void()> Soak::CutEngineStream()
{
  RandomEngine().SetProxyFaults({ { "cut_reply_after", 600 } });
  return [this] { SetAllEngineProxyFaults({ { "cut_reply_after", -1 } }); };
}

std::function<void()> Soak::DisconnectEngine()
{
  RandomEngine().SetProxyFaults({ { "cut", true } });
  return [this] { SetAllEngineProxyFaults({ { "cut", false } }); };
}

std::function<void()> Soak::SlowEngine()
{
  Endpoint& engine = RandomEngine();
  engine.SetFaults({ { "slowness", 10 } });
  return [&engine] { engine.SetFaults({ { "slowness", 1 } }); };
}

std::function<void()> Soak::EvictEngineCache()
{
  RandomEngine().SetFaults({ { "evict", true }, { "hide_events", 20 } });
  return [] {};
}

std::function<void()> Soak::KillEngine()
{
  Endpoint& engine = RandomEngine();
  engine.m_process.Kill();
  return [this, &engine] {
    const std::string incarnation = std::to_string(++m_lastIncarnation);
    std::vector<std::string> arguments = kEngineArguments;
    arguments.insert(arguments.end(),
                     { "--incarnation", incarnation, "--weight-version", m_version });
    const std::string name = engine.m_name;
    m_deployment.AddEngine(name, arguments, true).m_incarnation = incarnation;
  };
}

std::function<void()> Soak::DropServiceReplies()
{
  RandomService().SetProxyFaults({ { "drop_replies", 4 } });
  return [this] { SetAllServiceProxyFaults({ { "drop_replies", 0 } }); };
}

std::function<void()> Soak::DisconnectService()
{
  RandomService().SetProxyFaults({ { "cut", true } });
  return [this] { SetAllServiceProxyFaults({ { "cut", false } }); };
}

std::function<void()> Soak::HalfOpenService()
{
  RandomService().SetProxyFaults({ { "half_open", true } });
  return [this] { SetAllServiceProxyFaults({ { "half_open", false } }); };
}

std::function<void()> Soak::TruncateStore()
{
  SetStoreFaults({ { "truncate", true } });
  return [this] { SetStoreFaults({ { "truncate", false } }); };
}

std::function<void()> Soak::FreeStoreBlocksOnRead()
{
  SetStoreFaults({ { "free_on_read", true } });
  return [this] { SetStoreFaults({ { "free_on_read", false } }); };
}

std::function<void()> Soak::FillStore()
{
  SetStoreFaults({ { "full", true } });
  return [this] { SetStoreFaults({ { "full", false } }); };
}

std::function<void()> Soak::DisconnectStore()
{
  m_deployment.At("s1").SetProxyFaults({ { "cut", true } });
  return [this] { m_deployment.At("s1").SetProxyFaults({ { "cut", false } }); };
}

std::function<void()> Soak::StopPlatform()
{
  m_deployment.SetPlatformFaults({ { "down", true } });
  return [this] { m_deployment.SetPlatformFaults({ { "down", false } }); };
}

std::function<void()> Soak::SlowPlatform()
{
  m_deployment.SetPlatformFaults({ { "slow_ms", 300 } });
  return [this] { m_deployment.SetPlatformFaults({ { "slow_ms", 0 } }); };
}

std::function<void()> Soak::DropPlatformReplies()
{
  m_deployment.SetPlatformFaults({ { "lose_replies", 3 } });
  return [this] { m_deployment.SetPlatformFaults({ { "lose_replies", 0 } }); };
}

std::function<void()> Soak::PauseKeeper()
{
  EntryHost& host = RandomHost();
  host.m_keeper.Signal(SIGSTOP);
  return [&host] { host.m_keeper.Signal(SIGCONT); };
}

std::function<void()> Soak::KillGate()
{
  EntryHost& host = RandomHost();
  host.m_gate.Kill();
  return [this, &host] { m_deployment.RestartGate(host, kGateArguments); };
}

std::function<void()> Soak::TerminateGate()
{
  EntryHost& host = RandomHost();
  const pid_t stopped = host.m_gate.Pid();
  host.m_gate.Signal(SIGTERM);
  return [this, &host, stopped] {
    // The round's other fault may have killed or replaced the gate.
    if (host.m_gate.Pid() == stopped) {
      host.m_gate.Wait();
      m_deployment.RestartGate(host, kGateArguments);
    }
  };
}

std::function<void()> Soak::ReplaceHost()
{
  EntryHost& host = RandomHost();
  host.m_keeper.Kill();
  host.m_gate.Kill();
  const std::string name = host.m_name;
  const std::string zone = host.m_zone;
  return [this, name, zone] { m_deployment.AddHost(name, zone, kKeeperArguments, kGateArguments); };
}

std::function<void()> Soak::SwapWeights()
{
  m_version = m_version == "1" ? "2" : "1";
  m_deployment.RunCli({ "status" });
  return [this] { m_deployment.Apply(StandardFile(m_version, kFleetSettings)); };
}

void Soak::SetAllEngineProxyFaults(const json& aFaults)
{
  for (const char* name : { "w1", "w2", "w3" }) {
    m_deployment.At(name).SetProxyFaults(aFaults);
  }
}

void Soak::SetAllServiceProxyFaults(const json& aFaults)
{
  for (const char* name : { "c1", "c2" }) {
    m_deployment.At(name).SetProxyFaults(aFaults);
  }
}

} // namespace soak
