#pragma once

#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional
#include <string>     // for string

#include "ferrytray/gate/answer_format.hpp" // for TokenUsage, ResponseMetadata
#include "ferrytray/once/ticket_table.hpp"  // for StoredAnswer

namespace ferrytray::gate {

/// @brief Writes the response of one request to its caller exactly once, whole or streamed.
class ResponseWriter
{
public:
  ResponseWriter(std::shared_ptr<net::HttpReply> aReply,
                 ResponseMetadata aMetadata,
                 CompletionKind aKind,
                 bool aStream);

  /// @brief Appends text to the response.
  void AppendText(const std::string& aText);
  /// @brief Ends the response. @return the response to replay for a repeated request
  once::StoredAnswer Complete(const TokenUsage& aUsage);
  /// @brief Ends the response with an error.
  void Fail(const base::Failure& aFailure);
  /// @brief Sends a stored response.
  void Replay(const once::StoredAnswer& aAnswer);

  void OnClosed(std::function<void()> aCall) { m_reply->OnClosed(std::move(aCall)); }
  [[nodiscard]] bool HasText() const { return !m_text.empty(); }
  [[nodiscard]] std::size_t UnsentBytes() const { return m_reply->PendingBytes(); }
  /// @brief The underlying reply, for forwarding the request to another gate.
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
