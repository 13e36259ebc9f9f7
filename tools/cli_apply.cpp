#include <chrono>   // for milliseconds
#include <iostream> // for cout, cerr
#include <optional> // for optional
#include <thread>   // for this_thread::sleep_until

#include <nlohmann/json.hpp> // for json

#include "cli.hpp"
#include "ferrytray/base/digest.hpp"     // for RandomHex128, Sha256Hex
#include "ferrytray/config/diff.hpp"     // for Diff
#include "ferrytray/net/loop.hpp"        // for Loop
#include "ferrytray/wire/log_client.hpp" // for LogClient

namespace ferrytray::cli {

namespace {

using nlohmann::json;

constexpr const char* kConfigStream = "config";
constexpr base::Duration kPollInterval = std::chrono::milliseconds(100);
/// The log usually answers within milliseconds; the timeout allows for a slow one.
constexpr base::Duration kReadTimeout = std::chrono::seconds(3);

/// The configuration stream's records and the state that replaying them gives.
struct StreamState
{
  replay::ConfigReplay m_replay;
  std::vector<replay::LoggedRecord> m_records;
  std::vector<replay::ReplayOutcome> m_outcomes;
};

base::Result<wire::LogPage> ReadPage(const settings::Settings& aSettings, std::uint64_t aFrom)
{
  net::Loop loop;
  const auto http = net::HttpClient::Create(loop);
  wire::LogClient log(*http, aSettings.Text("platform"), kConfigStream);
  base::Result<wire::LogPage> result;
  log.Read(aFrom, base::Duration::zero(), kReadTimeout, [&](base::Result<wire::LogPage> aPage) {
    result = std::move(aPage);
    loop.Stop();
  });
  loop.Run();
  return result;
}

base::Result<StreamState> ReadStream(const settings::Settings& aSettings)
{
  StreamState state;
  std::uint64_t from = 1;
  while (true) {
    const auto page = ReadPage(aSettings, from);
    if (!page) {
      return tl::unexpected(page.error());
    }
    for (const wire::LogRecord& record : page->m_records) {
      auto decoded = replay::Decode(record.m_body);
      if (decoded) {
        state.m_records.push_back({ record.m_offset, record.m_time, std::move(*decoded) });
      }
      from = record.m_offset + 1;
    }
    if (page->m_records.empty() || from >= page->m_endOffset) {
      break;
    }
  }
  state.m_outcomes = state.m_replay.Bootstrap(state.m_records);
  return state;
}

base::Result<std::uint64_t> AppendFile(const settings::Settings& aSettings,
                                       const replay::FileRecord& aFile)
{
  net::Loop loop;
  const auto http = net::HttpClient::Create(loop);
  wire::LogClient log(*http, aSettings.Text("platform"), kConfigStream);
  base::Result<std::uint64_t> result;
  log.Append(replay::Encode(aFile), [&](base::Result<std::uint64_t> aOffset) {
    result = std::move(aOffset);
    loop.Stop();
  });
  loop.Run();
  return result;
}

void PrintFailure(const base::Failure& aFailure)
{
  std::cerr << "error " << static_cast<int>(aFailure.m_code) << ": " << aFailure.m_message << "\n";
}

std::vector<config::Document> AcceptedDocuments(const replay::ConfigReplay& aReplay,
                                                const std::string& aExcludedScope)
{
  std::vector<config::Document> documents;
  for (const auto& [name, scope] : aReplay.Scopes()) {
    auto parsed = config::Parse(scope.m_body, name);
    if (name != aExcludedScope && scope.m_acceptedOffset > 0 && parsed) {
      documents.push_back(std::move(*parsed));
    }
  }
  return documents;
}

/// Finds an appended record by its id, which works even if the reply to the append was lost.
std::optional<std::pair<std::uint64_t, replay::ReplayOutcome>> FindById(const StreamState& aState,
                                                                        const std::string& aId)
{
  for (std::size_t i = 0; i < aState.m_records.size(); ++i) {
    const auto* file = std::get_if<replay::FileRecord>(&aState.m_records[i].m_record);
    if (file != nullptr && file->m_id == aId) {
      return std::pair{ aState.m_records[i].m_offset, aState.m_outcomes[i] };
    }
  }
  return std::nullopt;
}

/// How many alive hosts have applied an offset, and the names of those that have not.
struct RolloutProgress
{
  std::size_t m_hostsInForce = 0;
  std::size_t m_aliveHosts = 0;
  std::string m_hostsBehind;
};

RolloutProgress ReadRolloutProgress(const settings::Settings& aSettings, std::uint64_t aOffset)
{
  net::ClientRequest request;
  request.m_url = aSettings.Text("keeper-http") + "/status";
  const HttpResult result = SendAndWait(std::move(request));
  RolloutProgress progress;
  const json status = json::parse(result.m_body, nullptr, false);
  if (!status.is_object()) {
    return progress;
  }
  for (const json& member : status.value("members", json::array())) {
    if (member.value("state", "") != "alive") {
      continue;
    }
    ++progress.m_aliveHosts;
    if (member.value("position", std::uint64_t{ 0 }) >= aOffset) {
      ++progress.m_hostsInForce;
    } else {
      progress.m_hostsBehind += " " + member.value("host", "?");
    }
  }
  return progress;
}

bool WaitUntilInForce(const settings::Settings& aSettings, std::uint64_t aOffset)
{
  const base::TimePoint end = base::MonotonicNow() + aSettings.Millis("wait");
  RolloutProgress progress;
  while (base::MonotonicNow() < end) {
    progress = ReadRolloutProgress(aSettings, aOffset);
    if (progress.m_aliveHosts > 0 && progress.m_hostsInForce == progress.m_aliveHosts) {
      break;
    }
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + kPollInterval);
  }
  std::cout << "in force on " << progress.m_hostsInForce << " of " << progress.m_aliveHosts
            << " hosts";
  if (!progress.m_hostsBehind.empty()) {
    std::cout << "; behind:" << progress.m_hostsBehind;
  }
  std::cout << "\n";
  return progress.m_aliveHosts > 0 && progress.m_hostsInForce == progress.m_aliveHosts;
}

ExitCode ApplyOne(const settings::Settings& aSettings, const LoadedFile& aFile)
{
  const auto before = ReadStream(aSettings);
  if (!before) {
    PrintFailure(before.error());
    return settings::kExitFailed;
  }
  const std::string& scope = aFile.m_document.m_scope;
  const auto problems = config::CheckAcrossScopes(
    aFile.m_document, AcceptedDocuments(before->m_replay, scope), aFile.m_name);
  if (!problems.empty()) {
    PrintProblems(problems);
    return settings::kExitFailed;
  }
  const replay::ScopeState* current = before->m_replay.Find(scope);
  const replay::FileRecord record{
    base::RandomHex128(),          scope,        current == nullptr ? 0 : current->m_acceptedOffset,
    base::Sha256Hex(aFile.m_text), aFile.m_text, config::kSchema
  };
  const auto appended = AppendFile(aSettings, record);
  const auto after = ReadStream(aSettings);
  const auto own = after ? FindById(*after, record.m_id) : std::nullopt;
  if (!own) {
    const base::Failure unknown{
      base::ErrorCode::PlatformUnavailable,
      "the log did not confirm the file; it may still come into force; check 'status'",
      {},
      {}
    };
    PrintFailure(after && appended ? unknown : appended ? after.error() : unknown);
    return settings::kExitFailed;
  }
  if (const auto* rejected = std::get_if<replay::Rejected>(&own->second)) {
    std::cout << aFile.m_name << ": rejected: " << rejected->m_reason << "; scope '" << scope
              << "' is at offset " << rejected->m_expectedBaseOffset << " (error "
              << static_cast<int>(base::ErrorCode::ConfigConflict) << ")\n";
    return settings::kExitFailed;
  }
  std::cout << aFile.m_name << ": accepted at offset " << own->first << "\n";
  return WaitUntilInForce(aSettings, own->first) ? settings::kExitOk : settings::kExitFailed;
}

} // namespace

ExitCode Apply(const settings::Settings& aSettings, const std::vector<std::string>& aFiles)
{
  bool ok = false;
  const auto loaded = LoadFiles(aFiles, ok);
  if (!ok) {
    return settings::kExitFailed;
  }
  for (const LoadedFile& file : loaded) {
    const ExitCode code = ApplyOne(aSettings, file);
    if (code != settings::kExitOk) {
      return code;
    }
  }
  return settings::kExitOk;
}

ExitCode Diff(const settings::Settings& aSettings, const std::vector<std::string>& aFiles)
{
  bool ok = false;
  const auto loaded = LoadFiles(aFiles, ok);
  const auto stream = ReadStream(aSettings);
  if (!ok || !stream) {
    if (!stream) {
      PrintFailure(stream.error());
    }
    return settings::kExitFailed;
  }
  for (const LoadedFile& file : loaded) {
    config::Document before;
    const replay::ScopeState* scope = stream->m_replay.Find(file.m_document.m_scope);
    if (scope != nullptr && scope->m_acceptedOffset > 0) {
      before = config::Parse(scope->m_body, scope->m_scope).value_or(config::Document{});
    }
    std::cout << file.m_name << " (scope " << file.m_document.m_scope << ")\n";
    for (const config::Change& change : config::Diff(before, file.m_document)) {
      std::cout << "  " << config::ToString(change) << "\n";
    }
  }
  return settings::kExitOk;
}

} // namespace ferrytray::cli
