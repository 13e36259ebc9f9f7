#include "standins/engine.hpp"

using namespace ferrytray;
using settings::SettingKind;

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
      .Add({ "load-lag", "0", "lag of load reports", SettingKind::Millis })
      .Add(
        { "checks-fencing", "false", "refuse orders with old fencing numbers", SettingKind::Flag })
      .Build(argc, argv);
  int exitCode = 0;
  const auto* settings = settings::SettingsOrExit(parsed, exitCode);
  if (settings == nullptr) {
    return exitCode;
  }
  telemetry::StartLogging(argv[0]);
  standins::EngineOptions options;
  options.m_incarnation = settings->Text("incarnation");
  options.m_model = settings->Text("model");
  options.m_version = settings->Text("weight-version");
  options.m_weightStore = settings->Text("weight-store");
  options.m_tokensPerSecond = settings->Number("tokens-per-second");
  options.m_tokenTime = settings->Millis("token-time");
  options.m_cacheBlocks = settings->Count("cache-blocks");
  options.m_maxBatch = settings->Count("max-batch");
  options.m_swapTime = settings->Millis("swap-time");
  options.m_loadLag = settings->Millis("load-lag");
  options.m_checksFencing = settings->Flag("checks-fencing");
  net::Loop loop;
  standins::Engine engine(loop, options);
  return standins::Serve(
    loop, settings->Text("listen"), [&](net::HttpRequest aRequest, const auto& aReply) {
      engine.Handle(aRequest, aReply);
    });
}
