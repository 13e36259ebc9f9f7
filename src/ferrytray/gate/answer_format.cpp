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

json UsageObject(const Usage& aUsage)
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

json Envelope(AnswerShape aShape, const AnswerNames& aNames, bool aPiece)
{
  const char* chat = aPiece ? "chat.completion.chunk" : "chat.completion";
  return { { "id", aNames.m_request },
           { "object", aShape == AnswerShape::Chat ? chat : "text_completion" },
           { "model", aNames.m_model } };
}

json Choice(AnswerShape aShape, const std::string& aText, bool aPiece, bool aLast)
{
  json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aLast) {
    choice["finish_reason"] = "length";
  }
  if (aShape == AnswerShape::Completion) {
    choice["text"] = aText;
  } else {
    choice[aPiece ? "delta" : "message"] = { { "role", "assistant" }, { "content", aText } };
  }
  return choice;
}

} // namespace

std::string ErrorBody(const base::Failure& aFailure, const std::string& aRequest)
{
  return Dump(ErrorObject(aFailure, aRequest));
}

void SendFailure(net::HttpReply& aReply, const base::Failure& aFailure, const std::string& aRequest)
{
  net::Headers headers{ { "Content-Type", "application/json" }, { "X-Request-Id", aRequest } };
  if (aFailure.m_retryAfter > base::Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aFailure.m_retryAfter).count();
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  aReply.Send(base::HttpStatus(aFailure.m_code), headers, ErrorBody(aFailure, aRequest));
}

std::string WholeAnswer(AnswerShape aShape,
                        const AnswerNames& aNames,
                        const std::string& aText,
                        const Usage& aUsage)
{
  json answer = Envelope(aShape, aNames, false);
  answer["choices"] = { Choice(aShape, aText, false, true) };
  answer["usage"] = UsageObject(aUsage);
  return Dump(answer);
}

std::string PieceEvent(AnswerShape aShape, const AnswerNames& aNames, const std::string& aText)
{
  json piece = Envelope(aShape, aNames, true);
  piece["choices"] = { Choice(aShape, aText, true, false) };
  return Event(piece);
}

std::string LastEvents(AnswerShape aShape, const AnswerNames& aNames, const Usage& aUsage)
{
  json last = Envelope(aShape, aNames, true);
  last["choices"] = { Choice(aShape, "", true, true) };
  last["usage"] = UsageObject(aUsage);
  return Event(last) + "data: [DONE]\n\n";
}

std::string ErrorEvent(const base::Failure& aFailure, const std::string& aRequest)
{
  return Event(ErrorObject(aFailure, aRequest));
}

} // namespace ferrytray::gate
