// Implements `explain REQUEST LOG...` and `summarize LOG...`, which read log files only and need no
// running gate or keeper.
#include <algorithm> // for min
#include <fstream>   // for ifstream
#include <iostream>  // for cin, cout, cerr

#include "cli.hpp"
#include "ferrytray/telemetry/log_summary.hpp"   // for LogSummary
#include "ferrytray/telemetry/request_trace.hpp" // for RequestTrace

namespace ferrytray::cli {

namespace {

/// The name of a line's source. A collector that merges logs prefixes each line with a host name.
std::string LogSource(const std::string& aName, const std::string& aLine)
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

/// Calls aOnLine with the source and text of every line; "-" is standard input.
/// @return false, after printing an error, if a log cannot be read
template<typename OnLine>
bool ForEachLine(const std::vector<std::string>& aLogs, const OnLine& aOnLine)
{
  const auto readLines = [&aOnLine](std::istream& aFrom, const std::string& aName) {
    for (std::string line; std::getline(aFrom, line);) {
      aOnLine(LogSource(aName, line), line);
    }
  };
  for (const std::string& name : aLogs) {
    if (name == "-") {
      readLines(std::cin, "standard input");
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << "error " << static_cast<int>(base::ErrorCode::ConfigUnreadable)
                << ": cannot read " << name << "\n";
      return false;
    }
    readLines(file, name);
  }
  return true;
}

ExitCode PrintOrFail(const std::string& aText, const std::string& aEmptyMessage)
{
  if (aText.empty()) {
    std::cerr << aEmptyMessage << "\n";
    return settings::kExitFailed;
  }
  std::cout << aText;
  return settings::kExitOk;
}

} // namespace

ExitCode ExplainFromLogs(const std::string& aRequest, const std::vector<std::string>& aLogs)
{
  telemetry::RequestTrace story(aRequest);
  const bool read = ForEachLine(
    aLogs, [&](const std::string& aLog, const std::string& aLine) { story.Add(aLog, aLine); });
  return read ? PrintOrFail(story.Render(), "no line of these logs names request " + aRequest)
              : settings::kExitFailed;
}

ExitCode SummarizeLogs(const std::vector<std::string>& aLogs)
{
  telemetry::LogSummary summary;
  const bool read =
    ForEachLine(aLogs, [&](const std::string&, const std::string& aLine) { summary.Add(aLine); });
  return read ? PrintOrFail(summary.Render(), "no request has ended in these logs")
              : settings::kExitFailed;
}

} // namespace ferrytray::cli
