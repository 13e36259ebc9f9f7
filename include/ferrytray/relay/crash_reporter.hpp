#pragma once

#include <span>   // for span
#include <vector> // for vector

#include "ferrytray/base/time.hpp"               // for Duration, TimePoint
#include "ferrytray/quarantine/crash_notice.hpp" // for ContentKey, EndpointKey
#include "ferrytray/relay/relay_core.hpp"        // for RelayCore

namespace ferrytray::relay {

struct CrashReporterOptions
{
  /// An answer that is read later than this after a connection broke had not been received before.
  base::Duration m_minDelay = std::chrono::milliseconds(10);
  /// After this a broken connection is reported without confirmation, unless connects fail.
  base::Duration m_maxDelay = std::chrono::milliseconds(1000);
};

/// @brief Reports connections that endpoints broke to the crash tracker, once it is certain that
/// this host was not partitioned at that moment: a partition may reset all connections at once.
///
/// An answer of another endpoint after the break, or a new connection, confirms the report. A
/// partition discards it.
class CrashReporter
{
public:
  explicit CrashReporter(RelayCore& aCore, CrashReporterOptions aOptions = {})
    : m_core(aCore)
    , m_options(aOptions)
  {
  }

  /// @param aSentAt when this host sent the request
  void OnConnectionBroken(std::span<const quarantine::ContentKey> aContent,
                          quarantine::EndpointKey aEndpoint,
                          base::TimePoint aSentAt,
                          base::TimePoint aNow);
  /// @brief An endpoint answered or accepted a connection.
  void OnEndpointAlive(quarantine::EndpointKey aEndpoint, base::TimePoint aNow);
  /// @brief Discards or reports what has waited for too long. Call often.
  void Check(base::TimePoint aNow);
  [[nodiscard]] bool HasPending() const { return !m_pending.empty(); }

private:
  struct BrokenConnection
  {
    std::vector<quarantine::ContentKey> m_content; ///< of the request
    quarantine::EndpointKey m_endpoint = 0;
    base::TimePoint m_sentAt;
    base::TimePoint m_brokenAt;
  };

  void Report(const BrokenConnection& aBroken);

  RelayCore& m_core;
  CrashReporterOptions m_options;
  std::vector<BrokenConnection> m_pending;
};

} // namespace ferrytray::relay
