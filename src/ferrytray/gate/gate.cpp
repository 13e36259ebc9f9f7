#include "ferrytray/gate/gate.hpp"

#include <algorithm> // for all_of
#include <cctype>    // for isalnum

#include <nlohmann/json.hpp> // for json

#include "ferrytray/control/half_rule.hpp"       // for MayServe
#include "ferrytray/gate/cache_event_poller.hpp" // for CacheEventPoller
#include "ferrytray/gate/model_exchange.hpp"     // for ModelExchange
#include "ferrytray/gate/operator_requests.hpp"  // for HandleOperatorRequest
#include "ferrytray/gate/service_exchange.hpp"   // for ServiceExchange
#include "ferrytray/gate/ticket_transfer.hpp"    // for TicketTransfer
#include "ferrytray/telemetry/log_line.hpp"      // for LogLine
#include "ferrytray/wire/half_view.hpp"          // for MakeHalfView

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using net::HttpRequest;
using ReplyPtr = std::shared_ptr<net::HttpReply>;

constexpr base::Duration kSecond = std::chrono::seconds(1);
constexpr base::Duration kDrainPoll = std::chrono::milliseconds(20);
constexpr std::size_t kMaxRequestId = 64;
// The HTTP server drops bodies above this multiple of the limit without a response; up to it the
// gate responds with an error code.
constexpr std::size_t kServerBodyLimitFactor = 4;

/// The caller's X-Request-Id if it is short and only has letters, digits, '-' and '_', else a new
/// one.
std::string RequestIdOf(const HttpRequest& aRequest)
{
  const std::string_view header = aRequest.Header("X-Request-Id");
  const bool wellFormed = std::all_of(header.begin(), header.end(), [](unsigned char aByte) {
    return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
  });
  const bool validLength = !header.empty() && header.size() <= kMaxRequestId;
  return wellFormed && validLength ? std::string(header) : base::RandomHex128();
}

std::optional<CompletionKind> CompletionKindOf(const std::string& aPath)
{
  if (aPath == "/v1/completions") {
    return CompletionKind::Completion;
  }
  if (aPath == "/v1/chat/completions") {
    return CompletionKind::Chat;
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
    , m_cacheEventPoller(m_core)
    , m_ticketTransfer(m_core)
  {
  }

  base::Result<void> Listen()
  {
    net::HttpServerOptions options;
    options.m_listen = m_core.m_options.m_listen;
    options.m_maxBodyBytes = m_core.m_options.m_maxBodyBytes * kServerBodyLimitFactor;
    auto server = net::HttpServer::Create(
      m_core.m_loop, options, [this](HttpRequest aRequest, ReplyPtr aReply) {
        OnRequest(aRequest, aReply);
      });
    if (!server) {
      return tl::unexpected(server.error());
    }
    m_server = std::move(*server);
    return m_ticketTransfer.Listen();
  }

  void Start()
  {
    KeeperConnection::Handlers handlers;
    handlers.m_onDocument = [this](const config::Document& aDocument) { OnDocument(aDocument); };
    handlers.m_onEndpoints = [this](const wire::EndpointUpdate& aUpdate) {
      m_core.m_view.OnEndpoints(aUpdate.m_endpoints, base::MonotonicNow());
    };
    handlers.m_onShares = [this](const wire::ShareUpdate& aUpdate) { OnShares(aUpdate); };
    handlers.m_makeReport = [this] { return MakeReport(); };
    m_core.m_keeper =
      std::make_unique<KeeperConnection>(m_core.m_loop, m_core.m_options, std::move(handlers));
    m_core.m_keeper->Start();
    m_core.m_claims.Start();
    m_core.m_crashes.Start();
    m_queues.Start();
    m_cacheEventPoller.Start();
    m_periodicTimer = m_core.m_loop.Every(kSecond, [this] { RunPeriodicTasks(); });
  }

  [[nodiscard]] net::Address ListenAddress() const override { return m_server->ListenAddress(); }

  void Drain(std::function<void()> aDone) override
  {
    telemetry::LogLine("drain_begins").Add("open", m_core.m_openWork);
    m_draining = true;
    m_drainDone = std::move(aDone);
    // Reports not ready but still serves until the load balancer has noticed.
    m_drainTimer = m_core.m_loop.After(m_core.m_options.m_drainWait, [this] { WaitForStreams(); });
  }

private:
  // --- planned stop ------------------------------------------------------------------------

  void WaitForStreams()
  {
    m_drainTimer = m_core.m_loop.Every(kDrainPoll, [this] {
      if (m_core.m_openWork > 0 || m_transferringTickets) {
        return;
      }
      m_transferringTickets = true;
      m_ticketTransfer.TransferToPeer([this] {
        telemetry::LogLine("drain_ends").Add("open", m_core.m_openWork);
        // Time to send the error responses of requests that were rejected after the freeze.
        m_drainTimer = m_core.m_loop.After(kSecond, m_drainDone);
      });
    });
  }

  // --- updates from the keeper -------------------------------------------------------------

  /// Gets only changed documents, so the cost depends on the size of the change.
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
    report.m_control = net::ToString(m_ticketTransfer.ControlAddress());
    report.m_position = m_core.m_keeper->Position();
    report.m_openWork = m_core.m_openWork;
    report.m_tickets = m_core.m_tickets.Incarnations();
    report.m_demand = { m_demand.begin(), m_demand.end() };
    const auto& leaving = m_core.m_view.Leaving().All();
    report.m_leaving = { leaving.begin(), leaving.end() };
    report.m_drained = DrainedRules();
    return report;
  }

  void RunPeriodicTasks()
  {
    m_core.m_tickets.Expire(base::MonotonicNow());
    // Exponential moving average, so that shares do not follow every burst.
    constexpr double kSmoothing = 0.7;
    for (auto it = m_demand.begin(); it != m_demand.end();) {
      const auto demand = static_cast<double>(m_core.m_limiter.TakeDemand(it->first));
      it->second = it->second * kSmoothing + demand * (1 - kSmoothing);
      it = it->second < 1e-3 ? m_demand.erase(it) : std::next(it);
    }
  }

  // --- requests ----------------------------------------------------------------------------

  void OnRequest(const HttpRequest& aRequest, const ReplyPtr& aReply)
  {
    if (HandleOperatorRequest(m_core, m_server->Counters(), m_draining, aRequest, aReply)) {
      return;
    }
    const std::string id = RequestIdOf(aRequest);
    const auto served = Serve(aRequest, aReply, id);
    if (!served) {
      m_core.m_metrics.Count("requests_refused_total{code=\"" +
                             std::to_string(static_cast<int>(served.error().m_code)) + "\"}");
      SendError(*aReply, served.error(), id);
    }
  }

  base::Result<void> Serve(const HttpRequest& aRequest,
                           const ReplyPtr& aReply,
                           const std::string& aId)
  {
    if (aRequest.m_body.size() > m_core.m_options.m_maxBodyBytes) {
      return base::Fail(ErrorCode::BodyTooLarge,
                        "the body exceeds " + std::to_string(m_core.m_options.m_maxBodyBytes) +
                          " bytes");
    }
    if (aRequest.HeaderBytes() > m_core.m_options.m_maxHeaderBytes) {
      return base::Fail(ErrorCode::HeaderTooLarge,
                        "the headers exceed " + std::to_string(m_core.m_options.m_maxHeaderBytes) +
                          " bytes");
    }
    if (!m_core.m_keeper->HasConfig()) {
      return base::Fail(ErrorCode::NotReady, "no configuration has been applied yet");
    }
    auto requestOptions = ParseRequestOptions(aRequest);
    if (!requestOptions) {
      return tl::unexpected(requestOptions.error());
    }
    const config::ClientAccount* account =
      m_core.m_keeper->Registry().AccountByKey(base::Sha256Hex(requestOptions->m_apiKey));
    if (account == nullptr) {
      return RejectUnknown(ErrorCode::UnknownKey, "the API key belongs to no client account");
    }
    m_demand.try_emplace(account->m_name, 0);
    if (aRequest.m_path == "/v1/tickets") {
      return IssueTicket(aRequest, aReply, *account);
    }
    if (const auto kind = CompletionKindOf(aRequest.m_path)) {
      return ServeModel(aRequest, aReply, aId, *requestOptions, *account, *kind);
    }
    return ServeService(aRequest, aReply, aId, *requestOptions, *account);
  }

  /// Rejects an unknown name, as retryable if a newer configuration may contain it.
  [[nodiscard]] base::Result<void> RejectUnknown(ErrorCode aCode, const std::string& aMessage) const
  {
    if (!m_core.m_keeper->MayBeBehind(base::MonotonicNow())) {
      return base::Fail(aCode, aMessage);
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

  /// Checks that this half owns the rule's fleet or client account.
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

  /// Rules being handed over of which this gate has no open work left.
  [[nodiscard]] std::vector<std::string> DrainedRules() const
  {
    std::vector<std::string> drained;
    for (const config::HalfRule* rule : m_core.m_keeper->Registry().Rules()) {
      const std::string owner =
        rule->m_fleet ? "fleet " + *rule->m_fleet : "account " + rule->m_account.value_or("");
      if (rule->m_owner == config::Owner::HandingOver && !m_core.m_openByOwner.contains(owner)) {
        drained.push_back(rule->m_name + "@" + std::to_string(rule->m_epoch));
      }
    }
    return drained;
  }

  base::Result<void> ServeModel(const HttpRequest& aRequest,
                                const ReplyPtr& aReply,
                                const std::string& aId,
                                const RequestOptions& aRequestOptions,
                                const config::ClientAccount& aAccount,
                                CompletionKind aKind)
  {
    if (aRequest.m_method != "POST") {
      return base::Fail(ErrorCode::MethodNotAllowed, "expected POST");
    }
    auto model = ParseModelRequest(aKind, aRequest.m_body);
    if (!model) {
      return tl::unexpected(model.error());
    }
    const replay::Registry& registry = m_core.m_keeper->Registry();
    const config::Fleet* fleet = registry.FleetByModel(model->m_model);
    if (fleet == nullptr) {
      return RejectUnknown(ErrorCode::UnknownModel,
                           "no fleet serves model '" + model->m_model + "'");
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
    ModelCall call{ aId, aRequest, aRequestOptions, std::move(*model), aAccount, *fleet, now };
    std::make_shared<ModelExchange>(
      m_core, ExchangeServices{ m_queues, m_exporter }, std::move(call), aReply)
      ->Start();
    return {};
  }

  base::Result<void> ServeService(const HttpRequest& aRequest,
                                  const ReplyPtr& aReply,
                                  const std::string& aId,
                                  const RequestOptions& aRequestOptions,
                                  const config::ClientAccount& aAccount)
  {
    const config::Service* service = m_core.m_keeper->Registry().ServiceByPath(aRequest.m_path);
    if (service == nullptr) {
      return RejectUnknown(ErrorCode::UnknownPath, "no service is configured for this path");
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
    ServiceCall call{ aId, aRequest, aRequestOptions, aAccount, *service, now };
    std::make_shared<ServiceExchange>(m_core, std::move(call), aReply)->Start();
    return {};
  }

  GateCore m_core;
  FleetQueues m_queues;
  ContextExporter m_exporter;
  CacheEventPoller m_cacheEventPoller;
  TicketTransfer m_ticketTransfer;
  std::unique_ptr<net::HttpServer> m_server;
  std::map<std::string, double> m_demand;
  net::TimerHandle m_periodicTimer;
  net::TimerHandle m_drainTimer;
  std::function<void()> m_drainDone;
  bool m_draining = false;
  bool m_transferringTickets = false;
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
