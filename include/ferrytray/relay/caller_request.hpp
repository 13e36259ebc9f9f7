#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"       // for Duration
#include "ferrytray/net/http_server.hpp" // for Headers

namespace ferrytray::relay {

/// @brief A piece of a prompt that requests may share.
struct PromptPart
{
  std::string m_id; ///< the same content has the same name
  std::uint32_t m_tokens = 0;
};

/// @brief What a request asks of a model.
struct Prompt
{
  std::string m_model;
  std::uint32_t m_inputTokens = 0;
  std::uint32_t m_maxOutputTokens = 0;
  std::vector<PromptPart> m_parts; ///< in order; the last one is the request's own or its session's
};

/// @brief A caller's request, decoded. What is forwarded is kept as it came.
struct CallerRequest
{
  std::string m_id; ///< the caller's own; each of its attempts has another
  std::string m_method;
  std::string m_target; ///< path and query
  std::string m_path;
  std::string m_hostName;
  std::string m_apiKey;                     ///< of a client account; never forwarded
  std::optional<base::Duration> m_deadline; ///< how long the caller waits from now
  std::optional<Prompt> m_prompt;
  std::optional<std::uint64_t> m_resumeAfter; ///< the caller has this stream's events up to here
  net::Headers m_forwardedHeaders;            ///< end-to-end headers that are the caller's to set
  std::string m_body;
};

} // namespace ferrytray::relay
