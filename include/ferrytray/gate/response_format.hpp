#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string

#include "ferrytray/base/error.hpp"          // for Failure
#include "ferrytray/gate/caller_request.hpp" // for AnswerShape
#include "ferrytray/net/http_server.hpp"     // for HttpReply

namespace ferrytray::gate {

/// @brief Where an answer's context came from, in tokens.
struct TokenUsage
{
  std::uint32_t m_prompt = 0;
  std::uint32_t m_completion = 0;
  std::uint32_t m_cached = 0;   ///< found in the worker's memory
  std::uint32_t m_restored = 0; ///< imported from a store
  std::uint32_t m_recomputed = 0;
};

/// @brief Names one answer.
struct ResponseMetadata
{
  std::string m_request;
  std::string m_model;
};

/// @brief The error body: {"error": {"code", "message", "run", "request"}}.
std::string FormatErrorBody(const base::Failure& aFailure, const std::string& aRequest);
/// @brief Sends a whole error answer, with Retry-After where there is advice.
void SendError(net::HttpReply& aReply, const base::Failure& aFailure, const std::string& aRequest);

/// @brief A whole answer.
std::string FormatResponse(CompletionKind aKind,
                           const ResponseMetadata& aMetadata,
                           const std::string& aText,
                           const TokenUsage& aUsage);
/// @brief One server-sent event with a piece of the text.
std::string FormatChunkEvent(CompletionKind aKind,
                             const ResponseMetadata& aMetadata,
                             const std::string& aText);
/// @brief The last events of a stream.
std::string FormatFinalEvents(CompletionKind aKind,
                              const ResponseMetadata& aMetadata,
                              const TokenUsage& aUsage);
/// @brief The event that ends a broken stream; no [DONE] follows.
std::string FormatErrorEvent(const base::Failure& aFailure, const std::string& aRequest);

} // namespace ferrytray::gate
