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

/// @brief Which shape the caller speaks.
enum class CompletionKind : std::uint8_t
{
  Completion,
  Chat,
};

/// @brief What a caller's headers ask for, whatever the path.
struct RequestOptions
{
  std::string m_apiKey; ///< bearer key
  std::optional<std::string> m_idempotencyKey;
  std::optional<std::string> m_ticket;
  std::optional<bool> m_idempotent;         ///< from Ferrytray-Idempotent
  std::optional<base::Duration> m_deadline; ///< from Ferrytray-Deadline-Ms
  bool m_forwarded = false;                 ///< another gate passed it on; it goes no further
};

/// @brief A request for a model, read from its JSON body.
struct ModelRequest
{
  CompletionKind m_kind = CompletionKind::Completion;
  std::string m_model;
  std::string m_prompt;
  std::uint32_t m_maxTokens = 16;
  std::uint32_t m_priority = 1; ///< 0 is the most urgent
  bool m_stream = false;
};

/// @brief Reads the headers. @return MissingKey or InvalidField
base::Result<RequestOptions> ParseRequestOptions(const net::HttpRequest& aRequest);

/// @brief Reads the body of a completion or chat completion.
/// @return MalformedJson, MissingField or InvalidField
base::Result<ModelRequest> ParseModelRequest(CompletionKind aKind, const std::string& aBody);

/// @brief The content of a request as one digest, to notice a key used for another request.
base::Digest128 ContentDigest(const net::HttpRequest& aRequest);

} // namespace ferrytray::gate
