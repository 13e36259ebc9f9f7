#include "ferrytray/gate/claim_log_client.hpp"

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr const char* kTopic = "claims";
constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);

once::ClaimOptions ClaimOptionsFrom(const GateOptions& aOptions)
{
  once::ClaimOptions options;
  options.m_settleTimeout = aOptions.m_claimTimeout;
  options.m_window = aOptions.m_claimWindow;
  return options;
}

base::Digest128 RandomClaimId()
{
  return *base::DigestFromHex(base::RandomHex128());
}

} // namespace

ClaimLogClient::ClaimLogClient(net::Loop& aLoop,
                               net::HttpClient& aHttp,
                               const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_holder(aOptions.m_incarnation)
  , m_coordinator(ClaimOptionsFrom(aOptions))
  , m_answers(aOptions.m_maxStoredResponseBytes)
  , m_follower(aLoop, aHttp, aOptions.m_platform, kTopic)
  , m_appender(aHttp, aOptions.m_platform, kTopic)
{
}

void ClaimLogClient::Start()
{
  m_follower.Start(
    1,
    [this](const wire::LogPage& aPage) { OnPage(aPage); },
    [](bool aReachable) {
      telemetry::LogLine("claim_log").Add("reachable", aReachable ? "yes" : "no");
    });
  m_tickTimer = m_loop.Every(
    kTickInterval, [this] { PerformActions(m_coordinator.OnTick(base::MonotonicNow())); });
}

void ClaimLogClient::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    const auto entries = once::DecodeEntries(record.m_body);
    if (!entries) {
      telemetry::LogLine("claims_unreadable").Add("offset", record.m_offset);
      continue;
    }
    PerformActions(m_coordinator.OnRecord({ record.m_offset, record.m_time }, *entries));
  }
}

base::Digest128 ClaimLogClient::Claim(const base::Digest128& aKey,
                                      const base::Digest128& aRequest,
                                      OnSettled aOnSettled)
{
  const base::Digest128 id = RandomClaimId();
  const auto held = m_coordinator.Table().Find(aKey);
  if (held) {
    aOnSettled(once::ClaimLost{ id, *held });
    return id;
  }
  if (!CanSettle()) {
    aOnSettled(once::ClaimUnsettled{ id });
    return id;
  }
  m_pendingClaims.emplace(id, std::move(aOnSettled));
  PerformActions(m_coordinator.OnClaim({ id, aKey, aRequest, m_holder }, base::MonotonicNow()));
  return id;
}

void ClaimLogClient::Complete(const base::Digest128& aClaim,
                              const base::Digest128& aKey,
                              std::optional<once::StoredAnswer> aAnswer)
{
  if (aAnswer) {
    m_answers.Put(aKey, std::move(*aAnswer));
  }
  PerformActions(m_coordinator.OnDone(aClaim));
}

void ClaimLogClient::Release(const base::Digest128& aClaim)
{
  PerformActions(m_coordinator.OnNotRun(aClaim));
}

std::optional<once::StoredAnswer> ClaimLogClient::FindResponse(const base::Digest128& aKey) const
{
  return m_answers.Find(aKey);
}

void ClaimLogClient::PerformActions(const once::ClaimActions& aActions)
{
  for (const once::ClaimAction& action : aActions) {
    std::visit([this](const auto& aAction) { PerformAction(aAction); }, action);
  }
}

void ClaimLogClient::PerformAction(const once::AppendBatch& aAction)
{
  m_appender.Append(once::EncodeEntries(aAction.m_entries),
                    [this](const base::Result<std::uint64_t>& aOffset) {
                      if (aOffset) {
                        m_follower.ExpectRecord(*aOffset);
                      }
                      PerformActions(m_coordinator.OnAppendEnded(aOffset.has_value()));
                    });
}

void ClaimLogClient::PerformAction(const once::ClaimWon& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimLogClient::PerformAction(const once::ClaimLost& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimLogClient::PerformAction(const once::ClaimUnsettled& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimLogClient::Settle(const base::Digest128& aClaim, const once::ClaimAction& aAction)
{
  const auto found = m_pendingClaims.find(aClaim);
  if (found == m_pendingClaims.end()) {
    return;
  }
  const OnSettled onSettled = std::move(found->second);
  m_pendingClaims.erase(found);
  onSettled(aAction);
}

} // namespace ferrytray::gate
