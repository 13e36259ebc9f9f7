#include "ferrytray/gate/gate.hpp"

#include <algorithm> // for all_of
#include <cctype>    // for isalnum

#include <nlohmann/json.hpp> // for json

#include "ferrytray/control/half_rule.hpp"     // for MayServe
#include "ferrytray/gate/cache_watch.hpp"      // for CacheWatch
#include "ferrytray/gate/model_exchange.hpp"   // for ModelExchange
#include "ferrytray/gate/operator_pages.hpp"   // for AnswerOperator
#include "ferrytray/gate/service_exchange.hpp" // for ServiceExchange
#include "ferrytray/gate/ticket_handover.hpp"  // for TicketMover
#include "ferrytray/telemetry/log_line.hpp"    // for LogLine
#include "ferrytray/wire/half_view.hpp"        // for MakeHalfView

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using net::HttpRequest;
using ReplyPtr = std::shared_ptr<net::HttpReply>;

constexpr base::Duration kSecond = std::chrono::seconds(1);
constexpr base::Duration kDrainPoll = std::chrono::milliseconds(20);
constexpr std::size_t kMaxRequestId = 64;
// What the server reads before it gives up without an answer; under it the answer is numbered.
constexpr std::size_t kReadFactor = 4;

/// The caller's X-Request-Id if it is a plain word, else a new one.
std::string RequestIdOf(const HttpRequest& aRequest)
{
  const std::string_view given = aRequest.Header("X-Request-Id");
  const bool plain = std::all_of(given.begin(), given.end(), [](unsigned char aByte) {
    return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
  });
  const bool fits = !given.empty() && given.size() <= kMaxRequestId;
  return plain && fits ? std::string(given) : base::RandomHex128();
}

std::optional<AnswerShape> ShapeOf(const std::string& aPath)
{
  if (aPath == "/v1/completions") {
    return AnswerShape::Completion;
  }
  if (aPath == "/v1/chat/completions") {
    return AnswerShape::Chat;
  }
  return std::nullopt;
}

class GateImpl final : public Gate
{
public:
  GateImpl(net::Loop& aLoop, const GateOptions& aOptions)
    : m_core(aLoop, aOptions)
    , m_queues(m_core)
    , m_exporter(m_core)
    , m_cacheWatch(m_core)
    , m_mover(m_core)
  {
  }

  base::Result<void> Listen()
  {
    net::HttpServerOptions options;
    options.m_listen = m_core.m_options.m_listen;
    options.m_maxBodyBytes = m_core.m_options.m_maxBodyBytes * kReadFactor;
    auto server = net::HttpServer::Create(
      m_core.m_loop, options, [this](HttpRequest aRequest, ReplyPtr aReply) {
        OnRequest(aRequest, aReply);
      });
    if (!server) {
      return tl::unexpected(server.error());
    }
    m_server = std::move(*server);
    return m_mover.Listen();
  }

  void Start()
  {
    KeeperLink::Handlers handlers;
    handlers.m_onDocument = [this](const config::Document& aDocument) { OnDocument(aDocument); };
    handlers.m_onEndpoints = [this](const wire::EndpointUpdate& aUpdate) {
      m_core.m_view.OnEndpoints(aUpdate.m_endpoints, base::MonotonicNow());
    };
    handlers.m_onShares = [this](const wire::ShareUpdate& aUpdate) { OnShares(aUpdate); };
    handlers.m_makeReport = [this] { return MakeReport(); };
    m_core.m_keeper =
      std::make_unique<KeeperLink>(m_core.m_loop, m_core.m_options, std::move(handlers));
    m_core.m_keeper->Start();
    m_core.m_claims.Start();
    m_core.m_crashes.Start();
    m_queues.Start();
    m_cacheWatch.Start();
    m_expiry = m_core.m_loop.Every(kSecond, [this] { OnSecond(); });
  }

  [[nodiscard]] net::Address ListenAddress() const override { return m_server->ListenAddress(); }

  void Drain(std::function<void()> aDone) override
  {
    telemetry::LogLine("drain_begins").Add("open", m_core.m_openWork);
    m_draining = true;
    m_drainDone = std::move(aDone);
    // Not ready, but still serving, until the balancer has had time to notice.
    m_drainTimer = m_core.m_loop.After(m_core.m_options.m_drainWait, [this] { WaitForStreams(); });
  }

private:
  // --- planned stop ------------------------------------------------------------------------

  void WaitForStreams()
  {
    m_drainTimer = m_core.m_loop.Every(kDrainPoll, [this] {
      if (m_core.m_openWork > 0 || m_givingAway) {
        return;
      }
      m_givingAway = true;
      m_mover.GiveAway([this] {
        telemetry::LogLine("drain_ends").Add("open", m_core.m_openWork);
        // Requests that came after the freeze were refused at once; their answers still go out.
        m_drainTimer = m_core.m_loop.After(kSecond, m_drainDone);
      });
    });
  }

  // --- news from the keeper ----------------------------------------------------------------

  /// Only what changed: a change costs its own size.
  void OnDocument(const config::Document& aDocument)
  {
    const base::TimePoint now = base::MonotonicNow();
    for (const config::ClientAccount& account : aDocument.m_accounts) {
      m_core.m_limiter.SetLimit(
        account.m_name,
        { account.m_requestsPerSecond, account.m_burst, account.m_maxConcurrent },
        now);
    }
  }

  void OnShares(const wire::ShareUpdate& aUpdate)
  {
    const base::TimePoint now = base::MonotonicNow();
    for (const auto& [account, share] : aUpdate.m_shares) {
      m_core.m_limiter.SetShare(account, share, now);
    }
  }

  wire::GateReport MakeReport()
  {
    wire::GateReport report;
    report.m_address = net::ToString(ListenAddress());
    report.m_control = net::ToString(m_mover.ControlAddress());
    report.m_position = m_core.m_keeper->Position();
    report.m_openWork = m_core.m_openWork;
    report.m_tickets = m_core.m_tickets.Incarnations();
    report.m_demand = { m_demand.begin(), m_demand.end() };
    const auto& leaving = m_core.m_view.Leaving().All();
    report.m_leaving = { leaving.begin(), leaving.end() };
    report.m_drained = DrainedRules();
    return report;
  }

  void OnSecond()
  {
    m_core.m_tickets.Expire(base::MonotonicNow());
    // A moving average, so that shares do not jump with every burst.
    constexpr double kKeep = 0.7;
    for (auto it = m_demand.begin(); it != m_demand.end();) {
      const auto asked = static_cast<double>(m_core.m_limiter.TakeDemand(it->first));
      it->second = it->second * kKeep + asked * (1 - kKeep);
      it = it->second < 1e-3 ? m_demand.erase(it) : std::next(it);
    }
  }

  // --- requests ----------------------------------------------------------------------------

  void OnRequest(const HttpRequest& aRequest, const ReplyPtr& aReply)
  {
    if (AnswerOperator(m_core, m_server->Counters(), m_draining, aRequest, aReply)) {
      return;
    }
    const std::string id = RequestIdOf(aRequest);
    const auto served = Serve(aRequest, aReply, id);
    if (!served) {
      m_core.m_metrics.Count("requests_refused_total{code=\"" +
                             std::to_string(static_cast<int>(served.error().m_code)) + "\"}");
      SendFailure(*aReply, served.error(), id);
    }
  }

  base::Result<void> Serve(const HttpRequest& aRequest,
                           const ReplyPtr& aReply,
                           const std::string& aId)
  {
    if (aRequest.m_body.size() > m_core.m_options.m_maxBodyBytes) {
      return base::Fail(ErrorCode::BodyTooLarge,
                        "the body is over " + std::to_string(m_core.m_options.m_maxBodyBytes) +
                          " bytes");
    }
    if (aRequest.HeaderBytes() > m_core.m_options.m_maxHeaderBytes) {
      return base::Fail(ErrorCode::HeaderTooLarge,
                        "the headers are over " +
                          std::to_string(m_core.m_options.m_maxHeaderBytes) + " bytes");
    }
    if (!m_core.m_keeper->HasConfig()) {
      return base::Fail(ErrorCode::NotReady, "no configuration is in force yet");
    }
    auto terms = ReadTerms(aRequest);
    if (!terms) {
      return tl::unexpected(terms.error());
    }
    const config::ClientAccount* account =
      m_core.m_keeper->Registry().AccountByKey(base::Sha256Hex(terms->m_key));
    if (account == nullptr) {
      return Deny(ErrorCode::UnknownKey, "the key belongs to no client account");
    }
    m_demand.try_emplace(account->m_name, 0);
    if (aRequest.m_path == "/v1/tickets") {
      return IssueTicket(aRequest, aReply, *account);
    }
    if (const auto shape = ShapeOf(aRequest.m_path)) {
      return ServeModel(aRequest, aReply, aId, *terms, *account, *shape);
    }
    return ServeService(aRequest, aReply, aId, *terms, *account);
  }

  /// What looks unknown may be in a configuration that this gate has not heard of.
  [[nodiscard]] base::Result<void> Deny(ErrorCode aCode, const std::string& aWhy) const
  {
    if (!m_core.m_keeper->MayBeBehind(base::MonotonicNow())) {
      return base::Fail(aCode, aWhy);
    }
    return tl::unexpected(base::Failure{ ErrorCode::NotReady,
                                         "the configuration may be out of date",
                                         base::RunState::NotRun,
                                         kSecond });
  }

  base::Result<void> IssueTicket(const HttpRequest& aRequest,
                                 const ReplyPtr& aReply,
                                 const config::ClientAccount& aAccount)
  {
    if (aRequest.m_method != "POST") {
      return base::Fail(ErrorCode::MethodNotAllowed, "expected POST");
    }
    const auto ticket =
      m_core.m_tickets.Issue(aAccount.m_name, base::RandomHex128(), base::MonotonicNow());
    if (!ticket) {
      return tl::unexpected(ticket.error());
    }
    aReply->Send(200,
                 { { "Content-Type", "application/json" } },
                 nlohmann::json{ { "ticket", *ticket } }.dump());
    return {};
  }

  /// Whether this half may serve what a rule covers.
  base::Result<void> CheckOwner(const config::HalfRule* aRule) const
  {
    if (aRule == nullptr) {
      return {};
    }
    const auto epochs = m_core.m_keeper->Epochs(aRule->m_name);
    if (epochs && control::MayServe(wire::MakeHalfView(*aRule, *epochs))) {
      return {};
    }
    return tl::unexpected(base::Failure{ ErrorCode::OtherHalfOwns,
                                         "served by the other half: " + aRule->m_otherHalf,
                                         base::RunState::NotRun,
                                         kSecond });
  }

  /// Hand-overs that this gate refuses new work of and has none open of.
  [[nodiscard]] std::vector<std::string> DrainedRules() const
  {
    std::vector<std::string> drained;
    for (const config::HalfRule* rule : m_core.m_keeper->Registry().Rules()) {
      const std::string owner =
        rule->m_fleet ? "fleet " + *rule->m_fleet : "account " + rule->m_account.value_or("");
      if (rule->m_owner == config::Owner::HandingOver && !m_core.m_openOf.contains(owner)) {
        drained.push_back(rule->m_name + "@" + std::to_string(rule->m_epoch));
      }
    }
    return drained;
  }

  base::Result<void> ServeModel(const HttpRequest& aRequest,
                                const ReplyPtr& aReply,
                                const std::string& aId,
                                const CallerTerms& aTerms,
                                const config::ClientAccount& aAccount,
                                AnswerShape aShape)
  {
    if (aRequest.m_method != "POST") {
      return base::Fail(ErrorCode::MethodNotAllowed, "expected POST");
    }
    auto model = ReadModelRequest(aShape, aRequest.m_body);
    if (!model) {
      return tl::unexpected(model.error());
    }
    const replay::Registry& registry = m_core.m_keeper->Registry();
    const config::Fleet* fleet = registry.FleetByModel(model->m_model);
    if (fleet == nullptr) {
      return Deny(ErrorCode::UnknownModel, "no fleet serves model '" + model->m_model + "'");
    }
    for (const config::HalfRule* rule :
         { registry.RuleForFleet(fleet->m_name), registry.RuleForAccount(aAccount.m_name) }) {
      const auto owner = CheckOwner(rule);
      if (!owner) {
        return owner;
      }
    }
    const base::TimePoint now = base::MonotonicNow();
    const auto admitted = m_core.m_limiter.Admit(aAccount.m_name, now);
    if (!admitted) {
      return admitted;
    }
    ModelCall call{ aId, aRequest, aTerms, std::move(*model), aAccount, *fleet, now };
    std::make_shared<ModelExchange>(
      m_core, ExchangeServices{ m_queues, m_exporter }, std::move(call), aReply)
      ->Start();
    return {};
  }

  base::Result<void> ServeService(const HttpRequest& aRequest,
                                  const ReplyPtr& aReply,
                                  const std::string& aId,
                                  const CallerTerms& aTerms,
                                  const config::ClientAccount& aAccount)
  {
    const config::Service* service = m_core.m_keeper->Registry().ServiceByPath(aRequest.m_path);
    if (service == nullptr) {
      return Deny(ErrorCode::UnknownPath, "no service serves this path");
    }
    const auto owner = CheckOwner(m_core.m_keeper->Registry().RuleForAccount(aAccount.m_name));
    if (!owner) {
      return owner;
    }
    const base::TimePoint now = base::MonotonicNow();
    const auto admitted = m_core.m_limiter.Admit(aAccount.m_name, now);
    if (!admitted) {
      return admitted;
    }
    ServiceCall call{ aId, aRequest, aTerms, aAccount, *service, now };
    std::make_shared<ServiceExchange>(m_core, std::move(call), aReply)->Start();
    return {};
  }

  GateCore m_core;
  FleetQueues m_queues;
  Exporter m_exporter;
  CacheWatch m_cacheWatch;
  TicketMover m_mover;
  std::unique_ptr<net::HttpServer> m_server;
  std::map<std::string, double> m_demand;
  net::TimerHandle m_expiry;
  net::TimerHandle m_drainTimer;
  std::function<void()> m_drainDone;
  bool m_draining = false;
  bool m_givingAway = false;
};

} // namespace

base::Result<std::unique_ptr<Gate>> Gate::Create(net::Loop& aLoop, const GateOptions& aOptions)
{
  auto gate = std::make_unique<GateImpl>(aLoop, aOptions);
  const auto listening = gate->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  gate->Start();
  return gate;
}

} // namespace ferrytray::gate
