// The part of a host that keeps quarantined requests from endpoints.
#include "ferrytray/relay/relay_host.hpp"

#include <utility> // for exchange, move

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::relay {

namespace {

// A crashing endpoint breaks off many requests at once; their notices are sent together.
constexpr base::Duration kCrashNoticeDelay = std::chrono::milliseconds(20);

// How long after reading the configuration a host waits for the quarantine records. If the record
// log does not return them, the host serves without them.
constexpr base::Duration kQuarantineLoadTimeout = std::chrono::milliseconds(1500);

} // namespace

void RelayHost::StartQuarantineLoadTimer()
{
  m_quarantineLoadTimer =
    m_loop.After(kQuarantineLoadTimeout, [this] { ServeWithoutQuarantine(); });
}

void RelayHost::ServeWithoutQuarantine()
{
  if (!std::exchange(m_core.m_crashesLoaded, true)) {
    telemetry::LogLine("quarantine")
      .Add("outcome", "not_read")
      .Add("why",
           "the record log did not return the quarantine topic; requests are served without it");
  }
}

void RelayHost::StartQuarantine()
{
  m_core.m_onCrashesChanged = [this](std::span<const quarantine::ContentKey> aContent) {
    OnCrashesChanged(aContent);
  };
  m_peerExchange.OnCrashes([this] { m_quarantine.OnTrackerChanged(); });
  m_quarantine.SetRoleFunction([this](const quarantine::ContentKey& aContent) {
    constexpr std::size_t kFirstWriters = 2;
    if (m_peerExchange.IsAmongFirst(base::ToHex(aContent), kFirstWriters)) {
      return quarantine::WriterRole::Primary;
    }
    return m_peerExchange.IsReader() ? quarantine::WriterRole::LogReader
                                     : quarantine::WriterRole::NonWriter;
  });
  m_core.m_claimProbe = [this](std::span<const quarantine::ContentKey> aContent,
                               std::function<void(bool)> aDone) {
    m_quarantine.ClaimProbe(aContent, std::move(aDone));
  };
  m_quarantine.Start();
  const base::Duration interval = m_options.m_feeds.m_quarantineIsolatedInterval;
  m_isolationTimer = m_loop.Every(interval, [this, interval] {
    if (m_peerExchange.IsIsolated(interval, base::MonotonicNow())) {
      m_quarantine.OnIsolated();
    }
  });
}

void RelayHost::OnCrashesChanged(std::span<const quarantine::ContentKey> aContent)
{
  m_quarantine.OnLocalChange(aContent);
  if (!m_crashNoticeTimer) {
    m_crashNoticeTimer = m_loop.After(kCrashNoticeDelay, [this] {
      m_crashNoticeTimer.reset();
      m_peerExchange.PushCrashes();
    });
  }
}

} // namespace ferrytray::relay
