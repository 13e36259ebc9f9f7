#include <iostream> // for cout
#include <sstream>  // for istringstream

#include "daemon_settings.hpp"
#include "ferrytray/keeper/keeper.hpp"      // for Keeper
#include "ferrytray/settings/settings.hpp"  // for SettingsBuilder
#include "ferrytray/telemetry/log_line.hpp" // for StartLogging

using namespace ferrytray;
using settings::SettingKind;

namespace {

settings::ParseOutcome ReadSettings(int aArgc, char** aArgv)
{
  return settings::SettingsBuilder("ferrytray-keeper", "Controls one entry host.")
    .Add({ "host", "", "this host's name", SettingKind::Text, true })
    .Add({ "zone", "", "this host's availability zone", SettingKind::Text, true })
    .Add({ "platform", "", "http://IP:PORT of the platform", SettingKind::Text, true })
    .Add({ "listen", "127.0.0.1:8081", "IP:PORT for status and metrics (HTTP)" })
    .Add({ "keeper-control", "127.0.0.1:8082", "IP:PORT for the gate and for peers (TCP)" })
    .Add({ "gossip", "127.0.0.1:8083", "IP:PORT for other keepers (UDP)" })
    .Add({ "seeds", "", "IP:PORT,... of peers' gossip, for a start during a platform outage" })
    .Add({ "round", "500", "interval of membership rounds", SettingKind::Millis })
    .Add({ "load-poll", "200", "interval of load polls", SettingKind::Millis })
    .Add({ "host-list-poll", "500", "interval of host list polls", SettingKind::Millis })
    .Add({ "renew-age",
           "43200000",
           "age at which a file is appended again; must be below the log's retention",
           SettingKind::Millis })
    .Add({ "lease", "9000", "duration of a lease", SettingKind::Millis })
    .Add({ "config-due", "3000", "time within which a change is in force", SettingKind::Millis })
    .Build(aArgc, aArgv);
}

base::Result<keeper::KeeperOptions> ToOptions(const settings::Settings& aSettings)
{
  keeper::KeeperOptions options;
  options.m_host = aSettings.Text("host");
  options.m_zone = aSettings.Text("zone");
  options.m_platform = aSettings.Text("platform");
  options.m_roundInterval = aSettings.Millis("round");
  options.m_loadPollInterval = aSettings.Millis("load-poll");
  options.m_hostListPollInterval = aSettings.Millis("host-list-poll");
  options.m_maxScopeAge = aSettings.Millis("renew-age");
  options.m_leaseDuration = aSettings.Millis("lease");
  options.m_configurationDue = aSettings.Millis("config-due");
  options.m_incarnation = daemon::NewIncarnation();
  const auto addresses = daemon::ReadAddresses(aSettings,
                                               { { "listen", &options.m_http },
                                                 { "keeper-control", &options.m_control },
                                                 { "gossip", &options.m_gossip } });
  if (!addresses) {
    return tl::unexpected(addresses.error());
  }
  std::istringstream seeds(aSettings.Text("seeds"));
  for (std::string seed; std::getline(seeds, seed, ',');) {
    const auto address = net::ParseAddress(seed);
    if (!address) {
      return base::Fail(base::ErrorCode::SettingInvalid, "--seeds: " + address.error().m_message);
    }
    options.m_seeds.push_back(*address);
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
      keeper::Keeper::Create,
      [](const keeper::Keeper& aKeeper) {
        std::cout << "listening " << net::ToString(aKeeper.HttpAddress()) << "\n"
                  << "control " << net::ToString(aKeeper.ControlAddress()) << "\n"
                  << "gossip " << net::ToString(aKeeper.GossipAddress()) << std::endl;
      },
      [](keeper::Keeper& aKeeper, std::function<void()> aDone) {
        aKeeper.Leave(std::move(aDone));
      });
  });
}
