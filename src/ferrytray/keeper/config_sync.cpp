#include "ferrytray/keeper/config_sync.hpp"

#include <utility> // for move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::keeper {

namespace {

constexpr const char* kStream = "config";

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

std::vector<replay::LoggedRecord> Place(const std::vector<wire::LogRecord>& aRecords)
{
  std::vector<replay::LoggedRecord> placed;
  for (const wire::LogRecord& record : aRecords) {
    auto decoded = replay::Decode(record.m_body);
    if (!decoded) {
      telemetry::LogLine("config_unreadable")
        .Add("offset", record.m_offset)
        .Add("why", decoded.error().m_message);
      continue;
    }
    placed.push_back({ record.m_offset, record.m_time, std::move(*decoded) });
  }
  return placed;
}

} // namespace

ConfigSync::ConfigSync(net::Loop& aLoop,
                       net::HttpClient& aHttp,
                       const std::string& aPlatform,
                       base::Duration aDue)
  : m_follower(aLoop, aHttp, aPlatform, kStream, wire::FollowWithin(aDue))
  , m_appender(aHttp, aPlatform, kStream)
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
  std::vector<replay::LoggedRecord> placed = Place(aPage.m_records);
  // A reader that fell behind the log's head starts anew from what is kept.
  const bool missed = m_booted && aPage.m_firstKept > m_replay.Position() + 1 && !placed.empty();
  if (m_booted && !missed) {
    for (const replay::LoggedRecord& record : placed) {
      const auto outcome = m_replay.Apply(record);
      std::visit([&](const auto& aOutcome) { LogOutcome(aOutcome, record.m_offset); }, outcome);
    }
    m_onChange();
    return;
  }
  m_bootRecords.insert(m_bootRecords.end(), placed.begin(), placed.end());
  const std::uint64_t last =
    aPage.m_records.empty() ? aPage.m_next - 1 : aPage.m_records.back().m_offset;
  if (last + 1 < aPage.m_next) {
    return;
  }
  m_replay.Bootstrap(m_bootRecords);
  m_bootRecords.clear();
  m_booted = true;
  telemetry::LogLine("config_started").Add("position", m_replay.Position());
  m_onChange();
}

void ConfigSync::OnPeerState(const wire::StateUpdate& aUpdate)
{
  const auto changed = m_replay.Merge(aUpdate.m_position, aUpdate.m_scopes);
  m_toldByPeer = true;
  for (const std::string& scope : changed) {
    telemetry::LogLine("config_from_peer").Add("scope", scope).Add("position", aUpdate.m_position);
  }
  m_onChange();
}

void ConfigSync::RenewDue(base::Duration aAge, bool aMine)
{
  if (!aMine || m_renewing || !m_booted || !m_follower.Reachable()) {
    return;
  }
  const auto due = m_replay.DueRenewals(m_follower.PlatformTime(base::MonotonicNow()), aAge);
  if (due.empty()) {
    return;
  }
  m_renewing = true;
  m_appender.Append(
    replay::Encode(due.front()), [this, scope = due.front().m_scope](const auto& aOffset) {
      m_renewing = false;
      telemetry::LogLine("config_renewed").Add("scope", scope).Add("ok", aOffset ? "yes" : "no");
    });
}

} // namespace ferrytray::keeper
