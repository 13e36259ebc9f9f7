#include "ferrytray/peers/news_exchange.hpp"

#include <random>  // for random_device
#include <utility> // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr std::string_view kPath = "/news";

std::uint64_t RandomNumber()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

base::Result<Peer> FromRecord(const store::Record& aRecord)
{
  base::Result<Peer> peer = DecodePeer(aRecord.m_value);
  if (peer && peer->m_name != aRecord.m_key) {
    return base::Fail(base::ErrorCode::PlatformMalformed, "the record is another host's");
  }
  return peer;
}

} // namespace

NewsExchange::NewsExchange(net::Loop& aLoop,
                           net::HttpClient& aClient,
                           store::RecordLog& aLog,
                           cache::Stores& aStores,
                           LoadBoard& aLoads,
                           ReloadBoard& aReloads,
                           quarantine::CrashBoard& aCrashes,
                           NewsOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_log(aLog)
  , m_stores(aStores)
  , m_loads(aLoads)
  , m_reloads(aReloads)
  , m_crashes(aCrashes)
  , m_options(std::move(aOptions))
  , m_incarnation(RandomNumber())
{
}

base::Result<void> NewsExchange::Start()
{
  net::HttpServerOptions options;
  options.m_listen = m_options.m_listen;
  auto server = net::HttpServer::Create(
    m_loop,
    options,
    [this](const net::HttpRequest& aRequest, const std::shared_ptr<net::HttpReply>& aReply) {
      Answer(aRequest, aReply);
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
  Look();
  m_tick = m_loop.Every(m_options.m_askEvery, [this] { Tick(); });
  return {};
}

void NewsExchange::Stop()
{
  m_stopped = true;
  m_tick.reset();
  m_lookTimer.reset();
}

void NewsExchange::Look()
{
  m_log.ReadSnapshot(m_options.m_topic, [this](const base::Result<store::Snapshot>& aResult) {
    if (!m_stopped) {
      OnHosts(aResult);
    }
  });
}

void NewsExchange::OnHosts(const base::Result<store::Snapshot>& aResult)
{
  if (!aResult) {
    telemetry::LogLine("hosts").Add("outcome", "failed").Add("why", aResult.error().m_message);
    StartTopics();
    // Those that an earlier look found may be asked though the log has gone away since.
    m_looked = m_looked || m_roster->Hosts() > 1;
    LookLater(m_options.m_lookAgain);
    return;
  }
  bool listed = m_enrolled;
  for (const store::Record& record : aResult->m_records) {
    if (const auto peer = FromRecord(record)) {
      m_roster->Learn(*peer);
      listed = listed || *peer == m_roster->Self();
    } else {
      m_unreadable.Note(record, peer.error());
    }
  }
  telemetry::LogLine("hosts").Add("known", m_roster->Hosts()).Add("listed", listed ? "yes" : "no");
  if (!listed) {
    Enrol();
    return;
  }
  const bool first = !std::exchange(m_looked, true);
  LookLater(first ? m_options.m_lookAgain : m_options.m_lookEvery);
  if (first) {
    m_startTopicsAt = base::MonotonicNow() + m_options.m_wholeWithin;
    Tick();
  }
}

void NewsExchange::Enrol()
{
  m_log.AppendKeyed(m_options.m_topic,
                    m_options.m_name,
                    Encode(m_roster->Self()),
                    [this](const base::Result<store::AppendResult>& aResult) {
                      if (m_stopped) {
                        return;
                      }
                      m_enrolled = aResult.has_value();
                      if (!aResult) {
                        telemetry::LogLine("enrolled")
                          .Add("outcome", "failed")
                          .Add("why", aResult.error().m_message);
                        StartTopics();
                      }
                      LookLater(m_enrolled ? m_options.m_lookFirst : m_options.m_enrolRetry);
                    });
}

void NewsExchange::LookLater(base::Duration aDelay)
{
  m_lookTimer = m_loop.After(aDelay, [this] {
    // A host that follows another one hears from that one who reads.
    if (m_direct || !m_looked) {
      Look();
    } else {
      LookLater(m_options.m_lookAgain);
    }
  });
}

void NewsExchange::StartTopics()
{
  for (const auto& topic : m_topics) {
    topic->Start();
  }
}

void NewsExchange::Tick()
{
  const base::TimePoint now = base::MonotonicNow();
  m_loads.Expire(now);
  m_reloads.Expire(now);
  m_replaced.Expire(now);
  if (!m_looked) {
    return; // nobody is known yet
  }
  const std::optional<Peer> source = m_roster->Source(now);
  const bool asked = m_wasAskedAt && now < *m_wasAskedAt + m_options.m_readFor;
  if (source) {
    SetDirect(asked, asked ? "asked by others" : "another host reads");
  } else {
    SetDirect(true, "reader by rank");
  }
  if (m_direct || now >= m_startTopicsAt) {
    StartTopics();
  }
  if (!m_direct) {
    AskSource(*source, now);
    AskFallback(now);
    return;
  }
  AskFallback(now);
  for (const Peer& reader : m_roster->OtherReaders(now)) {
    AskReader(reader, now);
  }
}

void NewsExchange::SetDirect(bool aDirect, const char* aWhy)
{
  if (std::exchange(m_direct, aDirect) == aDirect) {
    return;
  }
  telemetry::LogLine("reads_stores")
    .Add("outcome", aDirect ? "itself" : "by_another_host")
    .Add("why", aWhy)
    .Add("hosts", m_roster->Hosts());
  if (m_onDirect) {
    m_onDirect(aDirect);
  }
}

void NewsExchange::AskSource(const Peer& aSource, base::TimePoint aNow)
{
  if (m_source != aSource.m_name) {
    // The new source tells of the same hosts: counted twice, all endpoints would look busier.
    m_loads.OnReport(m_source, LoadScope::Summary, {}, aNow);
    EndNewsOfTopics();
    m_source = aSource.m_name;
    telemetry::LogLine("asks_host").Add("host", aSource.m_name).Add("address", aSource.m_address);
    m_sourceIncarnation = 0;
  }
  NewsRequest question;
  question.m_incarnation = m_sourceIncarnation;
  for (const auto& [address, contents] : m_stores) {
    cache::ContentsCursor cursor = contents.Cursor();
    cursor.m_store = address;
    question.m_cursors.push_back(std::move(cursor));
  }
  question.m_topics = TopicCursors();
  question.m_scope = LoadScope::Own;
  question.m_loads = m_ownLoads();
  question.m_replaced = m_replaced.Notices(aNow);
  Ask(aSource, question, aNow);
}

void NewsExchange::AskReader(const Peer& aReader, base::TimePoint aNow)
{
  NewsRequest question;
  question.m_scope = LoadScope::Summary;
  question.m_loads = Sum(m_loads.OwnReports(), m_ownLoads());
  question.m_reloads = m_reloads.Notices(aNow);
  question.m_replaced = m_replaced.Notices(aNow);
  Ask(aReader, question, aNow);
}

void NewsExchange::Ask(const Peer& aPeer, const NewsRequest& aQuestion, base::TimePoint aNow)
{
  if (!m_asking.insert(aPeer.m_name).second) {
    return;
  }
  NewsRequest question = aQuestion;
  question.m_sender = m_roster->Self();
  AddCrashes(aPeer, question);
  const quarantine::NoticeNumber told =
    m_crashes.Notices().After(m_crashesKnown[aPeer.m_name].m_told, kMostCrashNotices);
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://" + aPeer.m_address + std::string(kPath);
  request.m_headers = { { "Content-Type", "application/octet-stream" } };
  request.m_body = Encode(question);
  request.m_connectTimeout = m_options.m_connectWithin;
  request.m_timeout = m_options.m_answerWithin;
  m_client.Fetch(
    std::move(request),
    [this, aPeer, aNow, told](const net::ClientOutcome& aOutcome, const std::string& aBody) {
      m_asking.erase(aPeer.m_name);
      if (!m_stopped) {
        OnReply(aPeer, { aNow, told }, aOutcome, aBody);
      }
    });
}

void NewsExchange::OnReply(const Peer& aSource,
                           const Asked& aAsked,
                           const net::ClientOutcome& aOutcome,
                           const std::string& aBody)
{
  const base::TimePoint now = base::MonotonicNow();
  const bool whole = aOutcome.m_end == net::WireEnd::Complete && aOutcome.m_status == kOk;
  const base::Result<NewsReply> reply =
    whole ? DecodeNewsReply(aBody)
          : base::Fail(base::ErrorCode::EndpointUnreachable,
                       "status " + std::to_string(aOutcome.m_status) + ", " + aOutcome.m_detail);
  if (!reply) {
    telemetry::LogLine("host_missed")
      .Add("host", aSource.m_name)
      .Add("why", reply.error().m_message);
    m_roster->OnMissed(aSource.m_name, now);
    m_fallback.OnAnswer(aSource.m_name, false);
    if (aSource.m_name == m_source && !m_fallback.Helped()) {
      EndNewsOfTopics();
    }
    return;
  }
  m_roster->OnAnswered(aSource.m_name);
  m_heardAt = now;
  TakeReloads(reply->m_reloads, now);
  TakeReplaced(reply->m_replaced, now);
  OnCrashesTold(aSource, *reply, aAsked.m_crashesTold);
  TakeCrashes(reply->m_crashes, now);
  for (const Peer& reader : reply->m_readers) {
    m_roster->Learn(reader);
  }
  const bool fromSource = !m_direct && aSource.m_name == m_source;
  if (m_direct || fromSource) {
    m_loads.OnReport(aSource.m_name, LoadScope::Summary, reply->m_loads, now);
  }
  if (!fromSource) {
    if (aSource.m_name == m_fallback.Name() && !reply->m_topics.empty()) {
      OnFallbackReply(aSource, aAsked.m_at, *reply);
    }
    return; // this host reads by itself meanwhile, or asks another one
  }
  m_sourceIncarnation = reply->m_incarnation;
  TakeNewsOfTopics(reply->m_topics, aAsked.m_at);
  for (const cache::ContentsDelta& digest : reply->m_stores) {
    const auto known = m_stores.find(digest.m_store);
    if (known != m_stores.end()) {
      known->second.OnDelta(digest, aAsked.m_at, now);
    }
  }
}

void NewsExchange::Answer(const net::HttpRequest& aRequest,
                          const std::shared_ptr<net::HttpReply>& aReply)
{
  if (aRequest.m_path == kPlacementPath) {
    AnswerPlacement(aRequest, aReply);
    return;
  }
  base::Result<NewsRequest> question = DecodeNewsRequest(aRequest.m_body);
  if (!question) {
    aReply->Send(kBadRequest, {}, question.error().m_message);
    return;
  }
  if (m_leaving || m_stopped) {
    aReply->Send(kUnavailable, {}, "this host stops");
    return;
  }
  const base::TimePoint now = base::MonotonicNow();
  m_roster->Learn(question->m_sender);
  m_heardAt = now;
  TakeReloads(question->m_reloads, now);
  TakeReplaced(question->m_replaced, now);
  TakeCrashes(question->m_crashes, now);
  m_loads.OnReport(question->m_sender.m_name, question->m_scope, question->m_loads, now);
  NewsReply reply;
  reply.m_incarnation = m_incarnation;
  reply.m_reloads = m_reloads.Notices(now);
  reply.m_replaced = m_replaced.Notices(now);
  reply.m_topics = NewsOfTopics(
    question->m_topics, question->m_lostLog ? store::PassOn::All : store::PassOn::Light, now);
  reply.m_loads = m_ownLoads();
  if (question->m_scope == LoadScope::Own) {
    m_wasAskedAt = now;
    SetDirect(true, "asked by others");
    reply.m_loads = Sum(reply.m_loads, m_loads.AllBut(question->m_sender.m_name));
    reply.m_readers = m_roster->ReadersOf(question->m_sender.m_zone, now);
    const quarantine::NoticeNumber from =
      question->m_incarnation == m_incarnation ? question->m_crashesFrom : 0;
    reply.m_crashes = m_crashes.Notices().Since(from, kMostCrashNotices);
    reply.m_crashesNext = m_crashes.Notices().After(from, kMostCrashNotices);
  } else {
    reply.m_loads = Sum(reply.m_loads, m_loads.OwnReports());
  }
  for (cache::ContentsCursor& cursor : question->m_cursors) {
    if (question->m_incarnation != m_incarnation) {
      cursor.m_series = 0;
    }
    const auto known = m_stores.find(cursor.m_store);
    if (known == m_stores.end()) {
      continue;
    }
    if (auto digest = known->second.DeltaSince(cursor, now)) {
      reply.m_stores.push_back(std::move(*digest));
    }
  }
  aReply->Send(kOk, { { "Content-Type", "application/octet-stream" } }, Encode(reply));
}

} // namespace ferrytray::peers
