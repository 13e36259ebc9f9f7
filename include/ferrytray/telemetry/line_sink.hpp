#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::telemetry {

/// @brief Destination of structured log lines. Without a sink, they go to glog.
class LineSink
{
public:
  virtual ~LineSink() = default;
  virtual void Write(std::string_view aLine) = 0;
};

/// @brief Sets the process-wide sink; null restores the default. The sink must outlive its use.
void SetLineSink(LineSink* aSink);

/// @brief Writes lines to a file descriptor without blocking on its reader.
///
/// Lines are buffered until Flush(). While a slow reader keeps the bounded buffer full, lines are
/// dropped and counted; the count is logged as a separate line once there is room again.
class BoundedSink final : public LineSink
{
public:
  /// @param aDescriptor switched to non-blocking mode by the constructor
  BoundedSink(int aDescriptor, std::size_t aCapacityBytes);
  void Write(std::string_view aLine) override;
  /// @brief Writes as much of the buffer as the descriptor accepts.
  void Flush();
  [[nodiscard]] std::uint64_t Dropped() const { return m_dropped; }

private:
  int m_descriptor;
  std::size_t m_capacity;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_droppedReported = 0;
};

} // namespace ferrytray::telemetry
