#pragma once

#include <cstdint>     // for uint32_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/digest.hpp"     // for Digest128
#include "ferrytray/base/error.hpp"      // for Result
#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/http_server.hpp" // for HttpRequest

namespace ferrytray::gate {

/// @brief Completion API that the caller uses.
enum class CompletionKind : std::uint8_t
{
  Completion,
  Chat,
};

/// @brief Request options from the HTTP headers, common to all paths.
struct RequestOptions
{
  std::string m_apiKey; ///< bearer token
  std::optional<std::string> m_idempotencyKey;
  std::optional<std::string> m_ticket;
  std::optional<bool> m_idempotent;         ///< from Ferrytray-Idempotent
  std::optional<base::Duration> m_deadline; ///< from Ferrytray-Deadline-Ms
  bool m_forwarded = false; ///< forwarded by another gate; must not be forwarded again
};

/// @brief A completion request, parsed from its JSON body.
struct ModelRequest
{
  CompletionKind m_kind = CompletionKind::Completion;
  std::string m_model;
  std::string m_prompt;
  std::uint32_t m_maxTokens = 16;
  std::uint32_t m_priority = 1; ///< 0 is the highest priority
  bool m_stream = false;
};

/// @brief Parses the headers. @return MissingKey or InvalidField
base::Result<RequestOptions> ParseRequestOptions(const net::HttpRequest& aRequest);

/// @brief Parses the body of a completion or chat completion request.
/// @return MalformedJson, MissingField or InvalidField
base::Result<ModelRequest> ParseModelRequest(CompletionKind aKind, const std::string& aBody);

/// @brief Digest of method, target and body, to detect a key reused for a different request.
base::Digest128 ContentDigest(const net::HttpRequest& aRequest);

} // namespace ferrytray::gate
