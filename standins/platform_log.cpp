#include "standins/platform_log.hpp"

#include <algorithm> // for max

namespace standins {

using namespace ferrytray;

namespace {

std::int64_t NowMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           base::MonotonicNow().time_since_epoch())
    .count();
}

std::uint64_t QueryNumber(const net::HttpRequest& aRequest,
                          const char* aName,
                          std::uint64_t aDefault)
{
  const std::string text = aRequest.QueryValue(aName);
  return text.empty() ? aDefault : std::stoull(text);
}

} // namespace

Platform::Platform(net::Loop& aLoop, PlatformOptions aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
{
}

void Platform::Handle(const net::HttpRequest& aRequest, const ReplyPtr& aReply)
{
  if (aRequest.m_path == "/admin/faults") {
    OnFaults(ParseBody(aRequest.m_body), aReply);
    return;
  }
  if (aRequest.m_path == "/stat") {
    SendJson(aReply, 200, { { "appends", m_appends } });
    return;
  }
  if (aRequest.m_path.rfind("/hosts", 0) == 0 && aRequest.m_method != "GET") {
    OnUpdateHosts(aRequest, aReply);
    return;
  }
  if (m_down) {
    SendError(aReply, 503, "down", false);
    return;
  }
  const std::string logPrefix = "/log/";
  if (aRequest.m_path.rfind(logPrefix, 0) == 0) {
    const std::string stream = aRequest.m_path.substr(logPrefix.size());
    if (aRequest.m_method == "POST") {
      OnAppend(stream, aRequest.m_body, aReply);
    } else {
      OnRead(stream, aRequest, aReply);
    }
  } else if (aRequest.m_path == "/hosts") {
    SendHosts(aRequest, aReply);
  } else if (aRequest.m_path.rfind("/weights/", 0) == 0) {
    OnWeights(aReply);
  } else {
    SendError(aReply, 404, "no such path", false);
  }
}

void Platform::OnAppend(const std::string& aStream,
                        const std::string& aBody,
                        const ReplyPtr& aReply)
{
  // Limits the append rate: an append waits until the earlier ones are done.
  const base::TimePoint now = base::MonotonicNow();
  m_nextAppendTime =
    std::max(m_nextAppendTime, now) + base::FromSeconds(1.0 / m_options.m_appendsPerSecond);
  RunAfter(m_nextAppendTime - now + m_replyDelay, [this, aStream, aBody, aReply] {
    Stream& stream = m_streams[aStream];
    const std::uint64_t offset = stream.m_next++;
    stream.m_records.push_back({ offset, NowMillis(), aBody });
    ++m_appends;
    while (stream.m_records.size() > m_options.m_retainedRecords) {
      stream.m_records.pop_front();
    }
    CompleteLongPolls(stream);
    if (m_repliesToDrop > 0) {
      --m_repliesToDrop;
      SendError(aReply, 504, "reply lost", true);
      return;
    }
    SendJson(aReply, 200, { { "offset", offset } });
  });
}

json Platform::MakePage(const Stream& aStream, std::uint64_t aFrom) const
{
  constexpr std::size_t kPageRecords = 2000;
  json records = json::array();
  const std::uint64_t first =
    aStream.m_records.empty() ? aStream.m_next : aStream.m_records.front().m_offset;
  const std::size_t skip = aFrom > first ? static_cast<std::size_t>(aFrom - first) : 0;
  for (std::size_t i = skip; i < aStream.m_records.size() && records.size() < kPageRecords; ++i) {
    const Record& record = aStream.m_records[i];
    records.push_back({ { "offset", record.m_offset },
                        { "time_ms", record.m_timeMillis },
                        { "body", record.m_body } });
  }
  return { { "first", first },
           { "next", aStream.m_next },
           { "now_ms", NowMillis() },
           { "records", records } };
}

void Platform::OnRead(const std::string& aStream,
                      const net::HttpRequest& aRequest,
                      const ReplyPtr& aReply)
{
  const std::uint64_t from = QueryNumber(aRequest, "from", 1);
  const std::uint64_t wait = QueryNumber(aRequest, "wait_ms", 0);
  Stream& stream = m_streams[aStream];
  if (from < stream.m_next || wait == 0) {
    RunAfter(m_replyDelay, [this, aStream, from, aReply] {
      SendJson(aReply, 200, MakePage(m_streams[aStream], from));
    });
    return;
  }
  if (!m_answersLongPolls) {
    HoldUnanswered(aReply);
    return;
  }
  const std::uint64_t id = ++m_lastLongPollId;
  const auto timer = m_loop.After(std::chrono::milliseconds(wait), [this, aStream, id] {
    Stream& polled = m_streams[aStream];
    const auto found = polled.m_longPolls.find(id);
    SendJson(found->second.m_reply, 200, MakePage(polled, found->second.m_from));
    m_loop.Post([this, aStream, id] { m_streams[aStream].m_longPolls.erase(id); });
  });
  stream.m_longPolls.emplace(id, LongPoll{ from, aReply, timer });
}

void Platform::HoldUnanswered(const ReplyPtr& aReply)
{
  constexpr std::size_t kMaxUnanswered = 4096;
  m_unanswered.push_back(aReply);
  if (m_unanswered.size() > kMaxUnanswered) {
    m_unanswered.pop_front();
  }
}

void Platform::CompleteLongPolls(Stream& aStream)
{
  const auto polls = std::exchange(aStream.m_longPolls, {});
  for (const auto& [id, poll] : polls) {
    poll.m_timer->Cancel();
    if (m_down) {
      SendError(poll.m_reply, 503, "down", false);
    } else {
      SendJson(poll.m_reply, 200, MakePage(aStream, poll.m_from));
    }
  }
}

void Platform::OnUpdateHosts(const net::HttpRequest& aRequest, const ReplyPtr& aReply)
{
  const json body = ParseBody(aRequest.m_body);
  for (const json& row : body.at("hosts")) {
    const std::string name = row.at("name").get<std::string>();
    if (row.value("state", "live") == "gone") {
      m_hosts.erase(name);
    } else {
      m_hosts[name] = row;
    }
  }
  json published = json::array();
  for (const auto& [name, row] : m_hosts) {
    published.push_back(row);
  }
  RunAfter(m_options.m_hostListLag, [this, published] {
    m_publishedHosts = published;
    ++m_hostsVersion;
  });
  SendJson(aReply, 200, json::object());
}

void Platform::SendHosts(const net::HttpRequest& aRequest, const ReplyPtr& aReply)
{
  const std::string tag = "\"" + std::to_string(m_hostsVersion) + "\"";
  if (aRequest.Header("If-None-Match") == tag) {
    aReply->Send(304, { { "ETag", tag } }, "");
    return;
  }
  const net::Headers headers{ { "Content-Type", "application/json" }, { "ETag", tag } };
  aReply->Send(200, headers, json{ { "hosts", m_publishedHosts } }.dump());
}

void Platform::OnWeights(const ReplyPtr& aReply)
{
  ++m_activeDownloads;
  const std::size_t excess =
    m_activeDownloads > m_options.m_weightSlots ? m_activeDownloads - m_options.m_weightSlots : 0;
  RunAfter(m_options.m_weightTime * static_cast<int>(1 + excess), [this, aReply] {
    --m_activeDownloads;
    SendJson(aReply, 200, json::object());
  });
}

void Platform::OnFaults(const json& aBody, const ReplyPtr& aReply)
{
  m_down = aBody.value("down", m_down);
  m_repliesToDrop = aBody.value("lose_replies", m_repliesToDrop);
  m_replyDelay = std::chrono::milliseconds(aBody.value("slow_ms", m_replyDelay.count() / 1000));
  m_options.m_retainedRecords = aBody.value("retained_records", m_options.m_retainedRecords);
  m_answersLongPolls = aBody.value("answer_held_reads", m_answersLongPolls);
  for (auto& [name, stream] : m_streams) {
    if (m_down) {
      CompleteLongPolls(stream);
    } else if (!m_answersLongPolls) {
      for (const auto& [id, poll] : std::exchange(stream.m_longPolls, {})) {
        poll.m_timer->Cancel();
        HoldUnanswered(poll.m_reply);
      }
    }
  }
  SendJson(aReply, 200, json::object());
}

void Platform::RunAfter(base::Duration aDelay, std::function<void()> aCall)
{
  if (aDelay <= base::Duration::zero()) {
    aCall();
    return;
  }
  auto timer = std::make_shared<net::TimerHandle>();
  *timer = m_loop.After(aDelay, [call = std::move(aCall), timer] {
    call();
    timer->reset();
  });
}

} // namespace standins
