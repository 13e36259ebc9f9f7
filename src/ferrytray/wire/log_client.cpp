#include "ferrytray/wire/log_client.hpp"

#include <utility> // for move

#include <nlohmann/json.hpp> // for json

namespace ferrytray::wire {

namespace {

using nlohmann::json;

constexpr base::Duration kAppendTimeout = std::chrono::seconds(5);

base::Result<LogPage> ParsePage(const std::string& aJson)
{
  try {
    const json object = json::parse(aJson);
    LogPage page;
    page.m_firstRetained = object.at("first").get<std::uint64_t>();
    page.m_endOffset = object.at("next").get<std::uint64_t>();
    page.m_now = std::chrono::milliseconds(object.at("now_ms").get<std::int64_t>());
    for (const json& record : object.at("records")) {
      page.m_records.push_back(
        { record.at("offset").get<std::uint64_t>(),
          std::chrono::milliseconds(record.at("time_ms").get<std::int64_t>()),
          record.at("body").get<std::string>() });
    }
    return page;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed, std::string("log page: ") + error.what());
  }
}

base::Result<std::uint64_t> ParseOffset(const std::string& aJson)
{
  try {
    return json::parse(aJson).at("offset").get<std::uint64_t>();
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("log append: ") + error.what());
  }
}

bool Succeeded(const net::ClientOutcome& aOutcome)
{
  constexpr int kOk = 200;
  return net::EndedWithoutFailure(aOutcome) && aOutcome.m_status == kOk;
}

} // namespace

LogClient::LogClient(net::HttpClient& aHttp, std::string aPlatform, std::string aTopic)
  : m_http(aHttp)
  , m_topicUrl(std::move(aPlatform) + "/log/" + std::move(aTopic))
  , m_alive(std::make_shared<bool>(true))
{
}

LogClient::~LogClient()
{
  *m_alive = false;
}

template<typename Parse, typename Done>
void LogClient::Send(net::ClientRequest aRequest,
                     const char* aErrorPrefix,
                     Parse aParse,
                     Done aDone)
{
  m_http.Fetch(
    std::move(aRequest),
    [alive = m_alive, aErrorPrefix, aParse, done = std::move(aDone)](
      const net::ClientOutcome& aOutcome, std::string aReply) {
      if (!*alive) {
        return;
      }
      if (!Succeeded(aOutcome)) {
        done(base::Fail(base::ErrorCode::PlatformUnavailable, aErrorPrefix + aOutcome.m_detail));
        return;
      }
      done(aParse(aReply));
    });
}

void LogClient::Append(std::string aBody, AppendDone aDone)
{
  net::ClientRequest request;
  request.m_method = "POST";
  request.m_url = m_topicUrl;
  request.m_headers = { { "Content-Type", "application/json" } };
  request.m_body = std::move(aBody);
  request.m_timeout = kAppendTimeout;
  Send(std::move(request), "log append: ", ParseOffset, std::move(aDone));
}

void LogClient::Read(std::uint64_t aFrom,
                     base::Duration aWait,
                     base::Duration aReplyTimeout,
                     ReadDone aDone)
{
  const auto waitMillis = std::chrono::duration_cast<std::chrono::milliseconds>(aWait).count();
  net::ClientRequest request;
  request.m_url =
    m_topicUrl + "?from=" + std::to_string(aFrom) + "&wait_ms=" + std::to_string(waitMillis);
  request.m_timeout = aWait + aReplyTimeout;
  request.m_match = net::InOrder(); // each record has its offset
  Send(std::move(request), "log read: ", ParsePage, std::move(aDone));
}

} // namespace ferrytray::wire
