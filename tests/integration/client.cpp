#include "tests/integration/client.hpp"

#include <sstream> // for istringstream

namespace integration {

using namespace ferrytray;

namespace {

constexpr base::Duration kLongLimit = std::chrono::seconds(60);
constexpr base::Duration kBeforeDuring = std::chrono::milliseconds(30);

net::ClientRequest ToRequest(const Call& aCall)
{
  net::ClientRequest request;
  request.m_method = aCall.m_method;
  request.m_url = aCall.m_url;
  request.m_body = aCall.m_body;
  request.m_headers = aCall.m_headers;
  request.m_timeout = kLongLimit;
  request.m_freshConnection = true;
  return request;
}

std::string StreamText(const std::string& aBody)
{
  std::istringstream lines(aBody);
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    const json event =
      line.rfind("data: {", 0) == 0 ? json::parse(line.substr(6), nullptr, false) : json();
    if (event.is_object() && event.contains("choices")) {
      text += event["choices"][0].value("text", "");
    }
  }
  return text;
}

} // namespace

int Answer::Code() const
{
  const json body = Json();
  const bool isError = body.is_object() && body.contains("error");
  return isError ? body["error"].value("code", 0) : 0;
}

std::string Answer::Run() const
{
  const json body = Json();
  const bool isError = body.is_object() && body.contains("error");
  return isError ? body["error"].value("run", "") : "";
}

std::string Answer::Text() const
{
  const json body = Json();
  if (!body.is_object()) {
    return StreamText(m_body);
  }
  return body.contains("choices") ? body["choices"][0].value("text", "") : "";
}

std::vector<Answer> SendAll(const std::vector<Call>& aCalls, const std::function<void()>& aDuring)
{
  net::Loop loop;
  const auto http = net::HttpClient::Create(loop);
  std::vector<Answer> answers(aCalls.size());
  // Ends when every call has ended and what is to be done meanwhile was done.
  std::size_t left = aCalls.size() + 1;
  const auto endOne = [&] {
    if (--left == 0) {
      loop.Stop();
    }
  };
  for (std::size_t i = 0; i < aCalls.size(); ++i) {
    http->Fetch(ToRequest(aCalls[i]),
                [&, i](const net::ClientOutcome& aOutcome, std::string aBody) {
                  answers[i] = { aOutcome.m_status, std::move(aBody), aOutcome.m_end };
                  endOne();
                });
  }
  const base::Duration before = aDuring ? kBeforeDuring : base::Duration::zero();
  const auto timer = loop.After(before, [&] {
    if (aDuring) {
      aDuring();
    }
    endOne();
  });
  loop.Run();
  return answers;
}

Answer Send(const Call& aCall)
{
  return SendAll({ aCall }).front();
}

Answer Post(const std::string& aUrl, const json& aBody)
{
  return Send({ "POST", aUrl, aBody.dump(), {} });
}

Answer Get(const std::string& aUrl)
{
  return Send({ "GET", aUrl, "", {} });
}

} // namespace integration
