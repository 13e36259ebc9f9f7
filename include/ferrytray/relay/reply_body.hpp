#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant

#include "ferrytray/net/event_splitter.hpp" // for EventSplitter
#include "ferrytray/net/http_client.hpp"    // for WireEnd
#include "ferrytray/net/http_server.hpp"    // for Headers

namespace ferrytray::relay {

/// @brief A body that is forwarded as a whole.
class PlainBody
{
public:
  explicit PlainBody(bool aIsJson = false)
    : m_isJson(aIsJson)
  {
  }
  net::EventSplitter::CompleteEvents Append(std::string_view aPiece);
  [[nodiscard]] bool IsComplete(net::WireEnd aEnd) const;
  [[nodiscard]] const std::string& Held() const { return m_bytes; }

private:
  std::string m_bytes;
  bool m_isJson;
};

/// @brief A body whose events are forwarded one by one.
class EventStreamBody
{
public:
  /// @param aResumeAfter id of the last event that the caller has; empty: none
  explicit EventStreamBody(std::optional<std::uint64_t> aResumeAfter)
    : m_splitter(aResumeAfter)
    , m_receivedEvent(aResumeAfter.has_value())
  {
  }
  net::EventSplitter::CompleteEvents Append(std::string_view aPiece);
  [[nodiscard]] bool IsComplete(net::WireEnd aEnd) const;
  /// @brief The bytes after the last complete event.
  [[nodiscard]] const std::string& Held() const { return m_splitter.Remainder(); }

private:
  net::EventSplitter m_splitter;
  bool m_receivedEvent; ///< in this stream or in the one that it resumes
};

/// @brief The body of an endpoint's reply, and whether it is complete.
///
/// A reply that declares neither a length nor chunks ends with its connection, and so does a
/// truncated one. Whether it is complete is decided by its content: an event stream has to end
/// between two events, JSON has to parse. Other content counts as complete unless the connection
/// failed.
class ReplyBody
{
public:
  /// @brief An empty body.
  ReplyBody() = default;
  /// @param aHeaders of the reply
  /// @param aMaxBytes limit of the bytes that are held at a time
  static ReplyBody Plain(const net::Headers& aHeaders, std::size_t aMaxBytes);
  /// @param aResumeAfter events with ids up to this one are dropped because the caller has them
  /// @param aMaxBytes limit of the bytes that are held at a time
  static ReplyBody EventStream(std::optional<std::uint64_t> aResumeAfter, std::size_t aMaxBytes);

  /// @brief Adds bytes. @return the events that they complete; none unless this is an event stream
  net::EventSplitter::CompleteEvents Append(std::string_view aPiece);
  /// @brief Whether more bytes than the limit are held; the body is unusable then.
  [[nodiscard]] bool IsTooLarge() const { return Held().size() > m_maxBytes; }
  [[nodiscard]] bool IsEventStream() const
  {
    return std::holds_alternative<EventStreamBody>(m_content);
  }
  /// @param aEnd how the transfer ended
  [[nodiscard]] bool IsComplete(net::WireEnd aEnd) const;
  /// @brief The bytes that Append() has not returned: all of a plain body, of an event stream those
  /// after the last complete event.
  [[nodiscard]] const std::string& Held() const;

private:
  using Content = std::variant<PlainBody, EventStreamBody>;

  ReplyBody(Content aContent, std::size_t aMaxBytes);

  Content m_content;
  std::size_t m_maxBytes = 0;
};

/// @brief Whether the body of a reply may be an event stream: its content type says so or is
/// absent.
[[nodiscard]] bool MayBeEventStream(const net::Headers& aHeaders);

} // namespace ferrytray::relay
