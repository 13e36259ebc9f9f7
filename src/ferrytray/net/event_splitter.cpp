#include "ferrytray/net/event_splitter.hpp"

#include <algorithm> // for min
#include <charconv>  // for from_chars

namespace ferrytray::net {

namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr char kCommentStart = ':';

/// @param aLine starts with the name of the id field
std::optional<std::uint64_t> ParseId(std::string_view aLine)
{
  std::string_view value = aLine.substr(kIdField.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  std::uint64_t id = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), id);
  return read.ec == std::errc() ? std::optional(id) : std::nullopt;
}

} // namespace

EventSplitter::CompleteEvents EventSplitter::Feed(std::string_view aBytes)
{
  CompleteEvents complete;
  m_buffer.append(aBytes);
  FinishLineEnd(complete);
  std::size_t eventStart = 0;
  for (std::size_t lineEnd = m_buffer.find_first_of(kLineEnds, m_scanned);
       lineEnd != std::string::npos;
       lineEnd = m_buffer.find_first_of(kLineEnds, m_lineStart)) {
    const bool blank =
      OnLine(std::string_view(m_buffer).substr(m_lineStart, lineEnd - m_lineStart));
    const bool isCarriageReturn = m_buffer[lineEnd] == '\r';
    const bool isLast = lineEnd + 1 == m_buffer.size();
    const bool withLineFeed = isCarriageReturn && !isLast && m_buffer[lineEnd + 1] == '\n';
    m_endsWithCarriageReturn = isCarriageReturn && isLast;
    m_lineStart = lineEnd + (withLineFeed ? 2 : 1);
    if (blank) {
      EndEvent(complete, eventStart);
      eventStart = m_lineStart;
    }
  }
  m_buffer.erase(0, eventStart);
  m_lineStart -= eventStart;
  m_scanned = m_buffer.size();
  return complete;
}

void EventSplitter::FinishLineEnd(CompleteEvents& aComplete)
{
  if (!m_endsWithCarriageReturn || m_lineStart == m_buffer.size()) {
    return;
  }
  m_endsWithCarriageReturn = false;
  if (m_buffer[m_lineStart] != '\n') {
    return;
  }
  if (m_lineStart > 0) {
    ++m_lineStart;
    ++m_scanned;
    return;
  }
  // The CR ended an event, which has left the buffer.
  m_buffer.erase(0, 1);
  if (!m_skippedLastEvent) {
    aComplete.m_bytes.push_back('\n');
  }
}

bool EventSplitter::OnLine(std::string_view aLine)
{
  if (m_atStreamStart && aLine.starts_with(kByteOrderMark)) {
    aLine.remove_prefix(kByteOrderMark.size());
  }
  m_atStreamStart = false;
  if (aLine.empty()) {
    return true;
  }
  m_hasFields = m_hasFields || aLine.front() != kCommentStart;
  if (aLine.starts_with(kIdField)) {
    m_eventId = ParseId(aLine);
  }
  return false;
}

void EventSplitter::EndEvent(CompleteEvents& aComplete, std::size_t aStart)
{
  m_skippedLastEvent = m_eventId && m_skipThrough && *m_eventId <= *m_skipThrough;
  if (!m_skippedLastEvent) {
    aComplete.m_bytes.append(m_buffer, aStart, m_lineStart - aStart);
    aComplete.m_lastId = m_eventId ? m_eventId : aComplete.m_lastId;
    aComplete.m_endsWithoutId = !m_eventId && (m_hasFields || aComplete.m_endsWithoutId);
  }
  m_eventId.reset();
  m_hasFields = false;
}

} // namespace ferrytray::net
