#include "ferrytray/relay/reply_body.hpp"

#include <algorithm> // for transform
#include <cctype>    // for tolower
#include <utility>   // for move

#include <strings.h> // for strcasecmp

#include <nlohmann/json.hpp> // for json

namespace ferrytray::relay {

namespace {

/// The media type in lower case, without parameters; empty if the header is absent.
std::string MediaTypeOf(const net::Headers& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), "content-type") == 0) {
      std::string type = value.substr(0, value.find_first_of("; \t"));
      std::transform(type.begin(), type.end(), type.begin(), [](unsigned char aByte) {
        return static_cast<char>(std::tolower(aByte));
      });
      return type;
    }
  }
  return "";
}

bool IsJson(const net::Headers& aHeaders)
{
  const std::string type = MediaTypeOf(aHeaders);
  return type == "application/json" || type.ends_with("+json");
}

} // namespace

bool MayBeEventStream(const net::Headers& aHeaders)
{
  const std::string type = MediaTypeOf(aHeaders);
  return type.empty() || type == "text/event-stream";
}

net::EventSplitter::CompleteEvents PlainBody::Append(std::string_view aPiece)
{
  m_bytes.append(aPiece);
  return {};
}

bool PlainBody::IsComplete(net::WireEnd aEnd) const
{
  if (aEnd == net::WireEnd::Closed) {
    return !m_isJson || nlohmann::json::accept(m_bytes);
  }
  return aEnd == net::WireEnd::Complete;
}

net::EventSplitter::CompleteEvents EventStreamBody::Append(std::string_view aPiece)
{
  net::EventSplitter::CompleteEvents events = m_splitter.Feed(aPiece);
  m_receivedEvent = m_receivedEvent || !events.m_bytes.empty();
  return events;
}

bool EventStreamBody::IsComplete(net::WireEnd aEnd) const
{
  const bool ended =
    aEnd == net::WireEnd::Complete || (aEnd == net::WireEnd::Closed && m_receivedEvent);
  return ended && !m_splitter.IsInsideEvent();
}

ReplyBody::ReplyBody(Content aContent, std::size_t aMaxBytes)
  : m_content(std::move(aContent))
  , m_maxBytes(aMaxBytes)
{
}

ReplyBody ReplyBody::Plain(const net::Headers& aHeaders, std::size_t aMaxBytes)
{
  return { PlainBody(IsJson(aHeaders)), aMaxBytes };
}

ReplyBody ReplyBody::EventStream(std::optional<std::uint64_t> aResumeAfter, std::size_t aMaxBytes)
{
  return { EventStreamBody(aResumeAfter), aMaxBytes };
}

net::EventSplitter::CompleteEvents ReplyBody::Append(std::string_view aPiece)
{
  return std::visit([aPiece](auto& aContent) { return aContent.Append(aPiece); }, m_content);
}

bool ReplyBody::IsComplete(net::WireEnd aEnd) const
{
  return std::visit([aEnd](const auto& aContent) { return aContent.IsComplete(aEnd); }, m_content);
}

const std::string& ReplyBody::Held() const
{
  return std::visit([](const auto& aContent) -> const std::string& { return aContent.Held(); },
                    m_content);
}

} // namespace ferrytray::relay
