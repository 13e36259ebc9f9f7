#include "ferrytray/gate/claims_link.hpp"

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr const char* kStream = "claims";
constexpr base::Duration kTick = std::chrono::milliseconds(100);

once::ClaimOptions OptionsOf(const GateOptions& aOptions)
{
  once::ClaimOptions options;
  options.m_settleTimeout = aOptions.m_claimTimeout;
  options.m_window = aOptions.m_claimWindow;
  return options;
}

base::Digest128 RandomId()
{
  return *base::DigestFromHex(base::RandomHex128());
}

} // namespace

ClaimsLink::ClaimsLink(net::Loop& aLoop, net::HttpClient& aHttp, const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_holder(aOptions.m_incarnation)
  , m_coordinator(OptionsOf(aOptions))
  , m_answers(aOptions.m_keptAnswerBytes)
  , m_follower(aLoop, aHttp, aOptions.m_platform, kStream)
  , m_appender(aHttp, aOptions.m_platform, kStream)
{
}

void ClaimsLink::Start()
{
  m_follower.Start(
    1,
    [this](const wire::LogPage& aPage) { OnPage(aPage); },
    [](bool aReachable) {
      telemetry::LogLine("claim_log").Add("reachable", aReachable ? "yes" : "no");
    });
  m_tick = m_loop.Every(kTick, [this] { Perform(m_coordinator.OnTick(base::MonotonicNow())); });
}

void ClaimsLink::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    const auto entries = once::DecodeEntries(record.m_body);
    if (!entries) {
      telemetry::LogLine("claims_unreadable").Add("offset", record.m_offset);
      continue;
    }
    Perform(m_coordinator.OnRecord({ record.m_offset, record.m_time }, *entries));
  }
}

base::Digest128 ClaimsLink::Claim(const base::Digest128& aKey,
                                  const base::Digest128& aRequest,
                                  OnSettled aOnSettled)
{
  const base::Digest128 id = RandomId();
  const auto held = m_coordinator.Table().Find(aKey);
  if (held) {
    aOnSettled(once::ClaimLost{ id, *held });
    return id;
  }
  if (!Usable()) {
    aOnSettled(once::ClaimUnsettled{ id });
    return id;
  }
  m_waiting.emplace(id, std::move(aOnSettled));
  Perform(m_coordinator.OnClaim({ id, aKey, aRequest, m_holder }, base::MonotonicNow()));
  return id;
}

void ClaimsLink::Done(const base::Digest128& aClaim,
                      const base::Digest128& aKey,
                      std::optional<once::StoredAnswer> aAnswer)
{
  if (aAnswer) {
    m_answers.Put(aKey, std::move(*aAnswer));
  }
  Perform(m_coordinator.OnDone(aClaim));
}

void ClaimsLink::NotRun(const base::Digest128& aClaim)
{
  Perform(m_coordinator.OnNotRun(aClaim));
}

std::optional<once::StoredAnswer> ClaimsLink::StoredAnswer(const base::Digest128& aKey) const
{
  return m_answers.Find(aKey);
}

void ClaimsLink::Perform(const once::ClaimActions& aActions)
{
  for (const once::ClaimAction& action : aActions) {
    std::visit([this](const auto& aAction) { PerformOne(aAction); }, action);
  }
}

void ClaimsLink::PerformOne(const once::AppendBatch& aAction)
{
  m_appender.Append(once::EncodeEntries(aAction.m_entries),
                    [this](const base::Result<std::uint64_t>& aOffset) {
                      if (aOffset) {
                        m_follower.ExpectRecord(*aOffset);
                      }
                      Perform(m_coordinator.OnAppendEnded(aOffset.has_value()));
                    });
}

void ClaimsLink::PerformOne(const once::ClaimWon& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimsLink::PerformOne(const once::ClaimLost& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimsLink::PerformOne(const once::ClaimUnsettled& aAction)
{
  Settle(aAction.m_id, aAction);
}

void ClaimsLink::Settle(const base::Digest128& aClaim, const once::ClaimAction& aAction)
{
  const auto found = m_waiting.find(aClaim);
  if (found == m_waiting.end()) {
    return;
  }
  const OnSettled onSettled = std::move(found->second);
  m_waiting.erase(found);
  onSettled(aAction);
}

} // namespace ferrytray::gate
