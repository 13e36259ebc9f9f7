#include "ferrytray/gate/crash_log_client.hpp"

#include <utility> // for exchange

#include <nlohmann/json.hpp> // for json

#include "ferrytray/base/digest.hpp"        // for Hash64, ToHex
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

using nlohmann::json;
using quarantine::CrashNotice;

constexpr const char* kTopic = "crashes";

/// Upper bound for learning other gates' observations, even if a single read of the log hangs.
constexpr base::Duration kMaxPropagationDelay = std::chrono::seconds(3);

/// Delays before the next append: after new notices, and after a failed append.
constexpr base::Duration kFlushDelay = std::chrono::milliseconds(50);
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(500);

/// Limit while the log is unavailable; beyond it the newest observations are dropped.
constexpr std::size_t kMaxPendingNotices = 1024;

std::string Encode(const quarantine::CrashNotices& aNotices)
{
  json all = json::array();
  for (const CrashNotice& notice : aNotices) {
    all.push_back({ static_cast<int>(notice.m_kind),
                    base::ToHex(notice.m_content),
                    notice.m_endpoint,
                    notice.m_sequence });
  }
  return all.dump();
}

/// @throws json::exception for text that Encode() cannot have written
quarantine::CrashNotices Decode(const std::string& aText)
{
  quarantine::CrashNotices notices;
  for (const json& row : json::parse(aText)) {
    const auto request = base::DigestFromHex(row.at(1).get<std::string>());
    notices.push_back({ static_cast<quarantine::NoticeKind>(row.at(0).get<std::uint8_t>()),
                        request.value_or(quarantine::ContentKey{}),
                        row.at(2).get<quarantine::EndpointKey>(),
                        row.at(3).get<std::uint64_t>() });
  }
  return notices;
}

quarantine::EndpointKey EndpointKeyOf(const std::string& aEndpointIncarnation)
{
  return base::Hash64("life", aEndpointIncarnation);
}

} // namespace

CrashLogClient::CrashLogClient(net::Loop& aLoop,
                               net::HttpClient& aHttp,
                               const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_follower(aLoop,
               aHttp,
               aOptions.m_platform,
               kTopic,
               wire::MakeFollowerOptions(kMaxPropagationDelay))
  , m_appender(aHttp, aOptions.m_platform, kTopic)
{
}

void CrashLogClient::Start()
{
  m_follower.Start(
    1,
    [this](const wire::LogPage& aPage) { OnPage(aPage); },
    [](bool aReachable) {
      telemetry::LogLine("crash_log").Add("reachable", aReachable ? "yes" : "no");
    });
}

void CrashLogClient::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    try {
      for (const CrashNotice& notice : Decode(record.m_body)) {
        m_tracker.OnNotice(notice, base::MonotonicNow());
      }
    } catch (const json::exception& error) {
      telemetry::LogLine("crashes_unreadable")
        .Add("offset", record.m_offset)
        .Add("why", error.what());
    }
  }
}

void CrashLogClient::OnConnectionLost(const quarantine::ContentKey& aRequest,
                                      const std::string& aEndpointIncarnation,
                                      base::TimePoint aSentAt)
{
  const quarantine::NoticeOffset before = m_tracker.Notices().End();
  m_tracker.OnConnectionBroken(
    aRequest, EndpointKeyOf(aEndpointIncarnation), aSentAt, base::MonotonicNow());
  telemetry::LogLine("endpoint_broke_off")
    .Add("request_key", base::ToHex(aRequest))
    .Add("endpoint", aEndpointIncarnation)
    .Add("quarantined", m_tracker.IsQuarantined(aRequest) ? "yes" : "no");
  QueueNoticesSince(before);
}

void CrashLogClient::OnCompleteResponse(const quarantine::ContentKey& aRequest)
{
  const quarantine::NoticeOffset before = m_tracker.Notices().End();
  m_tracker.OnCompleteAnswer(aRequest);
  QueueNoticesSince(before);
}

void CrashLogClient::OnClosedResponse(const quarantine::ContentKey& aRequest,
                                      const std::string& aEndpointIncarnation)
{
  m_tracker.OnClosedAnswer(aRequest, EndpointKeyOf(aEndpointIncarnation), base::MonotonicNow());
}

void CrashLogClient::OnReply(const std::string& aEndpointIncarnation, base::TimePoint aSentAt)
{
  const quarantine::NoticeOffset before = m_tracker.Notices().End();
  m_tracker.OnEndpointReply(EndpointKeyOf(aEndpointIncarnation), aSentAt);
  QueueNoticesSince(before);
}

void CrashLogClient::QueueNoticesSince(quarantine::NoticeOffset aFrom)
{
  for (const CrashNotice& notice : m_tracker.Notices().Since(aFrom, kMaxPendingNotices)) {
    if (m_pendingNotices.size() < kMaxPendingNotices) {
      m_pendingNotices.push_back(notice);
    }
  }
  if (!m_pendingNotices.empty() && !m_appending && !m_flush) {
    m_flush = m_loop.After(kFlushDelay, [this] { Flush(); });
  }
}

void CrashLogClient::Flush()
{
  m_flush.reset();
  const quarantine::CrashNotices sent = std::exchange(m_pendingNotices, {});
  m_appending = true;
  m_appender.Append(Encode(sent), [this, sent](const base::Result<std::uint64_t>& aOffset) {
    m_appending = false;
    if (aOffset) {
      m_follower.ExpectRecord(*aOffset);
    } else {
      // The append may have succeeded; duplicate notices count once.
      m_pendingNotices.insert(m_pendingNotices.begin(), sent.begin(), sent.end());
    }
    if (!m_pendingNotices.empty()) {
      m_flush = m_loop.After(aOffset ? kFlushDelay : kRetryDelay, [this] { Flush(); });
    }
  });
}

} // namespace ferrytray::gate
