#include "ferrytray/gate/keeper_connection.hpp"

#include <algorithm> // for find, max

#include "ferrytray/base/known_age.hpp"     // for ToMaxDenialAge, MayBeBehind
#include "ferrytray/config/parse.hpp"       // for Parse
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr base::Duration kReconnectDelay = std::chrono::milliseconds(250);
constexpr base::Duration kReportInterval = std::chrono::milliseconds(250);
/// Covers 16 s at one question per 250 ms; replies to older questions are of no use.
constexpr std::size_t kMaxPendingQuestions = 64;

} // namespace

KeeperConnection::KeeperConnection(net::Loop& aLoop,
                                   const GateOptions& aOptions,
                                   Handlers aHandlers)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handlers(std::move(aHandlers))
{
}

void KeeperConnection::Start()
{
  Connect();
  m_reportTimer = m_loop.Every(kReportInterval, [this] { ReportNow(); });
}

void KeeperConnection::Connect()
{
  net::ConnectFrameChannel(
    m_loop, m_options.m_keeper, [this](std::shared_ptr<net::FrameChannel> aChannel) {
      if (!aChannel) {
        m_reconnectTimer = m_loop.After(kReconnectDelay, [this] { Connect(); });
        return;
      }
      telemetry::LogLine("keeper_connected").Add("position", m_position);
      m_channel = aChannel;
      aChannel->OnFrame([this](std::string_view aBytes) { OnFrame(aBytes); });
      aChannel->OnClosed([this] {
        telemetry::LogLine("keeper_lost").Add("position", m_position);
        m_channel = nullptr;
        m_reconnectTimer = m_loop.After(kReconnectDelay, [this] { Connect(); });
      });
      aChannel->Send(wire::EncodeFrame(wire::Hello{ m_options.m_host, true, m_position }));
      ReportNow();
    });
}

void KeeperConnection::ReportNow()
{
  if (m_channel) {
    m_channel->Send(wire::EncodeFrame(m_handlers.m_makeReport()));
    RequestConfigAge();
  }
}

void KeeperConnection::RequestConfigAge()
{
  m_questionSentAt.push_front(base::MonotonicNow());
  if (m_questionSentAt.size() > kMaxPendingQuestions) {
    m_questionSentAt.pop_back();
  }
  m_channel->Send(wire::EncodeFrame(wire::ConfigurationAgeRequest{ ++m_lastQuestion }));
}

void KeeperConnection::Handle(const wire::ConfigurationAge& aAge)
{
  const std::uint64_t index = m_lastQuestion - aAge.m_requestId;
  if (aAge.m_requestId > m_lastQuestion || index >= m_questionSentAt.size()) {
    return; // reply to a question that is no longer tracked
  }
  const base::TimePoint configKnownAt =
    m_questionSentAt[index] - std::chrono::milliseconds(aAge.m_ageMillis);
  m_configKnownAt = std::max(m_configKnownAt.value_or(configKnownAt), configKnownAt);
}

bool KeeperConnection::MayBeBehind(base::TimePoint aNow) const
{
  return base::MayBeBehind(
    m_configKnownAt, base::ToMaxDenialAge(m_options.m_maxConfigurationDelay), aNow);
}

void KeeperConnection::OnFrame(std::string_view aBytes)
{
  const auto frame = wire::DecodeFrame(aBytes);
  if (frame) {
    std::visit([this](const auto& aFrame) { Handle(aFrame); }, *frame);
  }
}

void KeeperConnection::Handle(const wire::StateUpdate& aUpdate)
{
  for (const replay::ScopeState& scope : aUpdate.m_scopes) {
    std::uint64_t& accepted = m_accepted[scope.m_scope];
    if (scope.m_acceptedOffset <= accepted) {
      continue;
    }
    auto parsed = config::Parse(scope.m_body, scope.m_scope);
    if (!parsed) {
      telemetry::LogLine("config_unparsed")
        .Add("scope", scope.m_scope)
        .Add("why", parsed.error().front().m_message);
      continue;
    }
    accepted = scope.m_acceptedOffset;
    auto document = std::make_shared<const config::Document>(std::move(*parsed));
    m_registry.Put(document);
    m_handlers.m_onDocument(*document);
    telemetry::LogLine("config_in_force").Add("scope", scope.m_scope).Add("offset", accepted);
  }
  m_position = std::max(m_position, aUpdate.m_position);
  m_hasConfig = true;
  ReportNow();
}

void KeeperConnection::Handle(const wire::EndpointUpdate& aUpdate)
{
  m_handlers.m_onEndpoints(aUpdate);
}

void KeeperConnection::Handle(const wire::PeerUpdate& aUpdate)
{
  m_members = aUpdate.m_members;
}

void KeeperConnection::Handle(const wire::ShareUpdate& aUpdate)
{
  m_handlers.m_onShares(aUpdate);
}

void KeeperConnection::Handle(const wire::HalfUpdate& aUpdate)
{
  m_epochsKnown = true;
  for (const wire::HalfEpochs& reported : aUpdate.m_rules) {
    wire::HalfEpochs& epochs = m_epochs[reported.m_rule];
    epochs.m_rule = reported.m_rule;
    epochs.m_given = std::max(epochs.m_given, reported.m_given);
    epochs.m_received = std::max(epochs.m_received, reported.m_received);
  }
}

std::optional<wire::HalfEpochs> KeeperConnection::Epochs(const std::string& aRule) const
{
  if (!m_epochsKnown) {
    return std::nullopt;
  }
  const auto found = m_epochs.find(aRule);
  return found == m_epochs.end() ? wire::HalfEpochs{ aRule, 0, 0 } : found->second;
}

const membership::Member* KeeperConnection::FindTicketHolder(const std::string& aIncarnation) const
{
  const membership::Member* holder = nullptr;
  for (const membership::Member& member : m_members) {
    const bool has = std::find(member.m_tickets.begin(), member.m_tickets.end(), aIncarnation) !=
                     member.m_tickets.end();
    const bool better = holder == nullptr || member.m_state == membership::MemberState::Alive;
    if (has && better && !member.m_gate.empty()) {
      holder = &member;
    }
  }
  return holder;
}

} // namespace ferrytray::gate
