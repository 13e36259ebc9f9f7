#include "ferrytray/gate/caller_request.hpp"

#include <charconv> // for from_chars

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

using base::ErrorCode;
using nlohmann::json;

constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint32_t kMaxTokens = 131072;
constexpr std::uint32_t kLowestPriority = 9;
constexpr std::uint64_t kMaxDeadlineMillis = 24ULL * 3600 * 1000;

std::optional<std::string> OptionalHeader(const net::HttpRequest& aRequest, std::string_view aName)
{
  const std::string_view value = aRequest.Header(aName);
  return value.empty() ? std::nullopt : std::optional(std::string(value));
}

base::Result<std::optional<base::Duration>> ParseDeadline(const net::HttpRequest& aRequest)
{
  const std::string_view text = aRequest.Header("Ferrytray-Deadline-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  std::uint64_t millis = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool parsedWhole = code == std::errc() && end == text.data() + text.size();
  if (!parsedWhole || millis == 0 || millis > kMaxDeadlineMillis) {
    return base::Fail(ErrorCode::InvalidField,
                      "Ferrytray-Deadline-Ms expects milliseconds from 1 to 86400000");
  }
  return std::chrono::milliseconds(millis);
}

base::Result<std::optional<bool>> ParseIdempotent(const net::HttpRequest& aRequest)
{
  const std::string_view text = aRequest.Header("Ferrytray-Idempotent");
  if (text.empty()) {
    return std::nullopt;
  }
  if (text != "true" && text != "false") {
    return base::Fail(ErrorCode::InvalidField, "Ferrytray-Idempotent expects true or false");
  }
  return text == "true";
}

std::string FlattenMessages(const json& aMessages)
{
  std::string prompt;
  for (const json& message : aMessages) {
    prompt += message.at("role").get<std::string>() + ": " +
              message.at("content").get<std::string>() + "\n";
  }
  return prompt;
}

base::Result<std::uint32_t> ParseCount(const json& aBody,
                                       const char* aName,
                                       std::uint32_t aDefault,
                                       std::uint32_t aMax)
{
  const auto found = aBody.find(aName);
  if (found == aBody.end()) {
    return aDefault;
  }
  const bool fits = found->is_number_unsigned() && found->get<std::uint64_t>() <= aMax;
  if (!fits) {
    return base::Fail(ErrorCode::InvalidField,
                      "field '" + std::string(aName) + "' expects an integer of at most " +
                        std::to_string(aMax));
  }
  return found->get<std::uint32_t>();
}

base::Result<std::string> ParsePrompt(CompletionKind aKind, const json& aBody)
{
  const char* field = aKind == CompletionKind::Chat ? "messages" : "prompt";
  if (!aBody.contains(field)) {
    return base::Fail(ErrorCode::MissingField, "field '" + std::string(field) + "' is missing");
  }
  try {
    return aKind == CompletionKind::Chat ? FlattenMessages(aBody.at(field))
                                         : aBody.at(field).get<std::string>();
  } catch (const json::exception&) {
    return base::Fail(ErrorCode::InvalidField,
                      aKind == CompletionKind::Chat ? "field 'messages' expects [{role, content}]"
                                                    : "field 'prompt' expects a string");
  }
}

base::Result<ModelRequest> ParseFields(CompletionKind aKind, const json& aBody)
{
  const auto model = aBody.find("model");
  if (model == aBody.end() || !model->is_string()) {
    return base::Fail(ErrorCode::MissingField, "field 'model' is missing");
  }
  const auto stream = aBody.find("stream");
  if (stream != aBody.end() && !stream->is_boolean()) {
    return base::Fail(ErrorCode::InvalidField, "field 'stream' expects true or false");
  }
  auto prompt = ParsePrompt(aKind, aBody);
  auto maxTokens = ParseCount(aBody, "max_tokens", 16, kMaxTokens);
  auto priority = ParseCount(aBody, "priority", 1, kLowestPriority);
  for (const base::Failure* failure : { prompt ? nullptr : &prompt.error(),
                                        maxTokens ? nullptr : &maxTokens.error(),
                                        priority ? nullptr : &priority.error() }) {
    if (failure != nullptr) {
      return tl::unexpected(*failure);
    }
  }
  ModelRequest request;
  request.m_kind = aKind;
  request.m_model = model->get<std::string>();
  request.m_prompt = std::move(*prompt);
  request.m_maxTokens = *maxTokens;
  request.m_priority = *priority;
  request.m_stream = stream != aBody.end() && stream->get<bool>();
  return request;
}

} // namespace

base::Result<RequestOptions> ParseRequestOptions(const net::HttpRequest& aRequest)
{
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view authorization = aRequest.Header("Authorization");
  if (authorization.substr(0, kBearer.size()) != kBearer ||
      authorization.size() == kBearer.size()) {
    return base::Fail(ErrorCode::MissingKey, "expected 'Authorization: Bearer KEY'");
  }
  const auto deadline = ParseDeadline(aRequest);
  const auto idempotent = ParseIdempotent(aRequest);
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  if (!idempotent) {
    return tl::unexpected(idempotent.error());
  }
  RequestOptions requestOptions;
  requestOptions.m_apiKey = std::string(authorization.substr(kBearer.size()));
  requestOptions.m_idempotencyKey = OptionalHeader(aRequest, "Idempotency-Key");
  requestOptions.m_ticket = OptionalHeader(aRequest, "Ferrytray-Ticket");
  requestOptions.m_idempotent = *idempotent;
  requestOptions.m_deadline = *deadline;
  requestOptions.m_forwarded = !aRequest.Header("Ferrytray-Forwarded").empty();
  if (requestOptions.m_idempotencyKey && requestOptions.m_ticket) {
    return base::Fail(ErrorCode::InvalidField,
                      "Idempotency-Key and Ferrytray-Ticket are mutually exclusive");
  }
  if (requestOptions.m_idempotencyKey.value_or("").size() > kMaxKeyBytes) {
    return base::Fail(ErrorCode::InvalidField, "Idempotency-Key expects at most 256 bytes");
  }
  return requestOptions;
}

base::Result<ModelRequest> ParseModelRequest(CompletionKind aKind, const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return base::Fail(ErrorCode::MalformedJson, "the body is not valid JSON");
  }
  if (!body.is_object()) {
    return base::Fail(ErrorCode::MalformedJson, "the body is not a JSON object");
  }
  return ParseFields(aKind, body);
}

base::Digest128 ContentDigest(const net::HttpRequest& aRequest)
{
  const base::Digest128 path =
    base::HashWithSeed({}, aRequest.m_method + " " + aRequest.m_path + "?" + aRequest.m_query);
  return base::HashWithSeed(path, aRequest.m_body);
}

} // namespace ferrytray::gate
