#include "ferrytray/keeper/config_sync.hpp"

#include <utility> // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::keeper {

namespace {

constexpr const char* kTopic = "config";

void LogOutcome(const replay::Accepted& aAccepted, std::uint64_t aOffset)
{
  telemetry::LogLine("config_accepted").Add("scope", aAccepted.m_scope).Add("offset", aOffset);
}

void LogOutcome(const replay::Rejected& aRejected, std::uint64_t aOffset)
{
  telemetry::LogLine("config_rejected")
    .Add("scope", aRejected.m_scope)
    .Add("offset", aOffset)
    .Add("reason", aRejected.m_reason);
}

void LogOutcome(const replay::Unchanged&, std::uint64_t) {}

std::vector<replay::LoggedRecord> DecodeRecords(const std::vector<wire::LogRecord>& aRecords)
{
  std::vector<replay::LoggedRecord> decodedRecords;
  for (const wire::LogRecord& record : aRecords) {
    auto decoded = replay::Decode(record.m_body);
    if (!decoded) {
      telemetry::LogLine("config_unreadable")
        .Add("offset", record.m_offset)
        .Add("why", decoded.error().m_message);
      continue;
    }
    decodedRecords.push_back({ record.m_offset, record.m_time, std::move(*decoded) });
  }
  return decodedRecords;
}

} // namespace

ConfigSync::ConfigSync(net::Loop& aLoop,
                       net::HttpClient& aHttp,
                       const std::string& aPlatform,
                       base::Duration aMaxDelay)
  : m_follower(aLoop, aHttp, aPlatform, kTopic, wire::MakeFollowerOptions(aMaxDelay))
  , m_appender(aHttp, aPlatform, kTopic)
{
}

void ConfigSync::Start(OnChange aOnChange)
{
  m_onChange = std::move(aOnChange);
  m_follower.Start(
    1,
    [this](const wire::LogPage& aPage) { OnPage(aPage); },
    [](bool aReachable) {
      telemetry::LogLine("config_log").Add("reachable", aReachable ? "yes" : "no");
    });
}

void ConfigSync::OnPage(const wire::LogPage& aPage)
{
  std::vector<replay::LoggedRecord> decodedRecords = DecodeRecords(aPage.m_records);
  // If records were truncated before this host read them, bootstrap again from the retained ones.
  const bool skippedRecords =
    m_bootstrapped && aPage.m_firstRetained > m_replay.Position() + 1 && !decodedRecords.empty();
  if (m_bootstrapped && !skippedRecords) {
    for (const replay::LoggedRecord& record : decodedRecords) {
      const auto outcome = m_replay.Apply(record);
      std::visit([&](const auto& aOutcome) { LogOutcome(aOutcome, record.m_offset); }, outcome);
    }
    m_onChange();
    return;
  }
  m_bootstrapRecords.insert(m_bootstrapRecords.end(), decodedRecords.begin(), decodedRecords.end());
  const std::uint64_t lastOffset =
    aPage.m_records.empty() ? aPage.m_endOffset - 1 : aPage.m_records.back().m_offset;
  if (lastOffset + 1 < aPage.m_endOffset) {
    return;
  }
  m_replay.Bootstrap(m_bootstrapRecords);
  m_bootstrapRecords.clear();
  m_bootstrapped = true;
  telemetry::LogLine("config_started").Add("position", m_replay.Position());
  m_onChange();
}

void ConfigSync::OnPeerState(const wire::StateUpdate& aUpdate)
{
  const auto changed = m_replay.Merge(aUpdate.m_position, aUpdate.m_scopes);
  m_receivedFromPeer = true;
  for (const std::string& scope : changed) {
    telemetry::LogLine("config_from_peer").Add("scope", scope).Add("position", aUpdate.m_position);
  }
  m_onChange();
}

void ConfigSync::RenewDueScope(base::Duration aMaxAge, bool aIsResponsible)
{
  if (!aIsResponsible || m_renewalPending || !m_bootstrapped || !m_follower.Reachable()) {
    return;
  }
  const auto dueScopes =
    m_replay.DueRenewals(m_follower.PlatformTime(base::MonotonicNow()), aMaxAge);
  if (dueScopes.empty()) {
    return;
  }
  m_renewalPending = true;
  m_appender.Append(
    replay::Encode(dueScopes.front()),
    [this, scope = dueScopes.front().m_scope](const auto& aOffset) {
      m_renewalPending = false;
      telemetry::LogLine("config_renewed").Add("scope", scope).Add("ok", aOffset ? "yes" : "no");
    });
}

} // namespace ferrytray::keeper
