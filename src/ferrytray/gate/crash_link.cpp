#include "ferrytray/gate/crash_link.hpp"

#include <utility> // for exchange

#include <nlohmann/json.hpp> // for json

#include "ferrytray/base/digest.hpp"        // for Hash64, ToHex
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;
using quarantine::CrashNotice;

constexpr const char* kStream = "crashes";

/// What other gates saw is known within so long, whatever the log does with one read.
constexpr base::Duration kKnownWithin = std::chrono::seconds(3);

/// Between appends, and after one that failed.
constexpr base::Duration kFlushAfter = std::chrono::milliseconds(50);
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(500);

/// While the log is away; beyond that the newest observations are dropped.
constexpr std::size_t kMostUntold = 1024;

std::string Encode(const quarantine::CrashNotices& aNotices)
{
  json all = json::array();
  for (const CrashNotice& notice : aNotices) {
    all.push_back({ static_cast<int>(notice.m_kind),
                    base::ToHex(notice.m_request),
                    notice.m_endpoint,
                    notice.m_sequence });
  }
  return all.dump();
}

/// @throws json::exception for anything that Encode() does not write
quarantine::CrashNotices Decode(const std::string& aText)
{
  quarantine::CrashNotices notices;
  for (const json& row : json::parse(aText)) {
    const auto request = base::DigestFromHex(row.at(1).get<std::string>());
    notices.push_back({ static_cast<quarantine::NoticeKind>(row.at(0).get<std::uint8_t>()),
                        request.value_or(quarantine::RequestKey{}),
                        row.at(2).get<quarantine::EndpointKey>(),
                        row.at(3).get<std::uint64_t>() });
  }
  return notices;
}

quarantine::EndpointKey KeyOfLife(const std::string& aLife)
{
  return base::Hash64("life", aLife);
}

} // namespace

CrashLink::CrashLink(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_follower(aLoop, aHttp, aOptions.m_platform, kStream, wire::MakeFollowerOptions(kKnownWithin))
  , m_appender(aHttp, aOptions.m_platform, kStream)
{
}

void CrashLink::Start()
{
  m_follower.Start(
    1,
    [this](const wire::LogPage& aPage) { OnPage(aPage); },
    [](bool aReachable) {
      telemetry::LogLine("crash_log").Add("reachable", aReachable ? "yes" : "no");
    });
}

void CrashLink::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    try {
      for (const CrashNotice& notice : Decode(record.m_body)) {
        m_board.OnNotice(notice, base::MonotonicNow());
      }
    } catch (const json::exception& error) {
      telemetry::LogLine("crashes_unreadable")
        .Add("offset", record.m_offset)
        .Add("why", error.what());
    }
  }
}

void CrashLink::OnBroken(const quarantine::RequestKey& aRequest,
                         const std::string& aLife,
                         base::TimePoint aSentAt)
{
  const quarantine::NoticeOffset before = m_board.Notices().End();
  m_board.OnConnectionBroken(aRequest, KeyOfLife(aLife), aSentAt, base::MonotonicNow());
  telemetry::LogLine("endpoint_broke_off")
    .Add("request_key", base::ToHex(aRequest))
    .Add("endpoint", aLife)
    .Add("quarantined", m_board.IsQuarantined(aRequest) ? "yes" : "no");
  TellSince(before);
}

void CrashLink::OnAnswered(const quarantine::RequestKey& aRequest)
{
  const quarantine::NoticeOffset before = m_board.Notices().End();
  m_board.OnCompleteAnswer(aRequest);
  TellSince(before);
}

void CrashLink::OnReply(const std::string& aLife, base::TimePoint aSentAt)
{
  const quarantine::NoticeOffset before = m_board.Notices().End();
  m_board.OnEndpointReply(KeyOfLife(aLife), aSentAt);
  TellSince(before);
}

void CrashLink::TellSince(quarantine::NoticeOffset aFrom)
{
  for (const CrashNotice& notice : m_board.Notices().Since(aFrom, kMostUntold)) {
    if (m_untold.size() < kMostUntold) {
      m_untold.push_back(notice);
    }
  }
  if (!m_untold.empty() && !m_appending && !m_flush) {
    m_flush = m_loop.After(kFlushAfter, [this] { Flush(); });
  }
}

void CrashLink::Flush()
{
  m_flush.reset();
  const quarantine::CrashNotices told = std::exchange(m_untold, {});
  m_appending = true;
  m_appender.Append(Encode(told), [this, told](const base::Result<std::uint64_t>& aOffset) {
    m_appending = false;
    if (aOffset) {
      m_follower.ExpectRecord(*aOffset);
    } else {
      // It may have been written; told twice, it counts once.
      m_untold.insert(m_untold.begin(), told.begin(), told.end());
    }
    if (!m_untold.empty()) {
      m_flush = m_loop.After(aOffset ? kFlushAfter : kRetryAfter, [this] { Flush(); });
    }
  });
}

} // namespace ferrytray::gate
