#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/http_server.hpp" // for Headers

namespace ferrytray::relay {

/// @brief A part of a prompt that several requests may share.
struct PromptPart
{
  std::string m_id; ///< parts with equal content have equal ids
  std::uint32_t m_tokens = 0;
};

/// @brief A model request's prompt and its size in tokens.
struct Prompt
{
  std::string m_model;
  std::uint32_t m_inputTokens = 0;
  std::uint32_t m_maxOutputTokens = 0;
  std::vector<PromptPart> m_parts; ///< in order; the last one belongs to this request or session
};

/// @brief A decoded request of a caller. Forwarded fields are kept unchanged.
struct CallerRequest
{
  std::string m_id; ///< set by the caller; each send to an endpoint has its own
  std::string m_method;
  std::string m_target; ///< path and query
  std::string m_path;
  std::string m_hostName;
  std::string m_apiKey;                     ///< identifies the client account; never forwarded
  std::optional<base::Duration> m_deadline; ///< time that the caller waits from now on
  std::optional<Prompt> m_prompt;
  std::optional<std::uint64_t> m_resumeAfter; ///< id of the last event that the caller received
  net::Headers m_forwardedHeaders;            ///< end-to-end headers that callers may set
  net::Body m_body;
};

} // namespace ferrytray::relay
