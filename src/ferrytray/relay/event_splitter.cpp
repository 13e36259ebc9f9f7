#include "ferrytray/relay/event_splitter.hpp"

#include <charconv> // for from_chars

namespace ferrytray::relay {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> IdOf(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    std::size_t end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      const std::size_t digits = line.find_first_not_of(' ');
      std::uint64_t id = 0;
      if (digits == std::string_view::npos) {
        return std::nullopt;
      }
      line.remove_prefix(digits);
      const auto read = std::from_chars(line.data(), line.data() + line.size(), id);
      return read.ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    start = end + 1;
  }
  return std::nullopt;
}

} // namespace

EventSplitter::CompleteEvents EventSplitter::Feed(std::string_view aBytes)
{
  m_buffer.append(aBytes);
  CompleteEvents complete;
  std::size_t start = 0;
  for (std::size_t end = m_buffer.find(kEventEnd); end != std::string::npos;
       end = m_buffer.find(kEventEnd, start)) {
    const std::size_t next = end + kEventEnd.size();
    const std::string_view event = std::string_view(m_buffer).substr(start, next - start);
    const std::optional<std::uint64_t> id = IdOf(event);
    const bool skipped = id && m_skipThrough && *id <= *m_skipThrough;
    if (!skipped) {
      complete.m_bytes.append(event);
      complete.m_lastId = id ? id : complete.m_lastId;
    }
    start = next;
  }
  m_buffer.erase(0, start);
  return complete;
}

} // namespace ferrytray::relay
