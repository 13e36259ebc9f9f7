#include "standins/platform_log.hpp"

using namespace ferrytray;
using settings::SettingKind;

namespace {

standins::PlatformOptions ToOptions(const settings::Settings& aSettings)
{
  standins::PlatformOptions options;
  options.m_retainedRecords = aSettings.Count("retained-records");
  options.m_appendsPerSecond = aSettings.Number("appends-per-second");
  options.m_hostListLag = aSettings.Millis("host-list-lag");
  options.m_weightTime = aSettings.Millis("weight-time");
  options.m_weightSlots = aSettings.Count("weight-slots");
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-platform",
                              "The platform's log, host list and weight store for tests.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "retained-records", "1000000", "records retained per stream", SettingKind::Count })
      .Add({ "appends-per-second", "500", "append rate limit of the log", SettingKind::Number })
      .Add({ "host-list-lag", "0", "publication lag of the host list", SettingKind::Millis })
      .Add({ "weight-time", "200", "download time of a weight version", SettingKind::Millis })
      .Add({ "weight-slots", "3", "concurrent downloads at full speed", SettingKind::Count })
      .Build(argc, argv);
  return settings::RunWith(parsed, [&](const settings::Settings& aSettings) {
    return standins::RunStandIn(argv[0], aSettings, [&](net::Loop& aLoop) {
      return std::make_unique<standins::Platform>(aLoop, ToOptions(aSettings));
    });
  });
}
