#include "ferrytray/gate/answer_format.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::gate {

namespace {

using nlohmann::json;

std::string Dump(const json& aObject)
{
  return aObject.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Event(const json& aObject)
{
  return "data: " + Dump(aObject) + "\n\n";
}

json ErrorObject(const base::Failure& aFailure, const std::string& aRequest)
{
  json error{ { "code", static_cast<int>(aFailure.m_code) },
              { "message", aFailure.m_message },
              { "run", base::ToString(aFailure.m_run) },
              { "request", aRequest } };
  if (aFailure.m_retryAfter > base::Duration::zero()) {
    error["retry_after_ms"] = aFailure.m_retryAfter.count() / 1000;
  }
  return { { "error", error } };
}

json UsageObject(const TokenUsage& aUsage)
{
  return { { "prompt_tokens", aUsage.m_prompt },
           { "completion_tokens", aUsage.m_completion },
           { "total_tokens", aUsage.m_prompt + aUsage.m_completion },
           { "prompt_tokens_details",
             { { "cached_tokens", aUsage.m_cached + aUsage.m_restored },
               { "in_memory_tokens", aUsage.m_cached },
               { "restored_tokens", aUsage.m_restored },
               { "recomputed_tokens", aUsage.m_recomputed } } } };
}

json Envelope(CompletionKind aKind, const ResponseMetadata& aMetadata, bool aChunk)
{
  const char* chat = aChunk ? "chat.completion.chunk" : "chat.completion";
  return { { "id", aMetadata.m_request },
           { "object", aKind == CompletionKind::Chat ? chat : "text_completion" },
           { "model", aMetadata.m_model } };
}

json Choice(CompletionKind aKind, const std::string& aText, bool aChunk, bool aLast)
{
  json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aLast) {
    choice["finish_reason"] = "length";
  }
  if (aKind == CompletionKind::Completion) {
    choice["text"] = aText;
  } else {
    choice[aChunk ? "delta" : "message"] = { { "role", "assistant" }, { "content", aText } };
  }
  return choice;
}

} // namespace

std::string FormatErrorBody(const base::Failure& aFailure, const std::string& aRequest)
{
  return Dump(ErrorObject(aFailure, aRequest));
}

void SendError(net::HttpReply& aReply, const base::Failure& aFailure, const std::string& aRequest)
{
  net::Headers headers{ { "Content-Type", "application/json" }, { "X-Request-Id", aRequest } };
  if (aFailure.m_retryAfter > base::Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aFailure.m_retryAfter).count();
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  aReply.Send(base::HttpStatus(aFailure.m_code), headers, FormatErrorBody(aFailure, aRequest));
}

std::string FormatResponse(CompletionKind aKind,
                           const ResponseMetadata& aMetadata,
                           const std::string& aText,
                           const TokenUsage& aUsage)
{
  json answer = Envelope(aKind, aMetadata, false);
  answer["choices"] = { Choice(aKind, aText, false, true) };
  answer["usage"] = UsageObject(aUsage);
  return Dump(answer);
}

std::string FormatChunkEvent(CompletionKind aKind,
                             const ResponseMetadata& aMetadata,
                             const std::string& aText)
{
  json chunk = Envelope(aKind, aMetadata, true);
  chunk["choices"] = { Choice(aKind, aText, true, false) };
  return Event(chunk);
}

std::string FormatFinalEvents(CompletionKind aKind,
                              const ResponseMetadata& aMetadata,
                              const TokenUsage& aUsage)
{
  json last = Envelope(aKind, aMetadata, true);
  last["choices"] = { Choice(aKind, "", true, true) };
  last["usage"] = UsageObject(aUsage);
  return Event(last) + "data: [DONE]\n\n";
}

std::string FormatErrorEvent(const base::Failure& aFailure, const std::string& aRequest)
{
  return Event(ErrorObject(aFailure, aRequest));
}

} // namespace ferrytray::gate
