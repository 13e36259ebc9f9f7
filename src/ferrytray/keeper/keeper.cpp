#include "ferrytray/keeper/keeper.hpp"

#include <algorithm> // for min
#include <map>       // for map
#include <set>       // for set
#include <span>      // for span
#include <utility>   // for move

#include "ferrytray/config/parse.hpp"          // for Parse
#include "ferrytray/keeper/operator_pages.hpp" // for OperatorPages
#include "ferrytray/keeper/peer_catch_up.hpp"  // for PeerCatchUp
#include "ferrytray/telemetry/log_line.hpp"    // for LogLine

namespace ferrytray::keeper {

namespace {

constexpr std::size_t kLoadsPerMessage = 8;
constexpr std::size_t kDemandsPerMessage = 6;
constexpr std::size_t kLeavingPerMessage = 8;
constexpr std::size_t kLeaveRounds = 4;
constexpr std::uint64_t kRoundsPerRenewalCheck = 5;
constexpr int kSuspectAfterRounds = 12;
constexpr int kDeadAfterRounds = 30;

/// A connected gate or peer keeper, which receives every state change.
struct Subscriber
{
  std::shared_ptr<net::FrameChannel> m_channel;
  bool m_isGate = false;
  bool m_helloReceived = false;
  std::uint64_t m_sentPosition = 0;
};

/// Returns the names of the alive hosts in aZone, or in all zones if aZone is empty.
std::vector<std::string> AliveHosts(std::span<const membership::Member> aLive,
                                    const std::string& aZone)
{
  std::vector<std::string> names;
  for (const membership::Member& member : aLive) {
    const bool wanted = aZone.empty() || member.m_zone == aZone;
    if (member.m_state == membership::MemberState::Alive && wanted) {
      names.push_back(member.m_host);
    }
  }
  return names;
}

class KeeperImpl final : public Keeper
{
public:
  KeeperImpl(net::Loop& aLoop, KeeperOptions aOptions)
    : m_loop(aLoop)
    , m_options(std::move(aOptions))
    , m_http(net::HttpClient::Create(aLoop))
    , m_config(aLoop, *m_http, m_options.m_platform, m_options.m_configurationDue)
    , m_endpoints(aLoop, *m_http, m_options)
    , m_swapController(aLoop, *m_http, m_options)
    , m_halfController(aLoop, *m_http, m_options)
    , m_catchUp(aLoop, m_config, m_options.m_host)
    , m_pages({ m_options.m_host, m_config, m_endpoints, *m_http, m_metrics },
              [this] { PushEndpoints(); })
  {
  }

  base::Result<void> Listen()
  {
    auto gossip = net::DatagramSocket::Create(
      m_loop, m_options.m_gossip, [this](const net::Address& aFrom, std::string_view aBytes) {
        OnDatagram(aFrom, aBytes);
      });
    auto control = net::FrameServer::Create(
      m_loop, m_options.m_control, [this](auto aChannel) { OnChannel(std::move(aChannel)); });
    net::HttpServerOptions httpOptions;
    httpOptions.m_listen = m_options.m_http;
    auto http =
      net::HttpServer::Create(m_loop, httpOptions, [this](net::HttpRequest aRequest, auto aReply) {
        m_pages.Handle(aRequest, *aReply, *m_members);
      });
    for (const base::Failure* failure : { gossip ? nullptr : &gossip.error(),
                                          control ? nullptr : &control.error(),
                                          http ? nullptr : &http.error() }) {
      if (failure != nullptr) {
        return tl::unexpected(*failure);
      }
    }
    m_gossip = std::move(*gossip);
    m_control = std::move(*control);
    m_httpServer = std::move(*http);
    return {};
  }

  void Start()
  {
    membership::Member self;
    self.m_host = m_options.m_host;
    self.m_zone = m_options.m_zone;
    self.m_gossip = net::ToString(m_gossip->ListenAddress());
    self.m_control = net::ToString(m_control->ListenAddress());
    self.m_incarnation = m_options.m_incarnation;
    const std::uint64_t seed = base::Hash64(self.m_host, std::to_string(self.m_incarnation));
    membership::MembershipOptions options;
    options.m_suspectAfter = m_options.m_roundInterval * kSuspectAfterRounds;
    options.m_deadAfter = m_options.m_roundInterval * kDeadAfterRounds;
    m_members = std::make_unique<membership::MemberTable>(self, options, seed);
    SeedMembers();
    m_config.Start([this] { OnConfigChange(); });
    m_endpoints.Start([this](const auto& aEntries) { OnEntryHosts(aEntries); });
    m_swapController.Start();
    m_halfController.Start();
    m_roundTimer = m_loop.Every(m_options.m_roundInterval, [this] { OnRound(); });
    m_pushTimer = m_loop.Every(m_options.m_loadPollInterval, [this] { PushEndpoints(); });
  }

  [[nodiscard]] net::Address HttpAddress() const override { return m_httpServer->ListenAddress(); }
  [[nodiscard]] net::Address ControlAddress() const override { return m_control->ListenAddress(); }
  [[nodiscard]] net::Address GossipAddress() const override { return m_gossip->ListenAddress(); }

  void Leave(std::function<void()> aDone) override
  {
    m_members->Leave();
    m_leaveTimer = m_loop.After(m_options.m_roundInterval * kLeaveRounds, std::move(aDone));
  }

private:
  /// Uses the peers from the settings as members until the host list can be read.
  void SeedMembers()
  {
    std::vector<membership::Member> seeds;
    for (const net::Address& address : m_options.m_seeds) {
      membership::Member seed;
      seed.m_host = "seed:" + net::ToString(address);
      seed.m_gossip = net::ToString(address);
      seeds.push_back(std::move(seed));
    }
    m_members->OnHostList(seeds, base::MonotonicNow());
  }

  // --- configuration -----------------------------------------------------------------------

  void OnConfigChange()
  {
    for (const replay::ScopeState& scope : m_config.Replay().AcceptedSince(m_parsedPosition)) {
      auto parsed = config::Parse(scope.m_body, scope.m_scope);
      if (parsed) {
        // Only the gate uses the accounts; 27,000 of them would take 18 MB in this process.
        parsed->m_accounts.clear();
        m_registry.Put(std::make_shared<config::Document>(std::move(*parsed)));
      }
    }
    m_parsedPosition = m_config.Replay().Position();
    PublishState();
  }

  void PublishState()
  {
    for (Subscriber& subscriber : m_subscribers) {
      SendState(subscriber);
    }
  }

  void SendState(Subscriber& aSubscriber)
  {
    const std::uint64_t position = m_config.Replay().Position();
    if (!aSubscriber.m_helloReceived || !m_config.Ready() ||
        aSubscriber.m_sentPosition >= position) {
      return;
    }
    wire::StateUpdate update{ position,
                              m_config.Replay().AcceptedSince(aSubscriber.m_sentPosition) };
    aSubscriber.m_sentPosition = position;
    aSubscriber.m_channel->Send(wire::EncodeFrame(update));
  }

  // --- gates and peers ---------------------------------------------------------------------

  void OnChannel(std::shared_ptr<net::FrameChannel> aChannel)
  {
    m_subscribers.push_back({ aChannel, false, false, 0 });
    const net::FrameChannel* raw = aChannel.get();
    aChannel->OnFrame([this, raw](std::string_view aBytes) { OnFrame(raw, aBytes); });
    aChannel->OnClosed([this, raw] {
      std::erase_if(m_subscribers,
                    [raw](const Subscriber& aEntry) { return aEntry.m_channel.get() == raw; });
    });
  }

  void OnFrame(const net::FrameChannel* aChannel, std::string_view aBytes)
  {
    const auto found =
      std::find_if(m_subscribers.begin(), m_subscribers.end(), [&](const Subscriber& aEntry) {
        return aEntry.m_channel.get() == aChannel;
      });
    const auto frame = wire::DecodeFrame(aBytes);
    if (found == m_subscribers.end() || !frame) {
      m_metrics.Count("frames_dropped_total");
      return;
    }
    if (const auto* hello = std::get_if<wire::Hello>(&*frame)) {
      found->m_isGate = hello->m_isGate;
      found->m_helloReceived = true;
      found->m_sentPosition = hello->m_position;
      SendState(*found);
      PushEndpoints();
      PushPeers();
    } else if (const auto* report = std::get_if<wire::GateReport>(&*frame)) {
      OnGateReport(*report);
    } else if (const auto* ageRequest = std::get_if<wire::ConfigurationAgeRequest>(&*frame)) {
      SendConfigurationAge(*found->m_channel, ageRequest->m_requestId);
    }
  }

  void SendConfigurationAge(net::FrameChannel& aGate, std::uint64_t aRequestId) const
  {
    if (const auto currentAsOf = m_config.CurrentAsOf()) {
      const auto age =
        static_cast<std::uint64_t>(base::ToMillis(base::MonotonicNow() - *currentAsOf));
      aGate.Send(wire::EncodeFrame(wire::ConfigurationAge{ aRequestId, age + 1 })); // rounded up
    }
  }

  void OnGateReport(const wire::GateReport& aReport)
  {
    m_gate = aReport;
    m_members->SetGate(aReport.m_address, aReport.m_control);
    m_members->SetTickets(aReport.m_tickets);
    m_members->SetDrained(aReport.m_drained);
    m_shares.OnOwnDemand(aReport.m_demand);
    for (const auto& [endpoint, incarnation] : aReport.m_leaving) {
      m_endpoints.MarkLeaving(endpoint, incarnation);
    }
  }

  template<typename Message>
  void SendToGates(const Message& aMessage)
  {
    const std::string bytes = wire::EncodeFrame(aMessage);
    for (const Subscriber& subscriber : m_subscribers) {
      if (subscriber.m_isGate) {
        subscriber.m_channel->Send(bytes);
      }
    }
  }

  void PushEndpoints()
  {
    SendToGates(wire::EndpointUpdate{ m_endpoints.Endpoints(base::MonotonicNow()) });
  }
  void PushHalfEpochs()
  {
    if (m_halfController.CaughtUp()) {
      SendToGates(m_halfController.Epochs());
    }
  }

  void PushPeers() { SendToGates(wire::PeerUpdate{ m_members->Live() }); }

  // --- membership --------------------------------------------------------------------------

  void OnEntryHosts(const std::vector<wire::ListedHost>& aEntries)
  {
    std::vector<membership::Member> hosts;
    m_listedHosts.clear();
    for (const wire::ListedHost& entry : aEntries) {
      membership::Member member;
      member.m_host = entry.m_name;
      member.m_zone = entry.m_zone;
      member.m_gossip = entry.m_address;
      m_listedHosts.insert(entry.m_name);
      hosts.push_back(std::move(member));
    }
    m_members->OnHostList(hosts, base::MonotonicNow());
  }

  void OnDatagram(const net::Address& aFrom, std::string_view aBytes)
  {
    const auto message = wire::DecodeGossip(aBytes);
    const base::TimePoint now = base::MonotonicNow();
    if (!message || !m_members->OnMessage(*message, aFrom.m_ip, now)) {
      m_metrics.Count("datagrams_dropped_total");
      return;
    }
    m_metrics.Count("datagram_bytes_received_total", static_cast<double>(aBytes.size()));
    for (const membership::LoadDigest& load : message->m_loads) {
      m_endpoints.OnRemoteLoad(load, now);
    }
    for (const auto& [endpoint, incarnation] : message->m_leaving) {
      m_endpoints.MarkLeaving(endpoint, incarnation);
    }
    m_shares.OnPeerDemand(message->m_from, message->m_demands, now);
  }

  void OnRound()
  {
    const base::TimePoint now = base::MonotonicNow();
    m_members->SetPosition(PositionInForce());
    for (membership::GossipSend& send : m_members->OnRound(now)) {
      SendGossip(send, now);
    }
    PushPeers();
    const std::vector<membership::Member> live = m_members->Live();
    SendToGates(m_shares.Shares(static_cast<std::uint32_t>(live.size()), now));
    m_catchUp.RequestStateIfBehind(live);
    const std::vector<std::string> hosts = AliveHosts(live, "");
    m_swapController.OnRound(m_registry.Fleets(), m_endpoints.Endpoints(now), hosts, now);
    const bool isFirstHost = !hosts.empty() && hosts.front() == m_options.m_host;
    m_halfController.OnRound(m_registry.Rules(), m_listedHosts, live, isFirstHost);
    PushHalfEpochs();
    m_endpoints.SetZoneHosts(AliveHosts(live, m_options.m_zone));
    m_endpoints.PollAllZones(m_swapController.NeedsAllZones());
    // The host with the lowest name renews; if two hosts do so at times, it does no harm. The check
    // scans every scope, so it doesn't run in every round.
    if (++m_roundCount % kRoundsPerRenewalCheck != 0) {
      return;
    }
    m_config.RenewDueScope(m_options.m_maxScopeAge, isFirstHost);
  }

  void SendGossip(membership::GossipSend& aSend, base::TimePoint aNow)
  {
    const auto address = net::ParseAddress(aSend.m_to);
    if (!address) {
      return;
    }
    aSend.m_message.m_loads = m_endpoints.NextLoadDigests(kLoadsPerMessage, aNow);
    aSend.m_message.m_demands = m_shares.Digest(kDemandsPerMessage);
    for (const auto& pair : m_endpoints.Leaving().All()) {
      if (aSend.m_message.m_leaving.size() < kLeavingPerMessage) {
        aSend.m_message.m_leaving.push_back(pair);
      }
    }
    const std::string bytes = wire::EncodeGossip(aSend.m_message);
    m_metrics.Count("datagram_bytes_sent_total", static_cast<double>(bytes.size()));
    m_gossip->SendTo(*address, bytes);
  }

  /// Returns the configuration position in force on this host. With a gate connected, that is the
  /// gate's position if it is behind the keeper's.
  [[nodiscard]] std::uint64_t PositionInForce() const
  {
    const std::uint64_t ownPosition = m_config.Replay().Position();
    const bool hasGate = std::any_of(m_subscribers.begin(),
                                     m_subscribers.end(),
                                     [](const Subscriber& aEntry) { return aEntry.m_isGate; });
    return hasGate ? std::min(ownPosition, m_gate.m_position) : ownPosition;
  }

  net::Loop& m_loop;
  KeeperOptions m_options;
  std::unique_ptr<net::HttpClient> m_http;
  ConfigSync m_config;
  EndpointWatch m_endpoints;
  SwapController m_swapController;
  HalfController m_halfController;
  PeerCatchUp m_catchUp;
  std::set<std::string> m_listedHosts;
  ShareCalculator m_shares;
  replay::Registry m_registry;
  std::uint64_t m_parsedPosition = 0;
  std::unique_ptr<membership::MemberTable> m_members;
  std::unique_ptr<net::DatagramSocket> m_gossip;
  std::unique_ptr<net::FrameServer> m_control;
  std::unique_ptr<net::HttpServer> m_httpServer;
  std::vector<Subscriber> m_subscribers;
  wire::GateReport m_gate;
  telemetry::Metrics m_metrics;
  net::TimerHandle m_roundTimer;
  net::TimerHandle m_pushTimer;
  net::TimerHandle m_leaveTimer;
  std::uint64_t m_roundCount = 0;
  OperatorPages m_pages;
};

} // namespace

base::Result<std::unique_ptr<Keeper>> Keeper::Create(net::Loop& aLoop,
                                                     const KeeperOptions& aOptions)
{
  auto keeper = std::make_unique<KeeperImpl>(aLoop, aOptions);
  const auto listening = keeper->Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  keeper->Start();
  return keeper;
}

} // namespace ferrytray::keeper
