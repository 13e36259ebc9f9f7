#pragma once

#include <chrono>           // for system_clock
#include <initializer_list> // for initializer_list
#include <iostream>         // for cerr
#include <string>           // for string
#include <utility>          // for pair

#include "ferrytray/net/address.hpp"        // for ParseAddress
#include "ferrytray/net/loop.hpp"           // for Loop
#include "ferrytray/settings/settings.hpp"  // for Settings
#include "ferrytray/telemetry/log_line.hpp" // for StartLogging

/// What both daemons read from their settings alike.
namespace ferrytray::daemon {

/// Microseconds since the epoch at this start; higher than at any start before.
inline std::uint64_t NewIncarnation()
{
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(start).count();
  return static_cast<std::uint64_t>(micros);
}

/// Reads every IP:PORT setting, and checks the host's name.
inline base::Result<void> ReadAddresses(
  const settings::Settings& aSettings,
  std::initializer_list<std::pair<const char*, net::Address*>> aTargets)
{
  for (const auto& [flag, target] : aTargets) {
    const auto address = net::ParseAddress(aSettings.Text(flag));
    if (!address) {
      return base::Fail(base::ErrorCode::SettingInvalid,
                        std::string("--") + flag + ": " + address.error().m_message);
    }
    *target = *address;
  }
  if (aSettings.Text("host").find_first_of(". #") != std::string::npos) {
    return base::Fail(base::ErrorCode::SettingInvalid,
                      "--host: expects a name without '.', '#' or spaces");
  }
  return {};
}

/// Prints why the daemon cannot run. @return the exit code given
inline int ReportFailure(const base::Failure& aFailure, int aExitCode)
{
  std::cerr << "error " << static_cast<int>(aFailure.m_code) << ": " << aFailure.m_message << "\n";
  return aExitCode;
}

/// Runs a daemon until it was told to end and has left.
/// @param aOptions a Result of what aCreate takes
/// @param aCreate builds the daemon on a loop
/// @param aPrintAddresses prints its addresses
/// @param aShutdown begins its planned stop and calls back when it may end
template<typename Options, typename Create, typename PrintAddresses, typename Shutdown>
int Run(const char* aProgram,
        const Options& aOptions,
        const Create& aCreate,
        const PrintAddresses& aPrintAddresses,
        const Shutdown& aShutdown)
{
  if (!aOptions) {
    return ReportFailure(aOptions.error(), settings::kExitBadSettings);
  }
  telemetry::StartLogging(aProgram);
  net::Loop loop;
  const auto daemon = aCreate(loop, *aOptions);
  if (!daemon) {
    return ReportFailure(daemon.error(), settings::kExitFailed);
  }
  aPrintAddresses(**daemon);
  loop.OnTerminate([&] { aShutdown(**daemon, [&] { loop.Stop(); }); });
  loop.Run();
  return settings::kExitOk;
}

} // namespace ferrytray::daemon
