#include "standins/platform_log.hpp"

using namespace ferrytray;
using settings::SettingKind;

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-platform",
                              "The platform's log, host list and weight store for tests.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "retained-records", "1000000", "records kept in a stream", SettingKind::Count })
      .Add({ "appends-per-second", "500", "appends that the log takes", SettingKind::Number })
      .Add({ "host-list-lag", "0", "lag of the host list", SettingKind::Millis })
      .Add({ "weight-time", "200", "download of a weight version", SettingKind::Millis })
      .Add({ "weight-slots", "3", "downloads at full speed", SettingKind::Count })
      .Build(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  telemetry::StartLogging(argv[0]);
  standins::PlatformOptions options;
  options.m_retainedRecords = settings->Count("retained-records");
  options.m_appendsPerSecond = settings->Number("appends-per-second");
  options.m_hostListLag = settings->Millis("host-list-lag");
  options.m_weightTime = settings->Millis("weight-time");
  options.m_weightSlots = settings->Count("weight-slots");
  net::Loop loop;
  standins::Platform platform(loop, options);
  return standins::Serve(
    loop, settings->Text("listen"), [&](net::HttpRequest aRequest, const auto& aReply) {
      platform.Handle(aRequest, aReply);
    });
}
