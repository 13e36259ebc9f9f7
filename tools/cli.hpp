#pragma once

#include <string> // for string
#include <vector> // for vector

#include "ferrytray/config/parse.hpp"         // for Document, Problems
#include "ferrytray/net/http_client.hpp"      // for ClientRequest
#include "ferrytray/replay/config_replay.hpp" // for ConfigReplay
#include "ferrytray/settings/settings.hpp"    // for Settings

namespace ferrytray::cli {

/// One command's answer: the exit code of the program.
using ExitCode = int;

ExitCode Validate(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Diff(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Apply(const settings::Settings& aSettings, const std::vector<std::string>& aFiles);
ExitCode Status(const settings::Settings& aSettings);
ExitCode Explain(const settings::Settings& aSettings, const std::string& aRequest);
/// Reads the platform hosts' logs ("-": standard input) instead of asking a gate.
ExitCode ExplainFromLogs(const std::string& aRequest, const std::vector<std::string>& aLogs);
ExitCode SummarizeLogs(const std::vector<std::string>& aLogs);
ExitCode Drain(const settings::Settings& aSettings, const std::string& aEndpoint);

/// A file read and checked by itself; problems are printed.
struct LoadedFile
{
  std::string m_name;
  std::string m_text;
  config::Document m_document;
};
std::vector<LoadedFile> LoadFiles(const std::vector<std::string>& aFiles, bool& aOk);
void PrintProblems(const config::Problems& aProblems);

/// One HTTP call, waited for.
struct HttpResult
{
  net::ClientOutcome m_outcome;
  std::string m_body;
};
HttpResult SendAndWait(net::ClientRequest aRequest);

} // namespace ferrytray::cli
