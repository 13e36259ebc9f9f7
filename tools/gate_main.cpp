#include <iostream> // for cout

#include "daemon_settings.hpp"
#include "ferrytray/gate/gate.hpp"          // for Gate
#include "ferrytray/settings/settings.hpp"  // for SettingsBuilder
#include "ferrytray/telemetry/log_line.hpp" // for StartLogging

using namespace ferrytray;
using settings::SettingKind;

namespace {

settings::ParseOutcome ReadSettings(int aArgc, char** aArgv)
{
  return settings::SettingsBuilder("ferrytray-gate", "Serves callers on one entry host.")
    .Add({ "host", "", "this host's name", SettingKind::Text, true })
    .Add({ "zone", "", "this host's availability zone", SettingKind::Text, true })
    .Add({ "platform", "", "http://IP:PORT of the platform", SettingKind::Text, true })
    .Add({ "keeper", "", "IP:PORT of this host's keeper (TCP)", SettingKind::Text, true })
    .Add({ "listen", "127.0.0.1:8080", "IP:PORT for callers (HTTP)" })
    .Add({ "gate-control", "127.0.0.1:0", "IP:PORT for ticket tables from peers (TCP)" })
    .Add({ "max-body-bytes", "8388608", "longer request bodies are rejected", SettingKind::Count })
    .Add(
      { "hold-above", "300", "engine queue at which requests are held here", SettingKind::Millis })
    .Add({ "default-deadline", "300000", "deadline of a request without one", SettingKind::Millis })
    .Add({ "drain-wait",
           "2000",
           "time for the load balancer to notice a shutdown",
           SettingKind::Millis })
    .Add({ "claim-timeout",
           "2000",
           "how long the log may take to resolve a caller's key",
           SettingKind::Millis })
    .Add({ "config-due", "3000", "time within which a change is in force", SettingKind::Millis })
    .Add({ "claim-window",
           "3600000",
           "how long a caller's key is held; must be below the log's retention",
           SettingKind::Millis })
    .Build(aArgc, aArgv);
}

base::Result<gate::GateOptions> ToOptions(const settings::Settings& aSettings)
{
  gate::GateOptions options;
  options.m_host = aSettings.Text("host");
  options.m_zone = aSettings.Text("zone");
  options.m_platform = aSettings.Text("platform");
  options.m_maxBodyBytes = aSettings.Count("max-body-bytes");
  options.m_holdAbove = aSettings.Millis("hold-above");
  options.m_defaultDeadline = aSettings.Millis("default-deadline");
  options.m_drainWait = aSettings.Millis("drain-wait");
  options.m_claimTimeout = aSettings.Millis("claim-timeout");
  options.m_claimWindow = aSettings.Millis("claim-window");
  options.m_maxConfigurationDelay = aSettings.Millis("config-due");
  options.m_incarnation = options.m_host + "-" + std::to_string(daemon::NewIncarnation());
  const auto addresses = daemon::ReadAddresses(aSettings,
                                               { { "listen", &options.m_listen },
                                                 { "gate-control", &options.m_control },
                                                 { "keeper", &options.m_keeper } });
  if (!addresses) {
    return tl::unexpected(addresses.error());
  }
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  const auto parsed = ReadSettings(argc, argv);
  return settings::RunWith(parsed, [argv](const settings::Settings& aSettings) {
    return daemon::Run(
      argv[0],
      ToOptions(aSettings),
      gate::Gate::Create,
      [](const gate::Gate& aGate) {
        std::cout << "listening " << net::ToString(aGate.ListenAddress()) << std::endl;
      },
      [](gate::Gate& aGate, std::function<void()> aDone) { aGate.Drain(std::move(aDone)); });
  });
}
