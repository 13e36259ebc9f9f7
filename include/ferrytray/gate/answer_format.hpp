#pragma once

#include <cstdint> // for uint32_t
#include <string>  // for string

#include "ferrytray/base/error.hpp"          // for Failure
#include "ferrytray/gate/caller_request.hpp" // for AnswerShape
#include "ferrytray/net/http_server.hpp"     // for HttpReply

namespace ferrytray::gate {

/// @brief Where an answer's context came from, in tokens.
struct Usage
{
  std::uint32_t m_prompt = 0;
  std::uint32_t m_completion = 0;
  std::uint32_t m_cached = 0;   ///< found in the worker's memory
  std::uint32_t m_restored = 0; ///< imported from a store
  std::uint32_t m_recomputed = 0;
};

/// @brief Names one answer.
struct AnswerNames
{
  std::string m_request;
  std::string m_model;
};

/// @brief The error body: {"error": {"code", "message", "run", "request"}}.
std::string ErrorBody(const base::Failure& aFailure, const std::string& aRequest);
/// @brief Sends a whole error answer, with Retry-After where there is advice.
void SendFailure(net::HttpReply& aReply,
                 const base::Failure& aFailure,
                 const std::string& aRequest);

/// @brief A whole answer.
std::string WholeAnswer(AnswerShape aShape,
                        const AnswerNames& aNames,
                        const std::string& aText,
                        const Usage& aUsage);
/// @brief One server-sent event with a piece of the text.
std::string PieceEvent(AnswerShape aShape, const AnswerNames& aNames, const std::string& aText);
/// @brief The last events of a stream.
std::string LastEvents(AnswerShape aShape, const AnswerNames& aNames, const Usage& aUsage);
/// @brief The event that ends a broken stream; no [DONE] follows.
std::string ErrorEvent(const base::Failure& aFailure, const std::string& aRequest);

} // namespace ferrytray::gate
