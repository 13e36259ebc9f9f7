#include "ferrytray/gate/response_writer.hpp"

namespace ferrytray::gate {

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kEventStream = "text/event-stream";

} // namespace

ResponseWriter::ResponseWriter(std::shared_ptr<net::HttpReply> aReply,
                               ResponseMetadata aMetadata,
                               CompletionKind aKind,
                               bool aStream)
  : m_reply(std::move(aReply))
  , m_metadata(std::move(aMetadata))
  , m_kind(aKind)
  , m_stream(aStream)
{
}

void ResponseWriter::BeginStream()
{
  if (!m_streaming) {
    m_streaming = true;
    m_reply->StartStream(
      200, { { "Content-Type", kEventStream }, { "X-Request-Id", m_metadata.m_request } });
  }
}

void ResponseWriter::AppendText(const std::string& aText)
{
  if (aText.empty()) {
    return;
  }
  m_text += aText;
  if (m_stream) {
    BeginStream();
    m_reply->Write(FormatChunkEvent(m_kind, m_metadata, aText));
  }
}

once::StoredAnswer ResponseWriter::Complete(const TokenUsage& aUsage)
{
  once::StoredAnswer kept{ 200, kJson, "" };
  if (m_stream) {
    kept.m_contentType = kEventStream;
    kept.m_body =
      FormatChunkEvent(m_kind, m_metadata, m_text) + FormatFinalEvents(m_kind, m_metadata, aUsage);
    BeginStream();
    m_reply->Write(FormatFinalEvents(m_kind, m_metadata, aUsage));
    m_reply->Finish();
    return kept;
  }
  kept.m_body = FormatResponse(m_kind, m_metadata, m_text, aUsage);
  m_reply->Send(
    200, { { "Content-Type", kJson }, { "X-Request-Id", m_metadata.m_request } }, kept.m_body);
  return kept;
}

void ResponseWriter::Fail(const base::Failure& aFailure)
{
  if (m_streaming) {
    m_reply->Write(FormatErrorEvent(aFailure, m_metadata.m_request));
    m_reply->Finish();
    return;
  }
  SendError(*m_reply, aFailure, m_metadata.m_request);
}

void ResponseWriter::Replay(const once::StoredAnswer& aAnswer)
{
  m_reply->Send(aAnswer.m_status,
                { { "Content-Type", aAnswer.m_contentType },
                  { "X-Request-Id", m_metadata.m_request },
                  { "Ferrytray-Replayed", "true" } },
                aAnswer.m_body);
}

} // namespace ferrytray::gate
