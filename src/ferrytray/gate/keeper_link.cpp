#include "ferrytray/gate/keeper_link.hpp"

#include <algorithm> // for find, max

#include "ferrytray/base/known_age.hpp"     // for ToMaxDenialAge, MayBeBehind
#include "ferrytray/config/parse.hpp"       // for Parse
#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::gate {

namespace {

constexpr base::Duration kReconnect = std::chrono::milliseconds(250);
constexpr base::Duration kReportEvery = std::chrono::milliseconds(250);
/// An answer to an older question tells nothing that is of use: 16 s with one each 250 ms.
constexpr std::size_t kQuestionsKept = 64;

} // namespace

KeeperLink::KeeperLink(net::Loop& aLoop, const GateOptions& aOptions, Handlers aHandlers)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handlers(std::move(aHandlers))
{
}

void KeeperLink::Start()
{
  Connect();
  m_reports = m_loop.Every(kReportEvery, [this] { ReportNow(); });
}

void KeeperLink::Connect()
{
  net::ConnectFrameChannel(
    m_loop, m_options.m_keeper, [this](std::shared_ptr<net::FrameChannel> aChannel) {
      if (!aChannel) {
        m_retry = m_loop.After(kReconnect, [this] { Connect(); });
        return;
      }
      telemetry::LogLine("keeper_connected").Add("position", m_position);
      m_channel = aChannel;
      aChannel->OnFrame([this](std::string_view aBytes) { OnFrame(aBytes); });
      aChannel->OnClosed([this] {
        telemetry::LogLine("keeper_lost").Add("position", m_position);
        m_channel = nullptr;
        m_retry = m_loop.After(kReconnect, [this] { Connect(); });
      });
      aChannel->Send(wire::EncodeFrame(wire::Hello{ m_options.m_host, true, m_position }));
      ReportNow();
    });
}

void KeeperLink::ReportNow()
{
  if (m_channel) {
    m_channel->Send(wire::EncodeFrame(m_handlers.m_makeReport()));
    AskAge();
  }
}

void KeeperLink::AskAge()
{
  m_askedAt.push_front(base::MonotonicNow());
  if (m_askedAt.size() > kQuestionsKept) {
    m_askedAt.pop_back();
  }
  m_channel->Send(wire::EncodeFrame(wire::ConfigurationAgeQuestion{ ++m_asked }));
}

void KeeperLink::Handle(const wire::ConfigurationAge& aAge)
{
  const std::uint64_t since = m_asked - aAge.m_question;
  if (aAge.m_question > m_asked || since >= m_askedAt.size()) {
    return; // in answer to one that was sent too long ago
  }
  const base::TimePoint heardAt = m_askedAt[since] - std::chrono::milliseconds(aAge.m_ageMillis);
  m_heardAt = std::max(m_heardAt.value_or(heardAt), heardAt);
}

bool KeeperLink::MayBeBehind(base::TimePoint aNow) const
{
  return base::MayBeBehind(m_heardAt, base::ToMaxDenialAge(m_options.m_configurationDue), aNow);
}

void KeeperLink::OnFrame(std::string_view aBytes)
{
  const auto frame = wire::DecodeFrame(aBytes);
  if (frame) {
    std::visit([this](const auto& aFrame) { Handle(aFrame); }, *frame);
  }
}

void KeeperLink::Handle(const wire::StateUpdate& aUpdate)
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

void KeeperLink::Handle(const wire::EndpointUpdate& aUpdate)
{
  m_handlers.m_onEndpoints(aUpdate);
}

void KeeperLink::Handle(const wire::PeerUpdate& aUpdate)
{
  m_members = aUpdate.m_members;
}

void KeeperLink::Handle(const wire::ShareUpdate& aUpdate)
{
  m_handlers.m_onShares(aUpdate);
}

void KeeperLink::Handle(const wire::HalfUpdate& aUpdate)
{
  m_halvesKnown = true;
  for (const wire::HalfEpochs& told : aUpdate.m_rules) {
    wire::HalfEpochs& epochs = m_epochs[told.m_rule];
    epochs.m_rule = told.m_rule;
    epochs.m_given = std::max(epochs.m_given, told.m_given);
    epochs.m_received = std::max(epochs.m_received, told.m_received);
  }
}

std::optional<wire::HalfEpochs> KeeperLink::Epochs(const std::string& aRule) const
{
  if (!m_halvesKnown) {
    return std::nullopt;
  }
  const auto found = m_epochs.find(aRule);
  return found == m_epochs.end() ? wire::HalfEpochs{ aRule, 0, 0 } : found->second;
}

const membership::Member* KeeperLink::TicketHome(const std::string& aIncarnation) const
{
  const membership::Member* home = nullptr;
  for (const membership::Member& member : m_members) {
    const bool has = std::find(member.m_tickets.begin(), member.m_tickets.end(), aIncarnation) !=
                     member.m_tickets.end();
    const bool better = home == nullptr || member.m_state == membership::MemberState::Alive;
    if (has && better && !member.m_gate.empty()) {
      home = &member;
    }
  }
  return home;
}

} // namespace ferrytray::gate
