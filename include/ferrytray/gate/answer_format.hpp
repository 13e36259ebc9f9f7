#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string

#include "ferrytray/base/error.hpp"          // for Failure
#include "ferrytray/gate/caller_request.hpp" // for CompletionKind
#include "ferrytray/net/http_server.hpp"     // for HttpReply

namespace ferrytray::gate {

/// @brief Token counts of a response, by the source of the prompt's KV cache.
struct TokenUsage
{
  std::uint32_t m_prompt = 0;
  std::uint32_t m_completion = 0;
  std::uint32_t m_cached = 0;   ///< found in the worker's cache
  std::uint32_t m_restored = 0; ///< imported from a store
  std::uint32_t m_recomputed = 0;
};

/// @brief Request id and model of a response.
struct ResponseMetadata
{
  std::string m_request;
  std::string m_model;
};

/// @brief JSON body of an error response: {"error": {"code", "message", "run", "request"}}.
std::string FormatErrorBody(const base::Failure& aFailure, const std::string& aRequest);
/// @brief Sends an error response, with Retry-After if the failure has a retry delay.
void SendError(net::HttpReply& aReply, const base::Failure& aFailure, const std::string& aRequest);

/// @brief JSON body of a non-streamed response.
std::string FormatResponse(CompletionKind aKind,
                           const ResponseMetadata& aMetadata,
                           const std::string& aText,
                           const TokenUsage& aUsage);
/// @brief A server-sent event with one chunk of the text.
std::string FormatChunkEvent(CompletionKind aKind,
                             const ResponseMetadata& aMetadata,
                             const std::string& aText);
/// @brief The final events of a stream: finish reason, usage and [DONE].
std::string FormatFinalEvents(CompletionKind aKind,
                              const ResponseMetadata& aMetadata,
                              const TokenUsage& aUsage);
/// @brief The event that ends a failed stream; no [DONE] follows.
std::string FormatErrorEvent(const base::Failure& aFailure, const std::string& aRequest);

} // namespace ferrytray::gate
