#include "standins/store.hpp"

using namespace ferrytray;
using settings::SettingKind;

namespace {

standins::StoreOptions ToOptions(const settings::Settings& aSettings)
{
  standins::StoreOptions options;
  options.m_memoryBlocks = aSettings.Count("memory-blocks");
  options.m_diskBlocks = aSettings.Count("disk-blocks");
  options.m_linkBytesPerSecond = aSettings.Number("link-bytes-per-second");
  options.m_diskBytesPerSecond = aSettings.Number("disk-bytes-per-second");
  options.m_bytesPerBlock = aSettings.Number("bytes-per-block");
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-store", "A KV block store for tests and demonstrations.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "memory-blocks", "10000", "blocks in memory", SettingKind::Count })
      .Add({ "disk-blocks", "100000", "blocks on disk", SettingKind::Count })
      .Add({ "link-bytes-per-second", "1000000000", "speed of its link", SettingKind::Number })
      .Add({ "disk-bytes-per-second", "200000000", "speed of its disk", SettingKind::Number })
      .Add({ "bytes-per-block", "1000000", "transfer size of a block", SettingKind::Number })
      .Build(argc, argv);
  return settings::RunWith(parsed, [&](const settings::Settings& aSettings) {
    return standins::RunStandIn(argv[0], aSettings, [&](net::Loop& aLoop) {
      return std::make_unique<standins::Store>(aLoop, ToOptions(aSettings));
    });
  });
}
