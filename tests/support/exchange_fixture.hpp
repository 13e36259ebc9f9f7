#pragma once

#include <memory>  // for make_shared, shared_ptr
#include <string>  // for string, to_string
#include <utility> // for move

#include "ferrytray/relay/exchange.hpp"    // for Exchange, RelayCore
#include "ferrytray/relay/relay_front.hpp" // for RelayFront
#include "tests/support/fake_http.hpp"     // for FakeHttpClient, FakeReply

#include <CppUTest/Utest.h> // for Utest

namespace support {

using namespace ferrytray;
using namespace std::chrono_literals;

// A long prompt takes about a sixth of an engine's memory.
inline constexpr std::uint64_t kEngineMemoryTokens = 70'000;
inline constexpr std::uint32_t kLongPromptTokens = 12'000;

/// Reads ids separated by commas; the part of the request itself follows them.
inline std::vector<relay::PromptPart> ReadParts(std::string_view aIds)
{
  std::vector<relay::PromptPart> parts;
  while (!aIds.empty()) {
    const std::size_t end = std::min(aIds.find(','), aIds.size());
    parts.push_back({ std::string(aIds.substr(0, end)), 1 });
    aIds.remove_prefix(std::min(end + 1, aIds.size()));
  }
  parts.push_back({ "p", 10 });
  return parts;
}

/// A wire format with plain header names. The platform's own format is tested with its adapter.
class FakeFormat final : public relay::WireFormat
{
public:
  [[nodiscard]] base::Result<relay::CallerRequest> ReadRequest(
    net::HttpRequest aRequest) const override
  {
    relay::CallerRequest request;
    request.m_id = std::string(aRequest.Header("id"));
    request.m_method = aRequest.m_method;
    request.m_hostName = "h";
    request.m_path = aRequest.m_path;
    request.m_target = aRequest.m_path;
    request.m_body = aRequest.m_body;
    request.m_apiKey = std::string(aRequest.Header("key"));
    request.m_deadline = 5s;
    if (aRequest.Header("model") == "m") {
      request.m_prompt = relay::Prompt{ "m", 10, 10, ReadParts(aRequest.Header("parts")) };
    }
    if (aRequest.Header("model") == "long") {
      request.m_prompt =
        relay::Prompt{ "m", kLongPromptTokens, 10, { { "p", kLongPromptTokens } } };
    }
    return request;
  }
  [[nodiscard]] net::ClientRequest WriteCall(const relay::CallerRequest& aRequest,
                                             const relay::EndpointCall& aCall) const override
  {
    net::ClientRequest request;
    request.m_body = aRequest.m_body;
    request.m_url = aCall.m_address;
    request.m_match = net::EchoedHeader{ "id", aRequest.m_id };
    request.m_headers = { { "to", aCall.m_endpointId },
                          { "after",
                            aCall.m_resumeAfter ? std::to_string(*aCall.m_resumeAfter) : "" },
                          { "scope", aCall.m_cacheScope },
                          { "rank", aCall.m_rank ? std::to_string(*aCall.m_rank) : "" },
                          { "weights", aCall.m_weights ? std::to_string(*aCall.m_weights) : "" } };
    return request;
  }
  [[nodiscard]] relay::ReplyHead ReadHead(int aStatus, const net::Headers& aHeaders) const override
  {
    relay::ReplyHead head;
    head.m_status = aStatus;
    head.m_forwardedHeaders = aHeaders;
    head.m_signed = true;
    head.m_requestId = "r1";
    for (const auto& [name, value] : aHeaders) {
      head.m_signed = head.m_signed && name != "unsigned";
      head.m_notRun = head.m_notRun || name == "not-run";
      head.m_misdirected = head.m_misdirected || name == "misdirected";
      head.m_requestId = name == "id" ? value : head.m_requestId;
      head.m_endpointId = name == "incarnation" ? value : head.m_endpointId;
      if (name == "limit") {
        head.m_requestLimit = std::stod(value);
      }
      head.m_leaving = head.m_leaving || name == "leaving";
      if (name == "brittle") {
        head.m_maxRejections = std::stod(value);
      }
      if (name == "retry-after") {
        head.m_retryAfter = base::FromSeconds(std::stod(value));
      }
    }
    return head;
  }
  [[nodiscard]] relay::GeneratedReply WriteFailure(const std::string&,
                                                   const base::Failure& aFailure) const override
  {
    const bool unknown = aFailure.m_run == base::RunState::Unknown;
    return { unknown ? 502 : base::HttpStatus(aFailure.m_code),
             { { "run", std::string(base::ToString(aFailure.m_run)) },
               { "come-back", aFailure.m_retryAfter.count() > 0 ? "yes" : "no" },
               { "retry-after", std::to_string(base::Seconds(aFailure.m_retryAfter)) } },
             "" };
  }
};

inline fleet::Endpoint MakeEndpoint(const std::string& aName)
{
  fleet::Endpoint endpoint;
  endpoint.m_id = aName;
  endpoint.m_incarnation = aName;
  endpoint.m_service = "s";
  endpoint.m_address = aName + ":1";
  endpoint.m_weights = { { "m", 1 } };
  return endpoint;
}

inline fleet::Route MakeRoute(const std::string& aPrefix, bool aStreaming, bool aRepeatable)
{
  fleet::Route route;
  route.m_name = aPrefix;
  route.m_hostName = "h";
  route.m_pathPrefix = aPrefix;
  route.m_services = { { "s", 1 } };
  route.m_streaming = aStreaming;
  route.m_idempotent = aRepeatable;
  route.m_resumable = aRepeatable;
  route.m_maxEndpoints = 2;
  route.m_timeout = 5s;
  return route;
}

inline fleet::ConfigurationPtr MakeConfiguration(std::uint64_t aVersion)
{
  fleet::Configuration configuration;
  configuration.m_version = aVersion;
  configuration.m_routes = { MakeRoute("/once/", false, false),
                             MakeRoute("/again/", false, true),
                             MakeRoute("/stream/", true, false),
                             MakeRoute("/resume/", true, true) };
  fleet::Service service;
  service.m_name = "s";
  service.m_engine = fleet::EngineTraits{ 64, kEngineMemoryTokens, 18'432, { "m" } };
  configuration.m_services = { service };
  configuration.m_accounts = { { "lab", { "k" }, false, {} } };
  return std::make_shared<fleet::ConfigurationIndex>(std::move(configuration));
}

/// A relay core with two engines, a and b, and a front end that requests are sent to.
struct ExchangeFixture : public Utest
{
  net::Loop m_loop;
  FakeHttpClient m_client;
  FakeFormat m_format;
  relay::RelayCore m_core{ m_loop, m_client, m_format, {} };
  relay::RelayFront m_front{ m_core };
  std::string m_method; ///< of requests
  std::string m_parts;  ///< ids of the shared parts of prompts, separated by commas

  void setup() override
  {
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_configuration = MakeConfiguration(1);
    m_core.m_lastContact = now;
    m_core.m_operatorsReadAt = now;
    m_core.m_crashesLoaded = true;
    m_core.m_directory.Upsert(MakeEndpoint("a"), now);
    m_core.m_directory.Upsert(MakeEndpoint("b"), now);
    // A host that has served requests for some time has retries left.
    for (base::TimePoint past = now - 30s; past < now; past += 100ms) {
      m_core.m_retryWindow.OnRequest("s", past);
    }
  }

  std::shared_ptr<FakeReply> SendRequest(const std::string& aPath,
                                         const std::string& aKey = "k",
                                         const std::string& aModel = "",
                                         const std::string& aBody = "")
  {
    net::HttpRequest request;
    request.m_body = aBody;
    request.m_method = m_method;
    request.m_path = aPath;
    request.m_headers = {
      { "id", "r1" }, { "key", aKey }, { "model", aModel }, { "parts", m_parts }
    };
    auto reply = std::make_shared<FakeReply>();
    m_front.Handle(std::move(request), reply);
    return reply;
  }

  std::string SentHeader(const char* aHeader) const
  {
    for (const auto& [name, value] : m_client.m_calls.back().m_request.m_headers) {
      if (name == aHeader) {
        return value;
      }
    }
    return "";
  }
};

} // namespace support
