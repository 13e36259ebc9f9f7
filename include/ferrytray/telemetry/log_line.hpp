#pragma once

#include <string>      // for string, to_string
#include <string_view> // for string_view
#include <type_traits> // for is_arithmetic_v

namespace ferrytray::telemetry {

/// @brief One log line of key=value pairs, written by the destructor.
///
/// @code
/// telemetry::LogLine("route").Add("request", id).Add("worker", name);
/// @endcode
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// @brief Adds a pair. A value that is empty or has whitespace, quotes or '=' is quoted, and its
  /// control characters become '?'.
  LogLine& Add(std::string_view aKey, std::string_view aValue);

  template<typename Number>
  requires std::is_arithmetic_v<Number> LogLine& Add(std::string_view aKey, Number aNumber)
  {
    return Add(aKey, std::string_view(std::to_string(aNumber)));
  }

  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
};

/// @brief Initializes glog for a program, with output to standard error.
void StartLogging(const char* aProgram);

} // namespace ferrytray::telemetry
