#include "cli.hpp"

#include <fstream>  // for ifstream
#include <iostream> // for cout, cerr
#include <iterator> // for istreambuf_iterator

#include "ferrytray/net/loop.hpp" // for Loop

namespace ferrytray::cli {

void PrintProblems(const config::Problems& aProblems)
{
  for (const config::Problem& problem : aProblems) {
    std::cerr << config::ToString(problem) << "\n";
  }
}

std::vector<LoadedFile> LoadFiles(const std::vector<std::string>& aFiles, bool& aOk)
{
  std::vector<LoadedFile> loaded;
  aOk = !aFiles.empty();
  if (aFiles.empty()) {
    std::cerr << "error: no file given; pass one or more files\n";
  }
  for (const std::string& name : aFiles) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
      PrintProblems({ { base::ErrorCode::ConfigUnreadable, name, 1, 1, "cannot be read" } });
      aOk = false;
      continue;
    }
    std::string text{ std::istreambuf_iterator<char>(file), {} };
    auto parsed = config::Parse(text, name);
    if (!parsed) {
      PrintProblems(parsed.error());
      aOk = false;
      continue;
    }
    loaded.push_back({ name, std::move(text), std::move(*parsed) });
  }
  return loaded;
}

HttpResult SendAndWait(net::ClientRequest aRequest)
{
  net::Loop loop;
  const auto http = net::HttpClient::Create(loop);
  HttpResult result;
  http->Fetch(std::move(aRequest), [&](const net::ClientOutcome& aOutcome, std::string aBody) {
    result = { aOutcome, std::move(aBody) };
    loop.Stop();
  });
  loop.Run();
  return result;
}

ExitCode Validate(const settings::Settings&, const std::vector<std::string>& aFiles)
{
  bool ok = false;
  const auto loaded = LoadFiles(aFiles, ok);
  for (const LoadedFile& file : loaded) {
    std::vector<config::Document> others;
    for (const LoadedFile& other : loaded) {
      if (&other != &file) {
        others.push_back(other.m_document);
      }
    }
    const auto problems = config::CheckAcrossScopes(file.m_document, others, file.m_name);
    PrintProblems(problems);
    ok = ok && problems.empty();
  }
  if (ok) {
    std::cout << "valid: " << loaded.size() << " file(s)\n";
  }
  return ok ? settings::kExitOk : settings::kExitFailed;
}

namespace {

ExitCode RunCommand(const settings::Settings& aSettings)
{
  std::vector<std::string> arguments = aSettings.Arguments();
  if (arguments.empty()) {
    std::cerr << "error: no command given; see --help\n";
    return settings::kExitBadSettings;
  }
  const std::string command = arguments.front();
  arguments.erase(arguments.begin());
  if (command == "validate") {
    return Validate(aSettings, arguments);
  }
  if (command == "diff") {
    return Diff(aSettings, arguments);
  }
  if (command == "apply") {
    return Apply(aSettings, arguments);
  }
  if (command == "status") {
    return Status(aSettings);
  }
  if (command == "explain" && arguments.size() == 1) {
    return Explain(aSettings, arguments.front());
  }
  if (command == "summarize" && !arguments.empty()) {
    return SummarizeLogs(arguments);
  }
  if (command == "explain" && arguments.size() > 1) {
    return ExplainFromLogs(arguments.front(), { arguments.begin() + 1, arguments.end() });
  }
  if (command == "drain" && arguments.size() == 1) {
    return Drain(aSettings, arguments.front());
  }
  std::cerr << "error: unknown command or wrong number of arguments: '" << command
            << "'; see --help\n";
  return settings::kExitBadSettings;
}

} // namespace

} // namespace ferrytray::cli

int main(int argc, char** argv)
{
  using namespace ferrytray;
  using settings::SettingKind;
  const auto parsed =
    settings::SettingsBuilder("ferrytray", "Operates ferrytray.")
      .AllowArguments(
        "validate FILE... | diff FILE... | apply FILE... | status | explain REQUEST [LOG...] "
        "| summarize LOG... | drain ENDPOINT")
      .Add({ "platform", "http://127.0.0.1:8090", "http://IP:PORT of the platform" })
      .Add({ "keeper-http", "http://127.0.0.1:8081", "http://IP:PORT of a keeper's status" })
      .Add({ "gate-http", "http://127.0.0.1:8080", "http://IP:PORT of a gate" })
      .Add({ "wait", "10000", "how long apply waits for every host", SettingKind::Millis })
      .Add({ "json", "false", "print JSON", SettingKind::Flag })
      .Build(argc, argv);
  return settings::RunWith(parsed, &cli::RunCommand);
}
