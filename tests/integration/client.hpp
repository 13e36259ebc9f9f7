#pragma once

#include <functional> // for function
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include <nlohmann/json.hpp> // for json

#include "ferrytray/net/http_client.hpp" // for ClientRequest
#include "ferrytray/net/loop.hpp"        // for Loop

namespace integration {

using nlohmann::json;

/// One call's answer.
struct Response
{
  int m_status = 0;
  std::string m_body;
  ferrytray::net::WireEnd m_end = ferrytray::net::WireEnd::NotSent;

  /// The body as JSON; null when it is anything else.
  json Json() const { return json::parse(m_body, nullptr, false); }
  int ErrorCode() const;
  std::string RunState() const;
  /// The answer's text, of a whole answer or of a stream.
  std::string Text() const;
};

/// A call to make.
struct Call
{
  std::string m_method = "POST";
  std::string m_url;
  std::string m_body;
  ferrytray::net::Headers m_headers;
};

/// Makes a call and waits for its end.
Response Send(const Call& aCall);
/// Makes many calls at the same time. @param aAfterStart run once when all have been started
std::vector<Response> SendAll(const std::vector<Call>& aCalls,
                              const std::function<void()>& aAfterStart = {});
/// POSTs JSON to a stand-in's control.
Response Post(const std::string& aUrl, const json& aBody);
Response Get(const std::string& aUrl);

} // namespace integration
