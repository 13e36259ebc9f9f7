#include "ferrytray/peers/peer_exchange.hpp"

#include <algorithm> // for any_of, clamp, min
#include <random>    // for random_device
#include <utility>   // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr std::string_view kSyncPath = "/news";

/// Timers may fire early by this much relative to the previous call.
constexpr base::Duration kTimerSlack = std::chrono::milliseconds(2);

/// A forwarded request has the largest body that callers may send, and headers.
constexpr std::size_t kMaxRequestBytes = 17U << 20U;

constexpr base::Duration kMinPiecePause = std::chrono::milliseconds(5);

std::uint64_t RandomNumber()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

} // namespace

PeerExchange::PeerExchange(net::Loop& aLoop,
                           net::HttpClient& aClient,
                           store::RecordLog& aLog,
                           const SharedState& aState,
                           PeerExchangeOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_log(aLog)
  , m_stores(aState.m_stores)
  , m_loads(aState.m_loads)
  , m_reloads(aState.m_reloads)
  , m_crashes(aState.m_crashes)
  , m_limits(aState.m_limits)
  , m_announcedLeaving(aState.m_announcedLeaving)
  , m_backoffs(aState.m_backoffs)
  , m_brittle(aState.m_brittle)
  , m_options(std::move(aOptions))
  , m_incarnation(RandomNumber())
{
}

base::Result<void> PeerExchange::Start()
{
  net::HttpServerOptions options;
  options.m_listen = m_options.m_listen;
  options.m_maxBodyBytes = kMaxRequestBytes;
  auto server = net::HttpServer::Create(
    m_loop,
    options,
    [this](const net::HttpRequest& aRequest, const std::shared_ptr<net::HttpReply>& aReply) {
      HandleRequest(aRequest, aReply);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  m_roster.emplace(Peer{ m_options.m_name,
                         m_options.m_zone,
                         net::ToString(m_server->ListenAddress()),
                         m_options.m_capacity },
                   m_options.m_roster);
  m_roster->SetRegistered(false);
  if (m_options.m_startDelay > base::Duration::zero()) {
    m_hostsTimer = m_loop.After(m_options.m_startDelay, [this] { ReadHosts(); });
  } else {
    ReadHosts();
  }
  m_tick = m_loop.Every(std::min(m_options.m_pollInterval, m_options.m_relayPollInterval), [this] {
    const base::TimePoint now = base::MonotonicNow();
    if (IsRelaying(now) || now >= m_nextPollAt) {
      Tick();
    }
  });
  return {};
}

void PeerExchange::Stop()
{
  m_stopped = true;
  m_tick.reset();
  m_hostsTimer.reset();
  m_nextPiece.reset();
}

void PeerExchange::StartTopics()
{
  for (const auto& topic : m_topics) {
    topic->Start();
  }
}

bool PeerExchange::IsRelaying(base::TimePoint aNow) const
{
  return !m_isReader && m_lastPolledAt && aNow < *m_lastPolledAt + m_options.m_relayHoldTime;
}

void PeerExchange::UpdateTakeover(base::TimePoint aNow)
{
  const bool sourceLost =
    !m_lastSourceReplyAt || aNow >= *m_lastSourceReplyAt + m_options.m_sourceLostAfter;
  const bool allowed = m_isReader || m_roster->IsRegistered() || sourceLost;
  bool overdue = false;
  for (const auto& topic : m_topics) {
    topic->AllowTakeover(allowed);
    overdue = overdue || topic->IsOverdue();
  }
  if (overdue && !allowed && aNow >= m_sourceChangeAt) {
    m_roster->ChangeSource();
    m_sourceChangeAt = aNow + m_options.m_sourceChangeInterval;
  }
}

void PeerExchange::Tick()
{
  const base::TimePoint now = base::MonotonicNow();
  m_nextPollAt = now + m_options.m_pollInterval - kTimerSlack;
  m_loads.Expire(now);
  m_reloads.Expire(now);
  m_replaced.Expire(now);
  m_limits.Expire(now);
  m_announcedLeaving.Expire(now);
  m_backoffs.Expire(now);
  if (!m_hostsKnown) {
    return; // no other host is known yet
  }
  UpdateTakeover(now);
  const std::optional<Peer> source = m_roster->Source(now);
  SetReader(!source, source ? "another host is the reader" : "reader by rank");
  if (m_isReader || now >= m_startTopicsAt) {
    StartTopics();
  }
  if (!m_isReader) {
    PollSource(*source, now);
    PollFallback(now);
    return;
  }
  PollFallback(now);
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    PollReader(reader, now);
  }
}

void PeerExchange::SetReader(bool aIsReader, const char* aWhy)
{
  if (std::exchange(m_isReader, aIsReader) == aIsReader) {
    return;
  }
  telemetry::LogLine("reads_stores")
    .Add("outcome", aIsReader ? "itself" : "by_another_host")
    .Add("why", aWhy)
    .Add("hosts", m_roster->HostCount());
  if (m_onReaderChange) {
    m_onReaderChange(aIsReader);
  }
}

void PeerExchange::PollSource(const Peer& aSource, base::TimePoint aNow)
{
  if (m_source != aSource.m_name) {
    // The new source reports the loads of the same hosts. Counted twice, all endpoints would look
    // busier.
    m_loads.OnReport(m_source, LoadScope::Summary, {}, aNow);
    m_source = aSource.m_name;
    telemetry::LogLine("asks_host").Add("host", aSource.m_name).Add("address", aSource.m_address);
    m_sourceIncarnation = 0;
    m_sourcesDigest = 0;
  }
  SyncRequest syncRequest;
  syncRequest.m_incarnation = m_sourceIncarnation;
  for (const auto& [address, contents] : m_stores) {
    cache::ContentsCursor cursor = contents.Cursor();
    cursor.m_store = address;
    syncRequest.m_cursors.push_back(std::move(cursor));
  }
  syncRequest.m_topics = TopicCursors();
  syncRequest.m_scope = LoadScope::Own;
  syncRequest.m_loads = Sum(m_loads.OwnScopeTotals(), m_ownLoads());
  syncRequest.m_sourcesDigest = m_sourcesDigest;
  AddEndpointNotices(syncRequest, aNow);
  SendSyncRequest(aSource, syncRequest, aNow);
}

void PeerExchange::PollReader(const Peer& aReader, base::TimePoint aNow)
{
  SyncRequest syncRequest;
  syncRequest.m_scope = LoadScope::Summary;
  syncRequest.m_loads = Sum(m_loads.OwnScopeTotals(), m_ownLoads());
  syncRequest.m_reloads = m_reloads.Notices(aNow);
  AddEndpointNotices(syncRequest, aNow);
  SendSyncRequest(aReader, syncRequest, aNow);
}

void PeerExchange::SendSyncRequest(const Peer& aPeer,
                                   const SyncRequest& aSyncRequest,
                                   base::TimePoint aNow)
{
  if (!m_pendingHosts.insert(aPeer.m_name).second) {
    return;
  }
  SyncRequest syncRequest = aSyncRequest;
  syncRequest.m_sender = m_roster->Self();
  syncRequest.m_isRegistered = m_roster->IsRegistered();
  AddCrashNotices(aPeer, syncRequest);
  const quarantine::NoticeOffset sentUpTo =
    m_crashes.Notices().NextOffset(m_crashSync[aPeer.m_name].m_sentUpTo, kMaxCrashNotices);
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aPeer.m_address + std::string(kSyncPath);
  request.m_headers = { { "Content-Type", "application/octet-stream" } };
  request.m_body = Encode(syncRequest);
  m_counters.OnRequestSent(request.m_body.size());
  request.m_match = net::InOrder(); // hosts send one reply to each request
  request.m_connectTimeout = m_options.m_connectTimeout;
  request.m_timeout = m_options.m_requestTimeout;
  m_client.Fetch(
    std::move(request),
    [this, aPeer, aNow, sentUpTo](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      m_pendingHosts.erase(aPeer.m_name);
      if (!m_stopped) {
        OnReply(aPeer, { aNow, sentUpTo }, aOutcome, aBody);
      }
    });
}

void PeerExchange::OnReply(const Peer& aSource,
                           const PendingRequest& aPending,
                           const net::ClientOutcome& aOutcome,
                           const std::string& aBody)
{
  const base::TimePoint now = base::MonotonicNow();
  const bool complete = aOutcome.m_end == net::WireEnd::Complete && aOutcome.m_status == kOk;
  const base::Result<SyncReply> reply =
    complete ? DecodeSyncReply(aBody)
             : base::Fail(base::ErrorCode::EndpointUnreachable,
                          "status " + std::to_string(aOutcome.m_status) + ", " + aOutcome.m_detail);
  if (!reply) {
    telemetry::LogLine("host_missed")
      .Add("host", aSource.m_name)
      .Add("why", reply.error().m_message);
    m_roster->OnRequestFailed(aSource.m_name, now);
    m_fallback.OnAnswer(aSource.m_name, false);
    OnSourceFailed(aSource, now);
    return;
  }
  m_counters.OnReplyReceived(*reply, aBody.size());
  m_roster->OnRequestSucceeded(aSource.m_name);
  m_lastContactAt = now;
  ApplyReloads(reply->m_reloads, now);
  ApplyReplacements(reply->m_replaced, now);
  ApplyLeaving(reply->m_announcedLeaving, now);
  ApplyBackoffs(reply->m_backoffs, now);
  ApplyLimits(reply->m_limits, now);
  ApplyBrittleness(reply->m_brittle, now);
  OnCrashNoticesAcknowledged(aSource, *reply, aPending.m_crashesSentUpTo);
  ApplyCrashes(reply->m_crashes, now);
  for (const Peer& source : reply->m_sources) {
    m_roster->AddOrUpdate(source);
  }
  const bool fromSource = !m_isReader && aSource.m_name == m_source;
  if (m_isReader || fromSource) {
    m_loads.OnReport(aSource.m_name, LoadScope::Summary, reply->m_loads, now);
  }
  if (!fromSource) {
    if (aSource.m_name == m_fallback.Name() && !reply->m_topics.empty()) {
      OnFallbackReply(aSource, aPending.m_sentAt, *reply);
    }
    return; // this host has become a reader meanwhile, or follows another one
  }
  m_sourceIncarnation = reply->m_incarnation;
  if (!reply->m_sources.empty()) {
    m_sourcesDigest = DigestOf(reply->m_sources);
  }
  m_lastSourceReplyAt = now;
  m_startTopicsAt = now + m_options.m_topicRelayTimeout;
  if (m_roster->IsRegistered()) {
    m_startTopicsAt = std::min(m_startTopicsAt, m_startTopicsLatest);
  }
  ApplyTopicUpdates(reply->m_topics, aPending.m_sentAt);
  for (const cache::ContentsDelta& delta : reply->m_stores) {
    const auto known = m_stores.find(delta.m_store);
    if (known != m_stores.end()) {
      known->second.OnDelta(delta, aPending.m_sentAt, now);
    }
  }
  const bool hasMore =
    std::any_of(reply->m_topics.begin(),
                reply->m_topics.end(),
                [](const store::TopicUpdate& aUpdate) { return aUpdate.m_hasMore; });
  if (hasMore) {
    // Leaves half of the link to other traffic.
    const base::Duration pause =
      std::clamp(now - aPending.m_sentAt, kMinPiecePause, m_options.m_pollInterval);
    m_nextPiece = m_loop.After(pause, [this] { Tick(); });
  }
}

void PeerExchange::OnSourceFailed(const Peer& aSource, base::TimePoint aNow)
{
  if (m_isReader || aSource.m_name != m_source) {
    return;
  }
  // Records are relayed by the next host within their maximum age, so the log is not read.
  if (const std::optional<Peer> next = m_roster->Source(aNow)) {
    PollSource(*next, aNow);
  } else if (!m_fallback.IsActive()) {
    EndTopicUpdates();
  }
}

void PeerExchange::HandleSyncRequest(const net::HttpRequest& aRequest,
                                     const std::shared_ptr<net::HttpReply>& aReply)
{
  base::Result<SyncRequest> syncRequest = DecodeSyncRequest(aRequest.m_body);
  if (!syncRequest) {
    aReply->Send(kBadRequest, {}, syncRequest.error().m_message);
    return;
  }
  if (m_leaving || m_stopped) {
    aReply->Send(kUnavailable, {}, "this host is shutting down");
    return;
  }
  m_counters.OnRequestReceived(*syncRequest, aRequest.m_body.size());
  const base::TimePoint now = base::MonotonicNow();
  if (syncRequest->m_isRegistered) {
    m_roster->AddOrUpdate(syncRequest->m_sender);
  }
  m_lastContactAt = now;
  ApplyReloads(syncRequest->m_reloads, now);
  ApplyReplacements(syncRequest->m_replaced, now);
  ApplyLeaving(syncRequest->m_announcedLeaving, now);
  ApplyBackoffs(syncRequest->m_backoffs, now);
  ApplyLimits(syncRequest->m_limits, now);
  ApplyBrittleness(syncRequest->m_brittle, now);
  ApplyCrashes(syncRequest->m_crashes, now);
  m_loads.OnReport(syncRequest->m_sender.m_name, syncRequest->m_scope, syncRequest->m_loads, now);
  SyncReply reply;
  reply.m_incarnation = m_incarnation;
  reply.m_reloads = m_reloads.Notices(now);
  reply.m_replaced = m_replaced.Notices(now);
  reply.m_announcedLeaving = m_announcedLeaving.Notices(now);
  reply.m_backoffs = m_backoffs.Notices(now);
  reply.m_limits = m_limits.Reports(now);
  reply.m_brittle = m_brittle.Reports(now);
  reply.m_topics = CollectTopicUpdates(syncRequest->m_topics, now);
  reply.m_loads = m_ownLoads();
  if (syncRequest->m_scope == LoadScope::Own) {
    m_lastPolledAt = now;
    reply.m_loads = Sum(reply.m_loads, m_loads.AllExcept(syncRequest->m_sender.m_name));
    reply.m_sources = m_roster->SourcesOf(syncRequest->m_sender.m_zone, now);
    if (DigestOf(reply.m_sources) == syncRequest->m_sourcesDigest) {
      reply.m_sources.clear();
    }
    const quarantine::NoticeOffset from =
      syncRequest->m_incarnation == m_incarnation ? syncRequest->m_crashesFrom : 0;
    reply.m_crashes = m_crashes.Notices().Since(from, kMaxCrashNotices);
    reply.m_crashesNext = m_crashes.Notices().NextOffset(from, kMaxCrashNotices);
  } else {
    reply.m_loads = Sum(reply.m_loads, m_loads.OwnScopeTotals());
  }
  for (cache::ContentsCursor& cursor : syncRequest->m_cursors) {
    if (syncRequest->m_incarnation != m_incarnation) {
      cursor.m_series = 0;
    }
    const auto known = m_stores.find(cursor.m_store);
    if (known == m_stores.end()) {
      continue;
    }
    if (auto delta = known->second.DeltaSince(cursor, now)) {
      reply.m_stores.push_back(std::move(*delta));
    }
  }
  std::string body = Encode(reply);
  m_counters.OnReplySent(body.size());
  aReply->Send(kOk, { { "Content-Type", "application/octet-stream" } }, std::move(body));
}

} // namespace ferrytray::peers
