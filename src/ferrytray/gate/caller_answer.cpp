#include "ferrytray/gate/caller_answer.hpp"

namespace ferrytray::gate {

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kEventStream = "text/event-stream";

} // namespace

CallerAnswer::CallerAnswer(std::shared_ptr<net::HttpReply> aReply,
                           AnswerNames aNames,
                           AnswerShape aShape,
                           bool aStream)
  : m_reply(std::move(aReply))
  , m_names(std::move(aNames))
  , m_shape(aShape)
  , m_stream(aStream)
{
}

void CallerAnswer::BeginStream()
{
  if (!m_streaming) {
    m_streaming = true;
    m_reply->StartStream(
      200, { { "Content-Type", kEventStream }, { "X-Request-Id", m_names.m_request } });
  }
}

void CallerAnswer::Deliver(const std::string& aText)
{
  if (aText.empty()) {
    return;
  }
  m_text += aText;
  if (m_stream) {
    BeginStream();
    m_reply->Write(PieceEvent(m_shape, m_names, aText));
  }
}

once::StoredAnswer CallerAnswer::Complete(const Usage& aUsage)
{
  once::StoredAnswer kept{ 200, kJson, "" };
  if (m_stream) {
    kept.m_contentType = kEventStream;
    kept.m_body = PieceEvent(m_shape, m_names, m_text) + LastEvents(m_shape, m_names, aUsage);
    BeginStream();
    m_reply->Write(LastEvents(m_shape, m_names, aUsage));
    m_reply->Finish();
    return kept;
  }
  kept.m_body = WholeAnswer(m_shape, m_names, m_text, aUsage);
  m_reply->Send(
    200, { { "Content-Type", kJson }, { "X-Request-Id", m_names.m_request } }, kept.m_body);
  return kept;
}

void CallerAnswer::Fail(const base::Failure& aFailure)
{
  if (m_streaming) {
    m_reply->Write(ErrorEvent(aFailure, m_names.m_request));
    m_reply->Finish();
    return;
  }
  SendFailure(*m_reply, aFailure, m_names.m_request);
}

void CallerAnswer::Replay(const once::StoredAnswer& aAnswer)
{
  m_reply->Send(aAnswer.m_status,
                { { "Content-Type", aAnswer.m_contentType },
                  { "X-Request-Id", m_names.m_request },
                  { "Ferrytray-Replayed", "true" } },
                aAnswer.m_body);
}

} // namespace ferrytray::gate
