#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::telemetry {

/// @brief Where structured lines go. The default hands them to glog.
class LineSink
{
public:
  virtual ~LineSink() = default;
  virtual void Write(std::string_view aLine) = 0;
};

/// @brief Sets the program's sink; null restores the default. The sink must outlive its use.
void SetLineSink(LineSink* aSink);

/// @brief Writes lines to a descriptor without ever waiting for its reader.
///
/// Lines gather in a bounded buffer until Flush(). What a slow reader leaves no room for is
/// dropped and counted; the count is told in a line of its own when there is room again.
class BoundedSink final : public LineSink
{
public:
  /// @param aDescriptor made non-blocking here
  BoundedSink(int aDescriptor, std::size_t aCapacityBytes);
  void Write(std::string_view aLine) override;
  /// @brief Hands what was gathered to the descriptor, as far as it takes it.
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
