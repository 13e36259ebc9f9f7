#include <chrono>   // for system_clock
#include <iostream> // for cout, cerr
#include <sstream>  // for istringstream

#include "ferrytray/keeper/keeper.hpp"      // for Keeper
#include "ferrytray/settings/settings.hpp"  // for SettingsBuilder
#include "ferrytray/telemetry/log_line.hpp" // for StartLogging

using namespace ferrytray;
using settings::SettingKind;

namespace {

settings::Parsed ReadSettings(int aArgc, char** aArgv)
{
  return settings::SettingsBuilder("ferrytray-keeper", "Controls one entry host.")
    .Add({ "host", "", "this host's name", SettingKind::Text, true })
    .Add({ "zone", "", "this host's availability zone", SettingKind::Text, true })
    .Add({ "platform", "", "http://IP:PORT of the platform", SettingKind::Text, true })
    .Add({ "listen", "127.0.0.1:8081", "IP:PORT for status and metrics (HTTP)" })
    .Add({ "keeper-control", "127.0.0.1:8082", "IP:PORT for the gate and for peers (TCP)" })
    .Add({ "gossip", "127.0.0.1:8083", "IP:PORT for other keepers (UDP)" })
    .Add({ "seeds", "", "IP:PORT,... of peers' gossip, for a start while the platform is away" })
    .Add({ "round", "500", "period of membership rounds", SettingKind::Millis })
    .Add({ "load-poll", "200", "period of load reports", SettingKind::Millis })
    .Add({ "host-list-poll", "500", "period of the host list", SettingKind::Millis })
    .Add({ "renew-age",
           "43200000",
           "age at which a file is appended again, under the log's retention",
           SettingKind::Millis })
    .Add({ "lease", "9000", "duration of a lease", SettingKind::Millis })
    .Build(aArgc, aArgv);
}

base::Result<keeper::KeeperOptions> ToOptions(const settings::Settings& aSettings)
{
  keeper::KeeperOptions options;
  options.m_host = aSettings.Text("host");
  options.m_zone = aSettings.Text("zone");
  options.m_platform = aSettings.Text("platform");
  options.m_round = aSettings.Millis("round");
  options.m_loadPoll = aSettings.Millis("load-poll");
  options.m_hostListPoll = aSettings.Millis("host-list-poll");
  options.m_renewAge = aSettings.Millis("renew-age");
  options.m_lease = aSettings.Millis("lease");
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  options.m_incarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(start).count());
  for (const auto& [flag, target] : { std::pair{ "listen", &options.m_http },
                                      std::pair{ "keeper-control", &options.m_control },
                                      std::pair{ "gossip", &options.m_gossip } }) {
    const auto address = net::ParseAddress(aSettings.Text(flag));
    if (!address) {
      return base::Fail(base::ErrorCode::SettingInvalid,
                        std::string("--") + flag + ": " + address.error().m_message);
    }
    *target = *address;
  }
  std::istringstream seeds(aSettings.Text("seeds"));
  for (std::string seed; std::getline(seeds, seed, ',');) {
    const auto address = net::ParseAddress(seed);
    if (!address) {
      return base::Fail(base::ErrorCode::SettingInvalid, "--seeds: " + address.error().m_message);
    }
    options.m_seeds.push_back(*address);
  }
  if (options.m_host.find_first_of(". #") != std::string::npos) {
    return base::Fail(base::ErrorCode::SettingInvalid,
                      "--host: expects a name without '.', '#' or spaces");
  }
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  const auto parsed = ReadSettings(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  const auto options = ToOptions(*settings);
  if (!options) {
    std::cerr << "error " << static_cast<int>(options.error().m_code) << ": "
              << options.error().m_message << "\n";
    return settings::kExitBadSettings;
  }
  telemetry::StartLogging(argv[0]);
  net::Loop loop;
  const auto keeper = keeper::Keeper::Create(loop, *options);
  if (!keeper) {
    std::cerr << "error " << static_cast<int>(keeper.error().m_code) << ": "
              << keeper.error().m_message << "\n";
    return settings::kExitFailed;
  }
  std::cout << "listening " << net::ToString((*keeper)->HttpAddress()) << "\n"
            << "control " << net::ToString((*keeper)->ControlAddress()) << "\n"
            << "gossip " << net::ToString((*keeper)->GossipAddress()) << std::endl;
  loop.OnTerminate([&] { (*keeper)->Leave([&] { loop.Stop(); }); });
  loop.Run();
  return settings::kExitOk;
}
