#include "ferrytray/settings/settings.hpp"

#include <cstdlib> // for setenv, unsetenv

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

settings::ParseOutcome Parse(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "program");
  return settings::SettingsBuilder("program", "For tests.")
    .Add({ "tick", "250", "how often", settings::SettingKind::Millis })
    .Add({ "zone", "", "where", settings::SettingKind::Text, true })
    .Add({ "quiet", "false", "say less", settings::SettingKind::Flag })
    .Build(static_cast<int>(aArguments.size()), aArguments.data());
}

std::string FailureMessage(const settings::ParseOutcome& aParsed)
{
  return std::get<base::Failure>(aParsed).m_message;
}

} // namespace

TEST_GROUP(Settings){ void teardown() override{ unsetenv("FERRYTRAY_TICK");
}
}
;

TEST(Settings, FlagOverridesVariableAndVariableOverridesDefault)
{
  CHECK(std::get<settings::Settings>(Parse({ "--zone", "z1" })).Millis("tick") ==
        std::chrono::milliseconds(250));
  setenv("FERRYTRAY_TICK", "100", 1);
  CHECK(std::get<settings::Settings>(Parse({ "--zone", "z1" })).Millis("tick") ==
        std::chrono::milliseconds(100));
  CHECK(std::get<settings::Settings>(Parse({ "--zone", "z1", "--tick", "7" })).Millis("tick") ==
        std::chrono::milliseconds(7));
}

TEST(Settings, ReportsInvalidSettings)
{
  STRCMP_EQUAL("--zone (or FERRYTRAY_ZONE) is required", FailureMessage(Parse({})).c_str());
  STRCMP_EQUAL("--tick: 'soon' is not a whole number of milliseconds",
               FailureMessage(Parse({ "--zone", "z", "--tick", "soon" })).c_str());
  CHECK(std::holds_alternative<base::Failure>(Parse({ "--zone", "z", "--no-such", "1" })));
  CHECK(std::holds_alternative<base::Failure>(Parse({ "--zone", "z", "stray" })));
}

TEST(Settings, PrintsHelpAndVersionAndAcceptsBareFlag)
{
  const auto help = std::get<settings::Information>(Parse({ "--help" }));
  CHECK(help.m_text.find("FERRYTRAY_TICK") != std::string::npos);
  CHECK(std::get<settings::Information>(Parse({ "--version" })).m_text.rfind("program ", 0) == 0);
  CHECK(std::get<settings::Settings>(Parse({ "--zone", "z", "--quiet" })).Flag("quiet"));
}
