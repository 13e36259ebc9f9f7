#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/gate/response_format.hpp" // for Usage, AnswerNames
#include "ferrytray/once/ticket_table.hpp"    // for KeptAnswer

namespace ferrytray::gate {

/// @brief The caller's side of one request: text out, whole or streamed, exactly once.
class ResponseWriter
{
public:
  ResponseWriter(std::shared_ptr<net::HttpReply> aReply,
                 ResponseMetadata aMetadata,
                 CompletionKind aKind,
                 bool aStream);

  /// @brief More of the answer's text.
  void AppendText(const std::string& aText);
  /// @brief The end of the answer. @return what a repeat of the request would be sent
  once::KeptAnswer Complete(const TokenUsage& aUsage);
  /// @brief The end without an answer.
  void Fail(const base::Failure& aFailure);
  /// @brief An answer that was kept.
  void Replay(const once::KeptAnswer& aAnswer);

  void OnClosed(std::function<void()> aCall) { m_reply->OnClosed(std::move(aCall)); }
  [[nodiscard]] bool HasText() const { return !m_text.empty(); }
  [[nodiscard]] std::size_t UnsentBytes() const { return m_reply->PendingBytes(); }
  /// @brief The reply itself, for a request that is passed on.
  [[nodiscard]] std::shared_ptr<net::HttpReply> Reply() const { return m_reply; }

private:
  void BeginStream();

  std::shared_ptr<net::HttpReply> m_reply;
  ResponseMetadata m_metadata;
  CompletionKind m_kind;
  bool m_stream;
  bool m_streaming = false;
  std::string m_text;
};

} // namespace ferrytray::gate
