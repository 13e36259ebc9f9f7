#include "standins/engine.hpp"

using namespace ferrytray;
using settings::SettingKind;

namespace {

standins::EngineOptions ToOptions(const settings::Settings& aSettings)
{
  standins::EngineOptions options;
  options.m_incarnation = aSettings.Text("incarnation");
  options.m_model = aSettings.Text("model");
  options.m_version = aSettings.Text("weight-version");
  options.m_weightStore = aSettings.Text("weight-store");
  options.m_tokensPerSecond = aSettings.Number("tokens-per-second");
  options.m_tokenTime = aSettings.Millis("token-time");
  options.m_cacheBlocks = aSettings.Count("cache-blocks");
  options.m_maxBatch = aSettings.Count("max-batch");
  options.m_swapTime = aSettings.Millis("swap-time");
  options.m_loadLag = aSettings.Millis("load-lag");
  options.m_checksFencing = aSettings.Flag("checks-fencing");
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  const auto parsed =
    settings::SettingsBuilder("standin-engine", "A model engine for tests and demonstrations.")
      .Add({ "listen", "127.0.0.1:0", "IP:PORT" })
      .Add({ "incarnation", "1", "changes with each start" })
      .Add({ "model", "datasheet", "model name" })
      .Add({ "weight-version", "1", "weight version loaded at the start" })
      .Add({ "weight-store", "", "http://IP:PORT that swaps download from" })
      .Add({ "tokens-per-second", "20000", "prefill speed", SettingKind::Number })
      .Add({ "token-time", "2", "decode time of a token", SettingKind::Millis })
      .Add({ "cache-blocks", "4096", "KV blocks that fit in memory", SettingKind::Count })
      .Add({ "max-batch", "64", "streams decoded together", SettingKind::Count })
      .Add({ "swap-time", "1000", "weight swap after the download", SettingKind::Millis })
      .Add({ "load-lag", "0", "age of the load reports", SettingKind::Millis })
      .Add({ "checks-fencing",
             "false",
             "reject orders with stale fencing numbers",
             SettingKind::Flag })
      .Build(argc, argv);
  return settings::RunWith(parsed, [&](const settings::Settings& aSettings) {
    return standins::RunStandIn(argv[0], aSettings, [&](net::Loop& aLoop) {
      return std::make_unique<standins::Engine>(aLoop, ToOptions(aSettings));
    });
  });
}
