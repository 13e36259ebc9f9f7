#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/parse.hpp"         // for Document, Problems
#include "ferrytray/net/http_client.hpp"      // for ClientRequest
#include "ferrytray/replay/config_replay.hpp" // for ConfigReplay
#include "ferrytray/settings/settings.hpp"    // for Settings

namespace ferrytray::cli {

/// A command's process exit code.
using ExitCode = int;

ExitCode Validate(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Diff(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Apply(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Status(const settings::Settings& aSettings);
ExitCode Explain(const settings::Settings& aSettings, const std::string& aRequest);
/// Explains a request from log files of the hosts ("-": standard input), without querying a gate.
ExitCode ExplainFromLogs(const std::string& aRequest, const std::vector<std::string>& aLogs);
ExitCode SummarizeLogs(const std::vector<std::string>& aLogs);
ExitCode Drain(const settings::Settings& aSettings, const std::string& aEndpoint);

/// A configuration file that was parsed and validated on its own, without the other scopes.
struct LoadedFile
{
  std::string m_name;
  std::string m_text;
  config::Document m_document;
};
/// Loads the files and prints the problems of those that are unreadable or invalid.
std::vector<LoadedFile> LoadFiles(const std::vector<std::string>& aFiles, bool& aOk);
void PrintProblems(const config::Problems& aProblems);

/// The outcome and body of an HTTP call.
struct HttpResult
{
  net::ClientOutcome m_outcome;
  std::string m_body;
};
/// Sends an HTTP request and blocks until it has ended.
HttpResult SendAndWait(net::ClientRequest aRequest);

} // namespace ferrytray::cli
