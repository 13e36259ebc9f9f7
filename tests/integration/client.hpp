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

/// The response to a call.
struct Response
{
  int m_status = 0;
  std::string m_body;
  ferrytray::net::WireEnd m_end = ferrytray::net::WireEnd::NotSent;

  /// The parsed body; a discarded value if it is not JSON.
  json Json() const { return json::parse(m_body, nullptr, false); }
  /// The error code in the body, or 0.
  int ErrorCode() const;
  /// The error's "run" field ("not_run", "unknown"), or empty.
  std::string RunState() const;
  /// The generated text of a JSON or streamed response.
  std::string Text() const;
};

/// An HTTP call to send.
struct Call
{
  std::string m_method = "POST";
  std::string m_url;
  std::string m_body;
  ferrytray::net::Headers m_headers;
};

/// Sends a call and waits until it has ended.
Response Send(const Call& aCall);
/// Sends calls concurrently and waits for all. @param aAfterStart runs once, shortly after the
/// start
std::vector<Response> SendAll(const std::vector<Call>& aCalls,
                              const std::function<void()>& aAfterStart = {});
/// Posts JSON to a stand-in, such as to its fault control.
Response Post(const std::string& aUrl, const json& aBody);
Response Get(const std::string& aUrl);

} // namespace integration
