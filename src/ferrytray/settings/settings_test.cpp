#include "ferrytray/settings/settings.hpp"

#include <cstdlib> // for setenv, unsetenv

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

settings::Parsed Read(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "program");
  return settings::SettingsBuilder("program", "For tests.")
    .Add({ "tick", "250", "how often", settings::SettingKind::Millis })
    .Add({ "zone", "", "where", settings::SettingKind::Text, true })
    .Add({ "quiet", "false", "say less", settings::SettingKind::Flag })
    .Build(static_cast<int>(aArguments.size()), aArguments.data());
}

std::string MessageOf(const settings::Parsed& aParsed)
{
  return std::get<base::Failure>(aParsed).m_message;
}

} // namespace

TEST_GROUP(Settings){ void teardown() override{ unsetenv("FERRYTRAY_TICK");
}
}
;

TEST(Settings, AFlagWinsOverItsVariableAndThatOverTheDefault)
{
  CHECK(std::get<settings::Settings>(Read({ "--zone", "z1" })).Millis("tick") ==
        std::chrono::milliseconds(250));
  setenv("FERRYTRAY_TICK", "100", 1);
  CHECK(std::get<settings::Settings>(Read({ "--zone", "z1" })).Millis("tick") ==
        std::chrono::milliseconds(100));
  CHECK(std::get<settings::Settings>(Read({ "--zone", "z1", "--tick", "7" })).Millis("tick") ==
        std::chrono::milliseconds(7));
}

TEST(Settings, SaysWhatIsWrong)
{
  STRCMP_EQUAL("--zone (or FERRYTRAY_ZONE) is required", MessageOf(Read({})).c_str());
  STRCMP_EQUAL("--tick: 'soon' is not a whole number of milliseconds",
               MessageOf(Read({ "--zone", "z", "--tick", "soon" })).c_str());
  CHECK(std::holds_alternative<base::Failure>(Read({ "--zone", "z", "--no-such", "1" })));
  CHECK(std::holds_alternative<base::Failure>(Read({ "--zone", "z", "stray" })));
}

TEST(Settings, TellsAboutItself)
{
  const auto help = std::get<settings::Information>(Read({ "--help" }));
  CHECK(help.m_text.find("FERRYTRAY_TICK") != std::string::npos);
  CHECK(std::get<settings::Information>(Read({ "--version" })).m_text.rfind("program ", 0) == 0);
  CHECK(std::get<settings::Settings>(Read({ "--zone", "z", "--quiet" })).Flag("quiet"));
}
