#pragma once

#include <cstdint> // for uint16_t, uint64_t
#include <map>     // for map
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "ferrytray/base/error.hpp" // for Result
#include "ferrytray/base/time.hpp"  // for Duration

namespace ferrytray::settings {

/// @brief Value format of a setting.
enum class SettingKind : std::uint8_t
{
  Text,
  Count,  ///< non-negative integer
  Number, ///< non-negative, finite number
  Millis, ///< non-negative integer number of milliseconds
  Flag,   ///< true or false
};

/// @brief Declares one setting of a program.
struct Setting
{
  std::string m_flag; ///< such as "listen", passed as --listen
  std::string m_default;
  std::string m_help;
  SettingKind m_kind = SettingKind::Text;
  bool m_required = false;
};

/// @brief Returns the environment variable of a flag: FERRYTRAY_ZONE_NAME for "zone-name".
std::string EnvironmentVariable(const std::string& aFlag);

/// @brief Validated settings. Reading an undeclared one is a programming error.
class Settings
{
public:
  explicit Settings(std::map<std::string, std::string> aValues, std::vector<std::string> aArguments)
    : m_values(std::move(aValues))
    , m_arguments(std::move(aArguments))
  {
  }

  [[nodiscard]] const std::string& Text(const std::string& aFlag) const
  {
    return m_values.at(aFlag);
  }
  [[nodiscard]] std::uint64_t Count(const std::string& aFlag) const;
  [[nodiscard]] double Number(const std::string& aFlag) const;
  [[nodiscard]] base::Duration Millis(const std::string& aFlag) const;
  [[nodiscard]] bool Flag(const std::string& aFlag) const { return Text(aFlag) == "true"; }
  /// @brief Returns the positional arguments of the command line.
  [[nodiscard]] const std::vector<std::string>& Arguments() const { return m_arguments; }

private:
  std::map<std::string, std::string> m_values;
  std::vector<std::string> m_arguments;
};

/// @brief Output of --help or --version; the program prints it and exits with 0.
struct Information
{
  std::string m_text;
};

using ParseOutcome = std::variant<Settings, Information, base::Failure>;

/// @brief Declares a program's settings and reads their values. A flag overrides its environment
/// variable.
///
/// @code
/// auto parsed = settings::SettingsBuilder("ferrytray-gate", "Serves callers.")
///                 .Add({ "listen", "127.0.0.1:8080", "IP:PORT for callers" })
///                 .Build(argc, argv);
/// @endcode
class SettingsBuilder
{
public:
  SettingsBuilder(std::string aProgram, std::string aSummary)
    : m_program(std::move(aProgram))
    , m_summary(std::move(aSummary))
  {
  }

  SettingsBuilder& Add(Setting aSetting);
  /// @brief Allows positional arguments, such as a command and its files.
  SettingsBuilder& AllowArguments(std::string aUsage);
  [[nodiscard]] ParseOutcome Build(int aArgc, const char* const* aArgv) const;

private:
  std::string m_program;
  std::string m_summary;
  std::string m_argumentsUsage;
  std::vector<Setting> m_settings;
};

/// @brief Exit codes shared by all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// @brief Prints the result of Build unless it holds settings.
/// @return the settings, or null with aExitCode set
const Settings* SettingsOrExit(const ParseOutcome& aParsed, int& aExitCode);

/// @brief Runs a program with its settings; prints the result of Build if it holds none.
/// @param aRun called with the settings. @return its exit code, or that for the printed result
template<typename Run>
int RunWith(const ParseOutcome& aParsed, const Run& aRun)
{
  int exitCode = kExitOk;
  const Settings* settings = SettingsOrExit(aParsed, exitCode);
  return settings == nullptr ? exitCode : aRun(*settings);
}

} // namespace ferrytray::settings
