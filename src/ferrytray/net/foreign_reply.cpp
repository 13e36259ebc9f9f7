#include "ferrytray/net/foreign_reply.hpp"

#include <charconv>  // for from_chars
#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <strings.h> // for strncasecmp

namespace ferrytray::net {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersion = "HTTP/1.";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string_view Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  return first == std::string_view::npos
           ? std::string_view()
           : aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// @return empty unless the whole text is a number
std::optional<std::uint64_t> ParseNumber(std::string_view aText, int aBase)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number, aBase);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

/// What the head of a reply says of its end and of its request.
struct Head
{
  std::size_t m_size = 0; ///< with the empty line
  int m_status = 0;
  bool m_chunked = false;
  std::optional<std::uint64_t> m_length;
  bool m_hasExpected = false; ///< the echoed header has the expected value
  bool m_hasOther = false;    ///< it has another one
};

std::optional<Head> ParseHead(std::string_view aBytes, const EchoedHeader& aExpected)
{
  const std::size_t end = aBytes.find(kHeadEnd);
  const std::size_t statusAt = aBytes.find(' ') + 1;
  constexpr std::size_t kStatusDigits = 3;
  if (!aBytes.starts_with(kVersion) || end == std::string_view::npos || statusAt >= end) {
    return std::nullopt;
  }
  Head head;
  head.m_size = end + kHeadEnd.size();
  const auto status = ParseNumber(aBytes.substr(statusAt, kStatusDigits), 10);
  head.m_status = static_cast<int>(status.value_or(0));
  std::string_view lines = aBytes.substr(0, end + kLineEnd.size());
  lines.remove_prefix(lines.find(kLineEnd) + kLineEnd.size());
  while (!lines.empty()) {
    const std::size_t lineEnd = lines.find(kLineEnd);
    const std::string_view line = lines.substr(0, lineEnd);
    lines.remove_prefix(lineEnd + kLineEnd.size());
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (EqualIgnoringCase(name, aExpected.m_name)) {
      head.m_hasExpected = head.m_hasExpected || value == aExpected.m_value;
      head.m_hasOther = head.m_hasOther || value != aExpected.m_value;
    } else if (EqualIgnoringCase(name, "Content-Length")) {
      head.m_length = ParseNumber(value, 10);
    } else if (EqualIgnoringCase(name, "Transfer-Encoding")) {
      head.m_chunked = EqualIgnoringCase(value, "chunked");
      if (!head.m_chunked) {
        return std::nullopt;
      }
    }
  }
  return head;
}

/// @return size of a body in chunks with its trailer; zero if it is not whole or malformed
std::size_t ChunkedSize(std::string_view aBytes)
{
  std::size_t at = 0;
  for (;;) {
    const std::size_t lineEnd = aBytes.find(kLineEnd, at);
    if (lineEnd == std::string_view::npos) {
      return 0;
    }
    const std::string_view line = aBytes.substr(at, lineEnd - at);
    const auto size = ParseNumber(Trim(line.substr(0, line.find(';'))), 16);
    if (!size) {
      return 0;
    }
    if (*size == 0) {
      // The trailer ends with an empty line. Without one, its end is that of the last chunk.
      const std::size_t end = aBytes.find(kHeadEnd, lineEnd);
      return end == std::string_view::npos ? 0 : end + kHeadEnd.size();
    }
    const std::size_t start = lineEnd + kLineEnd.size();
    if (*size > aBytes.size() - start) {
      return 0;
    }
    at = start + *size;
    if (aBytes.substr(at, kLineEnd.size()) != kLineEnd) {
      return 0;
    }
    at += kLineEnd.size();
  }
}

} // namespace

std::size_t ForeignReplySize(std::string_view aBytes, const EchoedHeader& aExpected)
{
  const std::optional<Head> head = ParseHead(aBytes, aExpected);
  if (!head || head->m_status < kFirstFinalStatus || head->m_hasExpected || !head->m_hasOther) {
    return 0;
  }
  if (head->m_status == kNoContent || head->m_status == kNotModified) {
    return head->m_size;
  }
  const std::string_view body = aBytes.substr(head->m_size);
  if (head->m_chunked) {
    const std::size_t size = ChunkedSize(body);
    return size == 0 ? 0 : head->m_size + size;
  }
  const bool whole = head->m_length && *head->m_length <= body.size();
  return whole ? head->m_size + static_cast<std::size_t>(*head->m_length) : 0;
}

} // namespace ferrytray::net
