#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/gate/answer_format.hpp" // for Usage, AnswerNames
#include "ferrytray/once/ticket_table.hpp"  // for StoredAnswer

namespace ferrytray::gate {

/// @brief The caller's side of one request: text out, whole or streamed, exactly once.
class CallerAnswer
{
public:
  CallerAnswer(std::shared_ptr<net::HttpReply> aReply,
               AnswerNames aNames,
               AnswerShape aShape,
               bool aStream);

  /// @brief More of the answer's text.
  void Deliver(const std::string& aText);
  /// @brief The end of the answer. @return what a repeat of the request would be sent
  once::StoredAnswer Complete(const Usage& aUsage);
  /// @brief The end without an answer.
  void Fail(const base::Failure& aFailure);
  /// @brief An answer that was kept.
  void Replay(const once::StoredAnswer& aAnswer);

  void OnClosed(std::function<void()> aCall) { m_reply->OnClosed(std::move(aCall)); }
  [[nodiscard]] bool HasText() const { return !m_text.empty(); }
  [[nodiscard]] std::size_t UnreadBytes() const { return m_reply->PendingBytes(); }
  /// @brief The reply itself, for a request that is passed on.
  [[nodiscard]] std::shared_ptr<net::HttpReply> Share() const { return m_reply; }

private:
  void BeginStream();

  std::shared_ptr<net::HttpReply> m_reply;
  AnswerNames m_names;
  AnswerShape m_shape;
  bool m_stream;
  bool m_streaming = false;
  std::string m_text;
};

} // namespace ferrytray::gate
