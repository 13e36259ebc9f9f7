#include "ferrytray/keeper/half_controller.hpp"

#include <algorithm> // for all_of, find, max

#include <nlohmann/json.hpp> // for json

#include "ferrytray/telemetry/log_line.hpp" // for LogLine
#include "ferrytray/wire/half_view.hpp"     // for MakeHalfView

namespace ferrytray::keeper {

namespace {

using nlohmann::json;

constexpr const char* kTopic = "handover";
constexpr const char* kGiven = "given";
constexpr const char* kReceived = "received";
constexpr base::Duration kQueryTimeout = std::chrono::seconds(2);

/// Whether every listed host reports aRuleEpoch as drained. A partitioned host that has not
/// reported may still serve by its old configuration.
bool EveryGateDrained(const std::string& aRuleEpoch,
                      const std::set<std::string>& aListedHosts,
                      const std::vector<membership::Member>& aMembers)
{
  return std::all_of(aListedHosts.begin(), aListedHosts.end(), [&](const std::string& aHost) {
    return std::any_of(aMembers.begin(), aMembers.end(), [&](const membership::Member& aMember) {
      const auto& drained = aMember.m_drained;
      return aMember.m_host == aHost &&
             std::find(drained.begin(), drained.end(), aRuleEpoch) != drained.end();
    });
  });
}

} // namespace

HalfController::HalfController(net::Loop& aLoop,
                               net::HttpClient& aHttp,
                               const KeeperOptions& aOptions)
  : m_http(aHttp)
  , m_follower(aLoop, aHttp, aOptions.m_platform, kTopic)
  , m_appender(aHttp, aOptions.m_platform, kTopic)
{
}

void HalfController::Start()
{
  m_follower.Start(
    1, [this](const wire::LogPage& aPage) { OnPage(aPage); }, [](bool) {});
}

void HalfController::OnPage(const wire::LogPage& aPage)
{
  for (const wire::LogRecord& record : aPage.m_records) {
    const json object = json::parse(record.m_body, nullptr, false);
    const bool wellFormed = object.is_object() && object.value("rule", json()).is_string() &&
                            object.value("epoch", json()).is_number_unsigned() &&
                            object.value("kind", json()).is_string();
    if (!wellFormed) {
      continue;
    }
    const std::string rule = object["rule"].get<std::string>();
    wire::HalfEpochs& epochs = m_epochs[rule];
    epochs.m_rule = rule;
    std::uint64_t& epoch = object["kind"] == kGiven ? epochs.m_given : epochs.m_received;
    epoch = std::max(epoch, object["epoch"].get<std::uint64_t>());
  }
}

wire::HalfUpdate HalfController::Epochs() const
{
  wire::HalfUpdate update;
  for (const auto& [rule, epochs] : m_epochs) {
    update.m_rules.push_back(epochs);
  }
  return update;
}

wire::HalfEpochs HalfController::EpochsOf(const std::string& aRule) const
{
  const auto found = m_epochs.find(aRule);
  return found == m_epochs.end() ? wire::HalfEpochs{ aRule, 0, 0 } : found->second;
}

void HalfController::OnRound(const std::vector<const config::HalfRule*>& aRules,
                             const std::set<std::string>& aListedHosts,
                             const std::vector<membership::Member>& aMembers,
                             bool aIsResponsible)
{
  if (!aIsResponsible || !CaughtUp()) {
    return;
  }
  for (const config::HalfRule* rule : aRules) {
    const control::HalfView view = wire::MakeHalfView(*rule, EpochsOf(rule->m_name));
    const std::string ruleEpoch = rule->m_name + "@" + std::to_string(rule->m_epoch);
    if (control::MayRecordEpochEnd(view, EveryGateDrained(ruleEpoch, aListedHosts, aMembers))) {
      AppendRecord(kGiven, rule->m_name, rule->m_epoch);
    } else if (control::MustQueryOtherHalf(view)) {
      QueryOtherHalf(*rule);
    }
  }
}

void HalfController::AppendRecord(const char* aKind, const std::string& aRule, std::uint64_t aEpoch)
{
  if (m_appendPending) {
    return;
  }
  m_appendPending = true;
  telemetry::LogLine("half_recorded").Add("kind", aKind).Add("rule", aRule).Add("epoch", aEpoch);
  m_appender.Append(json{ { "kind", aKind }, { "rule", aRule }, { "epoch", aEpoch } }.dump(),
                    [this](const base::Result<std::uint64_t>& aOffset) {
                      m_appendPending = false;
                      if (aOffset) {
                        m_follower.ExpectRecord(*aOffset);
                      }
                    });
}

void HalfController::QueryOtherHalf(const config::HalfRule& aRule)
{
  if (!m_pendingQueries.insert(aRule.m_name).second) {
    return;
  }
  net::ClientRequest request;
  request.m_url = aRule.m_otherHalf + "/handover/" + aRule.m_name;
  request.m_timeout = kQueryTimeout;
  m_http.Fetch(std::move(request),
               [this, rule = aRule.m_name, awaitedEpoch = aRule.m_epoch - 1](
                 const net::ClientOutcome& aOutcome, const std::string& aBody) {
                 m_pendingQueries.erase(rule);
                 const json reply = json::parse(aBody, nullptr, false);
                 const bool replied = aOutcome.m_status == 200 && reply.is_object();
                 const std::uint64_t recordedEpoch =
                   replied ? reply.value("epoch", std::uint64_t{ 0 }) : 0;
                 if (recordedEpoch >= awaitedEpoch) {
                   AppendRecord(kReceived, rule, awaitedEpoch);
                 }
               });
}

} // namespace ferrytray::keeper
