#include "standins/engine.hpp"

#include "standins/engine_text.hpp" // for Hash, ToServerSentEvent

namespace standins {

using namespace ferrytray;

namespace {

constexpr base::Duration kLoadSampleInterval = std::chrono::milliseconds(100);
constexpr base::Duration kImportTimeout = std::chrono::seconds(20);

json BlockToJson(const std::string& aBlock, const std::string& aValue)
{
  return { { "block", aBlock },
           { "value", aValue },
           { "length", aValue.size() },
           { "checksum", Hash("", aValue) } };
}

} // namespace

Engine::Engine(net::Loop& aLoop, EngineOptions aOptions)
  : m_loop(aLoop)
  , m_http(net::HttpClient::Create(aLoop))
  , m_options(std::move(aOptions))
  , m_cache(m_options.m_cacheBlocks)
{
  m_decodeTimer = m_loop.Every(m_options.m_tokenTime, [this] { DecodeStep(); });
  m_loadReports.emplace_back(base::MonotonicNow(), CurrentLoad());
  m_loadTimer = m_loop.Every(kLoadSampleInterval, [this] {
    m_loadReports.emplace_back(base::MonotonicNow(), CurrentLoad());
  });
}

void Engine::Handle(const Request& aRequest, const ReplyPtr& aReply)
{
  const std::string& path = aRequest.m_path;
  if (path == "/v1/completions") {
    OnCompletion(aRequest, aReply);
  } else if (path.rfind("/v1/streams/", 0) == 0) {
    OnStream(aRequest, aReply);
  } else if (path == "/load") {
    OnLoad(aReply);
  } else if (path == "/events") {
    OnEvents(aRequest, aReply);
  } else if (path == "/kv/list") {
    SendJson(
      aReply, 200, { { "sequence", m_cache.LastSequence() }, { "blocks", m_cache.BlockNames() } });
  } else if (path == "/kv/import") {
    OnImport(ParseBody(aRequest.m_body), aReply);
  } else if (path == "/kv/drop") {
    m_imports.erase(ParseBody(aRequest.m_body).at("import").get<std::string>());
    SendJson(aReply, 200, json::object());
  } else if (path == "/kv/export") {
    OnExport(ParseBody(aRequest.m_body), aReply);
  } else if (path == "/orders") {
    OnOrder(ParseBody(aRequest.m_body), aReply);
  } else if (path == "/ledger") {
    SendJson(aReply,
             200,
             { { "executions", m_executions },
               { "refusals", m_refusals },
               { "orders", m_orders },
               { "event_polls", m_eventPolls } });
  } else if (path == "/admin/faults") {
    OnFaults(ParseBody(aRequest.m_body), aReply);
  } else {
    SendError(aReply, 404, "no such path", false);
  }
}

std::string Engine::RejectionReason(const json& aBody) const
{
  if (m_leaving) {
    return "leaving";
  }
  if (!m_swapTarget.empty()) {
    return "swapping";
  }
  if (aBody.value("x_incarnation", m_options.m_incarnation) != m_options.m_incarnation) {
    return "another incarnation";
  }
  if (aBody.value("x_version", m_options.m_version) != m_options.m_version) {
    return "another weight version";
  }
  if (m_runs.contains(aBody.value("x_attempt", ""))) {
    return "attempt is known";
  }
  return {};
}

void Engine::OnImport(const json& aBody, const ReplyPtr& aReply)
{
  const std::string import = aBody.at("import").get<std::string>();
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = aBody.at("store").get<std::string>() + "/kv/read";
  request.m_body = json{ { "blocks", aBody.at("blocks") } }.dump();
  request.m_timeout = kImportTimeout;
  const std::size_t skip = aBody.value("skip", std::size_t{ 0 });
  m_http->Fetch(std::move(request),
                [this, import, skip, aReply](const auto& aOutcome, const std::string& aText) {
                  const json reply = ParseBody(aText);
                  if (aOutcome.m_status != 200 || !reply.contains("blocks")) {
                    SendError(aReply, 502, "store did not reply", false);
                    return;
                  }
                  std::vector<std::string> values;
                  for (const json& row : reply["blocks"]) {
                    const std::string value = row.at("value").get<std::string>();
                    const bool intact = value.size() == row.at("length").get<std::size_t>() &&
                                        Hash("", value) == row.at("checksum").get<std::string>();
                    if (!intact) {
                      break;
                    }
                    values.push_back(value);
                  }
                  m_imports[import] = { skip, values };
                  SendJson(aReply, 200, { { "imported", values.size() } });
                });
}

void Engine::OnExport(const json& aBody, const ReplyPtr& aReply)
{
  json rows = json::array();
  for (const std::string block : aBody.at("blocks")) {
    const std::string value = m_cache.Get(block);
    if (value.empty()) {
      break;
    }
    rows.push_back(BlockToJson(block, value));
  }
  const std::string store = aBody.at("store").get<std::string>();
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = store + "/kv/stage";
  request.m_body = json{ { "upload", aBody.at("upload") }, { "blocks", rows } }.dump();
  request.m_timeout = kImportTimeout;
  json manifest = rows;
  for (json& row : manifest) {
    row.erase("value");
  }
  m_http->Fetch(std::move(request), [aReply, manifest](const auto& aOutcome, const std::string&) {
    if (aOutcome.m_status != 200) {
      SendError(aReply, 502, "store rejected the upload", false);
      return;
    }
    SendJson(aReply, 200, { { "manifest", manifest } });
  });
}

void Engine::OnOrder(const json& aBody, const ReplyPtr& aReply)
{
  const std::uint64_t fence = aBody.at("fence").get<std::uint64_t>();
  const std::string version = aBody.at("version").get<std::string>();
  if (m_options.m_checksFencing && fence < m_highestFence) {
    SendError(aReply, 409, "old fencing number", false);
    return;
  }
  if (aBody.value("incarnation", m_options.m_incarnation) != m_options.m_incarnation) {
    SendError(aReply, 409, "another incarnation", false);
    return;
  }
  m_highestFence = std::max(m_highestFence, fence);
  m_orders.push_back(aBody);
  BeginSwap(version);
  SendJson(aReply, 200, { { "version", version } });
}

void Engine::BeginSwap(const std::string& aVersion)
{
  const std::string running = m_swapTarget.empty() ? m_options.m_version : m_swapTarget;
  if (running == aVersion) {
    return;
  }
  m_swapTarget = aVersion;
  const auto load = [this, aVersion] {
    m_swapTimer = m_loop.After(m_options.m_swapTime, [this, aVersion] {
      if (m_swapTarget != aVersion) {
        return;
      }
      m_options.m_version = aVersion;
      m_swapTarget.clear();
      // Requests queued for the old version have not started; their replies say so.
      for (const auto& [key, run] : m_prefillQueue) {
        for (const ReplyPtr& reader : run->m_readers) {
          reader->Write(ToServerSentEvent(
            { { "error", { { "message", "swapped" } } }, { "x_started", false } }));
          reader->Finish();
        }
        m_runs.erase(run->m_attempt);
      }
      m_prefillQueue.clear();
      m_cache.Clear();
    });
  };
  if (m_options.m_weightStore.empty()) {
    load();
    return;
  }
  net::ClientRequest request;
  request.m_url = m_options.m_weightStore + "/weights/" + m_options.m_model + "/" + aVersion;
  m_http->Fetch(std::move(request), [load](const auto&, const std::string&) { load(); });
}

void Engine::OnEvents(const Request& aRequest, const ReplyPtr& aReply)
{
  ++m_eventPolls;
  const std::string after = aRequest.QueryValue("after");
  json rows = json::array();
  for (const CacheEvent& event : m_cache.EventsAfter(after.empty() ? 0 : std::stoull(after))) {
    if (m_eventsToDrop > 0) {
      --m_eventsToDrop;
      continue;
    }
    rows.push_back({ { "sequence", event.m_sequence },
                     { "block", event.m_block },
                     { "stored", event.m_stored } });
  }
  SendJson(aReply, 200, { { "events", rows } });
}

json Engine::CurrentLoad() const
{
  double tokens = 0;
  for (const auto& [key, run] : m_prefillQueue) {
    tokens += run->m_promptTokens;
  }
  if (m_prefilling) {
    tokens += m_prefilling->m_promptTokens;
  }
  const double millis = tokens / m_options.m_tokensPerSecond * m_slowness * 1000;
  return { { "incarnation", m_options.m_incarnation },
           { "version", m_swapTarget.empty() ? m_options.m_version : "" },
           { "swapping", !m_swapTarget.empty() },
           { "leaving", m_leaving },
           { "queued_ms", static_cast<std::uint32_t>(millis) },
           { "running", m_decoding.size() },
           { "tokens_per_second", m_options.m_tokensPerSecond / m_slowness } };
}

void Engine::OnLoad(const ReplyPtr& aReply)
{
  const base::TimePoint now = base::MonotonicNow();
  while (m_loadReports.size() > 1 && now - m_loadReports[1].first >= m_options.m_loadLag) {
    m_loadReports.pop_front();
  }
  const bool fresh = m_options.m_loadLag == base::Duration::zero();
  json load = fresh ? CurrentLoad() : m_loadReports.front().second;
  load["age_ms"] = fresh ? 0 : (now - m_loadReports.front().first).count() / 1000;
  SendJson(aReply, 200, load);
}

void Engine::OnFaults(const json& aBody, const ReplyPtr& aReply)
{
  m_slowness = aBody.value("slowness", m_slowness);
  m_leaving = aBody.value("leaving", m_leaving);
  m_retryAfter = aBody.value("retry_after", m_retryAfter);
  m_eventsToDrop = aBody.value("hide_events", m_eventsToDrop);
  m_answerVersion = aBody.value("answer_version", m_answerVersion);
  if (aBody.value("evict", false)) {
    m_cache.Clear();
  }
  SendJson(aReply, 200, json::object());
}

} // namespace standins
