// What goes wrong in a soak, and how it is mended.
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

std::function<void()> Soak::DropEngineReplies()
{
  AnyEngine().ProxyFaults({ { "drop_replies", 3 } });
  return [this] { EveryEngine({ { "drop_replies", 0 } }); };
}

std::function<void()> Soak::CutEngineStream()
{
  AnyEngine().ProxyFaults({ { "cut_reply_after", 600 } });
  return [this] { EveryEngine({ { "cut_reply_after", -1 } }); };
}

std::function<void()> Soak::CutEngine()
{
  AnyEngine().ProxyFaults({ { "cut", true } });
  return [this] { EveryEngine({ { "cut", false } }); };
}

std::function<void()> Soak::SlowEngine()
{
  Endpoint& engine = AnyEngine();
  engine.Faults({ { "slowness", 10 } });
  return [&engine] { engine.Faults({ { "slowness", 1 } }); };
}

std::function<void()> Soak::Evict()
{
  AnyEngine().Faults({ { "evict", true }, { "hide_events", 20 } });
  return [] {};
}

std::function<void()> Soak::KillEngine()
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

std::function<void()> Soak::DropServiceReplies()
{
  AnyService().ProxyFaults({ { "drop_replies", 4 } });
  return [this] { EveryService({ { "drop_replies", 0 } }); };
}

std::function<void()> Soak::CutService()
{
  AnyService().ProxyFaults({ { "cut", true } });
  return [this] { EveryService({ { "cut", false } }); };
}

std::function<void()> Soak::HalfOpenService()
{
  AnyService().ProxyFaults({ { "half_open", true } });
  return [this] { EveryService({ { "half_open", false } }); };
}

std::function<void()> Soak::TruncateStore()
{
  Store({ { "truncate", true } });
  return [this] { Store({ { "truncate", false } }); };
}

std::function<void()> Soak::FreeStore()
{
  Store({ { "free_on_read", true } });
  return [this] { Store({ { "free_on_read", false } }); };
}

std::function<void()> Soak::FillStore()
{
  Store({ { "full", true } });
  return [this] { Store({ { "full", false } }); };
}

std::function<void()> Soak::CutStore()
{
  m_deployment.At("s1").ProxyFaults({ { "cut", true } });
  return [this] { m_deployment.At("s1").ProxyFaults({ { "cut", false } }); };
}

std::function<void()> Soak::PlatformDown()
{
  m_deployment.PlatformFaults({ { "down", true } });
  return [this] { m_deployment.PlatformFaults({ { "down", false } }); };
}

std::function<void()> Soak::PlatformSlow()
{
  m_deployment.PlatformFaults({ { "slow_ms", 300 } });
  return [this] { m_deployment.PlatformFaults({ { "slow_ms", 0 } }); };
}

std::function<void()> Soak::PlatformLoses()
{
  m_deployment.PlatformFaults({ { "lose_replies", 3 } });
  return [this] { m_deployment.PlatformFaults({ { "lose_replies", 0 } }); };
}

std::function<void()> Soak::PauseKeeper()
{
  EntryHost& host = AnyHost();
  host.m_keeper.Signal(SIGSTOP);
  return [&host] { host.m_keeper.Signal(SIGCONT); };
}

std::function<void()> Soak::KillGate()
{
  EntryHost& host = AnyHost();
  host.m_gate.Kill();
  return [this, &host] { m_deployment.RestartGate(host, kGate); };
}

std::function<void()> Soak::StopGate()
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

std::function<void()> Soak::ReplaceHost()
{
  EntryHost& host = AnyHost();
  host.m_keeper.Kill();
  host.m_gate.Kill();
  const std::string name = host.m_name;
  const std::string zone = host.m_zone;
  return [this, name, zone] { m_deployment.AddHost(name, zone, kKeeper, kGate); };
}

std::function<void()> Soak::Swap()
{
  m_version = m_version == "1" ? "2" : "1";
  m_deployment.Operate({ "status" });
  return [this] { m_deployment.Apply(StandardFile(m_version, kExtra)); };
}

void Soak::EveryEngine(const json& aFaults)
{
  for (const char* name : { "w1", "w2", "w3" }) {
    m_deployment.At(name).ProxyFaults(aFaults);
  }
}

void Soak::EveryService(const json& aFaults)
{
  for (const char* name : { "c1", "c2" }) {
    m_deployment.At(name).ProxyFaults(aFaults);
  }
}

} // namespace soak
