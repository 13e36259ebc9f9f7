// explain REQUEST LOG...: one request's story out of log files, without any running program.
#include <algorithm> // for min
#include <fstream>   // for ifstream
#include <iostream>  // for cin, cout, cerr

#include "cli.hpp"
#include "ferrytray/telemetry/request_story.hpp" // for RequestStory

namespace ferrytray::cli {

namespace {

/// A collector that merges logs writes the host's name before each line.
std::string LogOf(const std::string& aName, const std::string& aLine)
{
  const std::string prefix = aLine.substr(0, std::min(aLine.find("event="), aLine.size()));
  const std::size_t end = prefix.find_last_not_of(' ');
  if (end == std::string::npos) {
    return aName;
  }
  const std::size_t space = prefix.find_last_of(' ', end);
  const std::size_t begin = space == std::string::npos ? 0 : space + 1;
  return prefix.substr(begin, end + 1 - begin) + " in " + aName;
}

void AddAll(std::istream& aFrom, const std::string& aName, telemetry::RequestStory& aTo)
{
  for (std::string line; std::getline(aFrom, line);) {
    aTo.Add(LogOf(aName, line), line);
  }
}

} // namespace

ExitCode ExplainFromLogs(const std::string& aRequest, const std::vector<std::string>& aLogs)
{
  telemetry::RequestStory story(aRequest);
  for (const std::string& name : aLogs) {
    if (name == "-") {
      AddAll(std::cin, "standard input", story);
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << "error " << static_cast<int>(base::ErrorCode::ConfigUnreadable)
                << ": cannot read " << name << "\n";
      return settings::kExitFailed;
    }
    AddAll(file, name, story);
  }
  const std::string text = story.Render();
  if (text.empty()) {
    std::cerr << "no line of these logs names request " << aRequest << "\n";
    return settings::kExitFailed;
  }
  std::cout << text;
  return settings::kExitOk;
}

} // namespace ferrytray::cli
