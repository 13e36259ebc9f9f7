#include "ferrytray/telemetry/line_sink.hpp"

#include <fcntl.h>  // for fcntl
#include <unistd.h> // for write

namespace ferrytray::telemetry {

BoundedSink::BoundedSink(int aDescriptor, std::size_t aCapacityBytes)
  : m_descriptor(aDescriptor)
  , m_capacity(aCapacityBytes)
{
  const int flags = fcntl(aDescriptor, F_GETFL);
  fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
}

void BoundedSink::Write(std::string_view aLine)
{
  if (m_buffer.size() + aLine.size() + 1 > m_capacity) {
    ++m_dropped;
    return;
  }
  m_buffer.append(aLine).push_back('\n');
}

void BoundedSink::Flush()
{
  if (m_buffer.empty()) {
    return;
  }
  const ssize_t written = write(m_descriptor, m_buffer.data(), m_buffer.size());
  if (written <= 0) {
    return;
  }
  m_buffer.erase(0, static_cast<std::size_t>(written));
  if (m_dropped > m_droppedReported) {
    const std::uint64_t unreported = m_dropped - m_droppedReported;
    m_droppedReported = m_dropped;
    Write("event=log_dropped lines=" + std::to_string(unreported));
  }
}

} // namespace ferrytray::telemetry
