#include "ferrytray/settings/settings.hpp"

#include <algorithm> // for transform
#include <cctype>    // for toupper
#include <charconv>  // for from_chars
#include <cmath>     // for isfinite
#include <cstdlib>   // for getenv
#include <iostream>  // for cout, cerr

#include <boost/leaf.hpp> // for result, try_handle_all
#include <cxxopts.hpp>    // for Options

#include "ferrytray/version/build_info.hpp" // for Describe

namespace ferrytray::settings {

namespace {

namespace leaf = boost::leaf;

template<typename Number>
bool ReadNumber(const std::string& aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, aNumber);
  return code == std::errc() && stop == end;
}

bool IsValid(SettingKind aKind, const std::string& aText)
{
  std::uint64_t count = 0;
  double number = 0;
  switch (aKind) {
    case SettingKind::Text:
      return true;
    case SettingKind::Flag:
      return aText == "true" || aText == "false";
    case SettingKind::Number:
      return ReadNumber(aText, number) && std::isfinite(number) && number >= 0;
    case SettingKind::Count:
    case SettingKind::Millis:
      return ReadNumber(aText, count);
  }
  return false;
}

const char* ExpectedFormat(SettingKind aKind)
{
  switch (aKind) {
    case SettingKind::Flag:
      return "true or false";
    case SettingKind::Number:
      return "a number of at least 0";
    case SettingKind::Count:
      return "a whole number";
    case SettingKind::Millis:
      return "a whole number of milliseconds";
    case SettingKind::Text:
      break;
  }
  return "text";
}

leaf::result<std::string> ResolveValue(const Setting& aSetting, const cxxopts::ParseResult& aParsed)
{
  std::string value = aSetting.m_default;
  std::string source = "default";
  const std::string variable = EnvironmentVariable(aSetting.m_flag);
  if (const char* text = std::getenv(variable.c_str())) {
    value = text;
    source = variable;
  }
  if (aParsed.count(aSetting.m_flag) > 0) {
    value = aParsed[aSetting.m_flag].as<std::string>();
    source = "--" + aSetting.m_flag;
  }
  if (aSetting.m_required && value.empty()) {
    return leaf::new_error(
      base::Failure{ base::ErrorCode::SettingInvalid,
                     "--" + aSetting.m_flag + " (or " + variable + ") is required",
                     {},
                     {} });
  }
  if (!IsValid(aSetting.m_kind, value)) {
    return leaf::new_error(
      base::Failure{ base::ErrorCode::SettingInvalid,
                     source + ": '" + value + "' is not " + ExpectedFormat(aSetting.m_kind),
                     {},
                     {} });
  }
  return value;
}

leaf::result<Settings> ResolveAll(const std::vector<Setting>& aSettings,
                                  const cxxopts::ParseResult& aParsed)
{
  std::map<std::string, std::string> values;
  for (const Setting& setting : aSettings) {
    BOOST_LEAF_AUTO(value, ResolveValue(setting, aParsed));
    values.emplace(setting.m_flag, std::move(value));
  }
  std::vector<std::string> arguments;
  if (aParsed.count("arguments") > 0) {
    arguments = aParsed["arguments"].as<std::vector<std::string>>();
  }
  return Settings(std::move(values), std::move(arguments));
}

} // namespace

std::string EnvironmentVariable(const std::string& aFlag)
{
  std::string variable = "FERRYTRAY_" + aFlag;
  std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char aByte) {
    return aByte == '-' ? '_' : static_cast<char>(std::toupper(aByte));
  });
  return variable;
}

std::uint64_t Settings::Count(const std::string& aFlag) const
{
  return std::stoull(Text(aFlag));
}

double Settings::Number(const std::string& aFlag) const
{
  return std::stod(Text(aFlag));
}

base::Duration Settings::Millis(const std::string& aFlag) const
{
  return std::chrono::milliseconds(Count(aFlag));
}

SettingsBuilder& SettingsBuilder::Add(Setting aSetting)
{
  m_settings.push_back(std::move(aSetting));
  return *this;
}

SettingsBuilder& SettingsBuilder::AllowArguments(std::string aUsage)
{
  m_argumentsUsage = std::move(aUsage);
  return *this;
}

ParseOutcome SettingsBuilder::Build(int aArgc, const char* const* aArgv) const
{
  cxxopts::Options options(m_program, m_summary);
  options.add_options()("help", "print this")("version", "print the version");
  for (const Setting& setting : m_settings) {
    const std::string help = setting.m_help + " [" + EnvironmentVariable(setting.m_flag) +
                             ", default '" + setting.m_default + "']";
    const auto value = cxxopts::value<std::string>();
    options.add_options()(setting.m_flag,
                          help,
                          setting.m_kind == SettingKind::Flag ? value->implicit_value("true")
                                                              : value);
  }
  if (!m_argumentsUsage.empty()) {
    options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("arguments");
    options.positional_help(m_argumentsUsage);
  }
  const auto fail = [](const std::string& aMessage) -> ParseOutcome {
    return base::Failure{ base::ErrorCode::SettingInvalid, aMessage, {}, {} };
  };
  return leaf::try_handle_all(
    [&]() -> leaf::result<ParseOutcome> {
      const cxxopts::ParseResult parsed = options.parse(aArgc, aArgv);
      if (parsed.count("help") > 0) {
        return ParseOutcome(Information{ options.help({ "" }) });
      }
      if (parsed.count("version") > 0) {
        return ParseOutcome(Information{ m_program + " " + version::Describe() + "\n" });
      }
      if (m_argumentsUsage.empty() && !parsed.unmatched().empty()) {
        return fail("unexpected argument '" + parsed.unmatched().front() + "'");
      }
      BOOST_LEAF_AUTO(settings, ResolveAll(m_settings, parsed));
      return ParseOutcome(std::move(settings));
    },
    [&](base::Failure aFailure) -> ParseOutcome { return aFailure; },
    [&](leaf::catch_<std::exception> aCaught) { return fail(aCaught.matched.what()); },
    [&] { return fail("unreadable settings"); });
}

const Settings* SettingsOrExit(const ParseOutcome& aParsed, int& aExitCode)
{
  if (const auto* information = std::get_if<Information>(&aParsed)) {
    std::cout << information->m_text;
    aExitCode = kExitOk;
    return nullptr;
  }
  if (const auto* failure = std::get_if<base::Failure>(&aParsed)) {
    std::cerr << "error " << static_cast<int>(failure->m_code) << ": " << failure->m_message
              << "\n";
    aExitCode = kExitBadSettings;
    return nullptr;
  }
  return &std::get<Settings>(aParsed);
}

} // namespace ferrytray::settings
