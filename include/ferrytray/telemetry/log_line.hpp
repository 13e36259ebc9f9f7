#pragma once

#include <string>      // for string, to_string
#include <string_view> // for string_view
#include <type_traits> // for is_arithmetic_v

namespace ferrytray::telemetry {

/// @brief One log line of key=value pairs; written when it goes out of scope.
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

  /// @brief Adds a pair; a value with spaces or quotes is quoted.
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

/// @brief Starts glog for a program: lines go to standard error.
void StartLogging(const char* aProgram);

} // namespace ferrytray::telemetry
