#include <iostream> // for cerr

#include "ferrytray/settings/settings.hpp" // for SettingsBuilder
#include "load.hpp"

using namespace ferrytray;
using settings::SettingKind;

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("ferrytray-load", "Runs load tests and experiments.")
      .AllowArguments("sweep | faults | small | redundancy | cost | parts | probe | drive")
      .Add({ "seeds", "5", "sweep: runs with different seeds", SettingKind::Count })
      .Add({ "seconds", "1800", "length of a trace or of a drive", SettingKind::Number })
      .Add({ "rate", "50", "drive: requests a second", SettingKind::Number })
      .Add({ "gate", "127.0.0.1:8080", "drive: IP:PORT of a gate, several with commas" })
      .Add({ "direct", "127.0.0.1:8000", "probe: IP:PORT of an engine" })
      .Add({ "requests", "500", "probe: requests to each", SettingKind::Count })
      .Add({ "streams", "0", "probe: streams to hold open for --seconds", SettingKind::Count })
      .Add({ "key", "demo-key", "drive: bearer key" })
      .Add({ "model", "datasheet", "drive: model name" })
      .Add({ "seed", "1", "drive: seed", SettingKind::Count })
      .Add({ "json", "", "write the results to this file as JSON" })
      .Build(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  const std::string command = settings->Arguments().empty() ? "" : settings->Arguments().front();
  for (const load::Command& known : load::Commands()) {
    if (command == known.m_name) {
      return known.m_run(*settings);
    }
  }
  std::cerr << "error: unknown command '" << command << "'; see --help\n";
  return settings::kExitBadSettings;
}
