#include "standins/store.hpp"

using namespace ferrytray;
using settings::SettingKind;

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-store",
                              "A store of kept KV cache for tests and demonstrations.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "memory-blocks", "10000", "blocks in memory", SettingKind::Count })
      .Add({ "disk-blocks", "100000", "blocks on disk", SettingKind::Count })
      .Add({ "link-bytes-per-second", "1000000000", "speed of its link", SettingKind::Number })
      .Add({ "disk-bytes-per-second", "200000000", "speed of its disk", SettingKind::Number })
      .Add({ "bytes-per-block", "1000000", "what a block takes on the link", SettingKind::Number })
      .Build(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  telemetry::StartLogging(argv[0]);
  standins::StoreOptions options;
  options.m_memoryBlocks = settings->Count("memory-blocks");
  options.m_diskBlocks = settings->Count("disk-blocks");
  options.m_linkBytesPerSecond = settings->Number("link-bytes-per-second");
  options.m_diskBytesPerSecond = settings->Number("disk-bytes-per-second");
  options.m_bytesPerBlock = settings->Number("bytes-per-block");
  net::Loop loop;
  standins::Store store(loop, options);
  return standins::Serve(
    loop, settings->Text("listen"), [&](net::HttpRequest aRequest, const auto& aReply) {
      store.Handle(aRequest, aReply);
    });
}
