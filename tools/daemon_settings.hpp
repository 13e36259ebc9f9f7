#pragma once

#include <chrono>           // for system_clock
#include <initializer_list> // for initializer_list
#include <iostream>         // for cerr
#include <string>           // for string
#include <utility>          // for pair

#include "ferrytray/net/address.hpp"       // for ParseAddress
#include "ferrytray/settings/settings.hpp" // for Settings

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
inline int Refuse(const base::Failure& aFailure, int aExitCode)
{
  std::cerr << "error " << static_cast<int>(aFailure.m_code) << ": " << aFailure.m_message << "\n";
  return aExitCode;
}

} // namespace ferrytray::daemon
