#include "ferrytray/relay/forward_messages.hpp"

#include <algorithm> // for all_of, any_of
#include <array>     // for array
#include <charconv>  // for from_chars
#include <strings.h> // for strncasecmp
#include <utility>   // for move

#include <cereal/types/optional.hpp> // for optional
#include <cereal/types/set.hpp>      // for set
#include <cereal/types/utility.hpp>  // for pair

#include "ferrytray/peers/archive.hpp" // for ReadMessage, WriteMessage

namespace ferrytray::net {

template<typename Archive>
void serialize(Archive& aArchive, Body& aBody)
{
  if constexpr (Archive::is_saving::value) {
    aArchive(aBody.Bytes());
  } else {
    std::string bytes;
    aArchive(bytes);
    aBody = Body(std::move(bytes));
  }
}

} // namespace ferrytray::net

namespace ferrytray::relay {

namespace {

constexpr std::string_view kPrefix = "Ferrytray-";
constexpr const char* kEndpointHeader = "Ferrytray-Endpoint";
/// CODE RUN RETRY_AFTER_MS DECLINED ARRIVED, where all but the first and third are 0 or 1.
constexpr const char* kFailureHeader = "Ferrytray-Failure";

bool IsReserved(const std::string& aName)
{
  return strncasecmp(aName.c_str(), kPrefix.data(), kPrefix.size()) == 0;
}

bool IsVisible(char aByte)
{
  return aByte > ' ' && aByte < '\x7f';
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return IsVisible(aByte) && aByte != ':';
  });
}

bool IsHeaderValue(std::string_view aText)
{
  return aText.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool IsWellFormed(const CallerRequest& aRequest)
{
  const std::string& target = aRequest.m_target;
  return IsToken(aRequest.m_method) && !aRequest.m_id.empty() && target.starts_with('/') &&
         std::all_of(target.begin(), target.end(), &IsVisible) &&
         std::all_of(aRequest.m_forwardedHeaders.begin(),
                     aRequest.m_forwardedHeaders.end(),
                     [](const auto& aHeader) {
                       return IsToken(aHeader.first) && IsHeaderValue(aHeader.second);
                     });
}

std::optional<ForwardFailure> ParseFailure(std::string_view aValue)
{
  constexpr std::size_t kRequired = 4;
  // Hosts of earlier versions do not report whether an endpoint received the request.
  std::array<long, kRequired + 1> numbers{ 0, 0, 0, 0, 1 };
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    const auto read = std::from_chars(aValue.data(), aValue.data() + aValue.size(), numbers.at(i));
    if (read.ec != std::errc()) {
      if (i < kRequired) {
        return std::nullopt;
      }
      break;
    }
    aValue.remove_prefix(static_cast<std::size_t>(read.ptr - aValue.data()));
    aValue.remove_prefix(aValue.empty() ? 0 : 1);
  }
  ForwardFailure failure;
  failure.m_failure.m_code = static_cast<base::ErrorCode>(numbers[0]);
  failure.m_failure.m_run = numbers[1] == 0 ? base::RunState::NotRun : base::RunState::Unknown;
  failure.m_failure.m_retryAfter = std::chrono::milliseconds(numbers[2]);
  failure.m_declined = numbers[3] != 0;
  failure.m_arrived = numbers[4] != 0;
  return failure;
}

} // namespace

template<typename Archive>
void serialize(Archive& aArchive, PromptPart& aPart)
{
  aArchive(aPart.m_id, aPart.m_tokens);
}

template<typename Archive>
void serialize(Archive& aArchive, Prompt& aPrompt)
{
  aArchive(aPrompt.m_model, aPrompt.m_inputTokens, aPrompt.m_maxOutputTokens, aPrompt.m_parts);
}

template<typename Archive>
void serialize(Archive& aArchive, CallerRequest& aRequest)
{
  aArchive(aRequest.m_id,
           aRequest.m_method,
           aRequest.m_target,
           aRequest.m_path,
           aRequest.m_hostName,
           aRequest.m_deadline,
           aRequest.m_prompt,
           aRequest.m_resumeAfter,
           aRequest.m_forwardedHeaders,
           aRequest.m_body);
}

template<typename Archive>
void serialize(Archive& aArchive, ForwardedRequest& aRequest)
{
  fleet::Route& route = aRequest.m_route;
  aArchive(aRequest.m_request, aRequest.m_service, aRequest.m_excluded);
  aArchive(route.m_name,
           route.m_streaming,
           route.m_idempotent,
           route.m_resumable,
           route.m_maxEndpoints,
           route.m_timeout,
           route.m_targetLatency,
           route.m_priority);
  bool hasAccount = aRequest.m_account.has_value();
  aArchive(hasAccount);
  if (hasAccount) {
    if (!aRequest.m_account) {
      aRequest.m_account.emplace();
    }
    fleet::ClientAccount& account = *aRequest.m_account;
    aArchive(account.m_name, account.m_isolated, account.m_priority);
  }
}

std::string Encode(const ForwardedRequest& aRequest)
{
  return peers::WriteMessage(aRequest, peers::kMessageVersion);
}

base::Result<ForwardedRequest> DecodeForwardedRequest(std::string_view aBytes)
{
  base::Result<ForwardedRequest> request =
    peers::ReadMessage<ForwardedRequest>(aBytes, peers::kMessageVersion);
  if (request && !IsWellFormed(request->m_request)) {
    return base::Fail(base::ErrorCode::PeerMalformed, "the forwarded request is malformed");
  }
  if (request) {
    request->m_route.m_services = { { request->m_service, 1 } };
  }
  return request;
}

net::Headers WriteForwardFailure(const ForwardFailure& aFailure)
{
  const base::Failure& failure = aFailure.m_failure;
  return { { kFailureHeader,
             std::to_string(static_cast<int>(failure.m_code)) +
               (failure.m_run == base::RunState::NotRun ? " 0 " : " 1 ") +
               std::to_string(base::ToMillis(failure.m_retryAfter)) +
               (aFailure.m_declined ? " 1" : " 0") + (aFailure.m_arrived ? " 1" : " 0") } };
}

net::Headers WriteForwardReply(const net::Headers& aHeaders, const std::string& aEndpoint)
{
  net::Headers headers = aHeaders;
  std::erase_if(headers, [](const auto& aHeader) { return IsReserved(aHeader.first); });
  headers.emplace_back(kEndpointHeader, aEndpoint);
  return headers;
}

ForwardReply TakeForwardReply(net::Headers& aHeaders)
{
  ForwardReply reply;
  bool known = false;
  for (const auto& [name, value] : aHeaders) {
    if (name == kEndpointHeader) {
      reply.m_endpoint = value;
      known = true;
    } else if (name == kFailureHeader) {
      reply.m_failure = ParseFailure(value);
      known = reply.m_failure.has_value();
    }
  }
  std::erase_if(aHeaders, [](const auto& aHeader) { return IsReserved(aHeader.first); });
  if (!known) {
    reply.m_failure =
      ForwardFailure{ { base::ErrorCode::EndpointUnreachable, "", {}, {} }, true, false };
  }
  return reply;
}

} // namespace ferrytray::relay
