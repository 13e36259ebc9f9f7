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

/// Settings and the main function that the gate and the keeper share.
namespace ferrytray::daemon {

/// The incarnation number: wall-clock microseconds since the epoch, so that it grows with each
/// start.
inline std::uint64_t NewIncarnation()
{
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(start).count();
  return static_cast<std::uint64_t>(micros);
}

/// Parses every IP:PORT setting and validates the host name.
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

/// Prints why the daemon cannot start. @return aExitCode
inline int ReportFailure(const base::Failure& aFailure, int aExitCode)
{
  std::cerr << "error " << static_cast<int>(aFailure.m_code) << ": " << aFailure.m_message << "\n";
  return aExitCode;
}

/// Runs a daemon until a termination signal arrives and its graceful shutdown is complete.
/// @param aOptions the options for aCreate, or why they are invalid
/// @param aCreate creates the daemon on a loop
/// @param aPrintAddresses prints the addresses that the daemon listens on
/// @param aShutdown starts the graceful shutdown and calls back when the process may exit
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
