#include <iomanip>  // for setw
#include <iostream> // for cout, cerr

#include <nlohmann/json.hpp> // for json

#include "cli.hpp"

namespace ferrytray::cli {

namespace {

using nlohmann::json;

constexpr int kWideColumn = 18;
constexpr int kNarrowColumn = 10;

void PrintMembers(const json& aStatus)
{
  std::cout << std::left << std::setw(kWideColumn) << "HOST" << std::setw(kNarrowColumn) << "ZONE"
            << std::setw(kNarrowColumn) << "STATE" << std::setw(kNarrowColumn) << "POSITION"
            << "GATE\n";
  for (const json& member : aStatus.at("members")) {
    std::cout << std::setw(kWideColumn) << member.at("host").get<std::string>()
              << std::setw(kNarrowColumn) << member.at("zone").get<std::string>()
              << std::setw(kNarrowColumn) << member.at("state").get<std::string>()
              << std::setw(kNarrowColumn) << member.at("position").get<std::uint64_t>()
              << member.at("gate").get<std::string>() << "\n";
  }
}

void PrintEndpoints(const json& aStatus)
{
  std::cout << "\n"
            << std::setw(kWideColumn) << "ENDPOINT" << std::setw(kWideColumn) << "POOL"
            << std::setw(kNarrowColumn) << "ZONE" << std::setw(kNarrowColumn) << "VERSION"
            << std::setw(kNarrowColumn) << "QUEUE"
            << "STATE\n";
  for (const json& endpoint : aStatus.at("endpoints")) {
    const std::string queue = std::to_string(endpoint.at("queued_ms").get<std::uint64_t>()) + " ms";
    std::cout << std::setw(kWideColumn) << endpoint.at("name").get<std::string>()
              << std::setw(kWideColumn) << endpoint.at("pool").get<std::string>()
              << std::setw(kNarrowColumn) << endpoint.at("zone").get<std::string>()
              << std::setw(kNarrowColumn) << endpoint.at("version").get<std::string>()
              << std::setw(kNarrowColumn) << queue
              << (endpoint.at("leaving").get<bool>() ? "leaving" : "live") << "\n";
  }
}

/// Sends a request and stores the reply's body. Any status but 200 is reported on standard error.
bool Fetch(const std::string& aMethod, const std::string& aUrl, std::string& aBody)
{
  net::ClientRequest request;
  request.m_method = aMethod;
  request.m_url = aUrl;
  HttpResult result = SendAndWait(std::move(request));
  aBody = std::move(result.m_body);
  if (!net::EndedWithoutFailure(result.m_outcome)) {
    std::cerr << "error: " << aUrl << ": " << result.m_outcome.m_detail << "\n";
    return false;
  }
  if (result.m_outcome.m_status != 200) {
    std::cerr << "error: " << aUrl << ": " << aBody << "\n";
    return false;
  }
  return true;
}

} // namespace

ExitCode Status(const settings::Settings& aSettings)
{
  std::string body;
  if (!Fetch("GET", aSettings.Text("keeper-http") + "/status", body)) {
    return settings::kExitFailed;
  }
  const json status = json::parse(body);
  if (aSettings.Flag("json")) {
    std::cout << status.dump(2) << "\n";
    return settings::kExitOk;
  }
  std::cout << "position " << status.at("position").get<std::uint64_t>() << ", log "
            << (status.at("log_reachable").get<bool>() ? "reachable" : "away") << "\n\n";
  PrintMembers(status);
  PrintEndpoints(status);
  return settings::kExitOk;
}

ExitCode Explain(const settings::Settings& aSettings, const std::string& aRequest)
{
  std::string body;
  if (!Fetch("GET", aSettings.Text("gate-http") + "/explain/" + aRequest, body)) {
    return settings::kExitFailed;
  }
  const json decisions = json::parse(body);
  if (aSettings.Flag("json")) {
    std::cout << decisions.dump(2) << "\n";
    return settings::kExitOk;
  }
  for (const json& decision : decisions) {
    std::cout << "request " << decision.at("request").get<std::string>() << " of "
              << decision.at("account").get<std::string>() << " to fleet "
              << decision.at("fleet").get<std::string>() << ": "
              << decision.at("worker").get<std::string>() << "\n";
    for (const json& candidate : decision.at("candidates")) {
      std::cout << "  " << std::left << std::setw(kWideColumn)
                << candidate.at("worker").get<std::string>();
      if (!candidate.at("considered").get<bool>()) {
        std::cout << "not considered\n";
        continue;
      }
      std::cout << "cost " << candidate.at("cost").get<double>() << ", first token "
                << candidate.at("first_token_us").get<std::int64_t>() / 1000.0 << " ms, restore "
                << candidate.at("restore_blocks").get<int>() << " blocks, recompute "
                << candidate.at("recompute_tokens").get<int>() << " tokens\n";
    }
  }
  return settings::kExitOk;
}

ExitCode Drain(const settings::Settings& aSettings, const std::string& aEndpoint)
{
  std::string body;
  const bool ok =
    Fetch("POST", aSettings.Text("keeper-http") + "/drain?endpoint=" + aEndpoint, body);
  std::cout << body;
  return ok ? settings::kExitOk : settings::kExitFailed;
}

} // namespace ferrytray::cli
