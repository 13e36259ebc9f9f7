// The topic of hosts: reading it and registering in it.
#include "ferrytray/peers/peer_exchange.hpp"

#include <utility> // for exchange

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

namespace ferrytray::peers {

namespace {

base::Result<Peer> DecodePeerRecord(const store::Record& aRecord)
{
  base::Result<Peer> peer = DecodePeer(aRecord.m_value);
  if (peer && peer->m_name != aRecord.m_key) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      "the name of the peer differs from the record's key");
  }
  return peer;
}

} // namespace

void PeerExchange::ReadHosts()
{
  m_log.ReadSnapshot(m_options.m_topic, [this](const base::Result<store::Snapshot>& aResult) {
    if (!m_stopped) {
      OnHosts(aResult);
    }
  });
}

void PeerExchange::OnHosts(const base::Result<store::Snapshot>& aResult)
{
  if (!aResult) {
    telemetry::LogLine("hosts").Add("outcome", "failed").Add("why", aResult.error().m_message);
    OnHostsUnavailable();
    ScheduleReadHosts(m_options.m_hostsReadRetry);
    return;
  }
  bool listed = m_roster->IsRegistered();
  for (const store::Record& record : aResult->m_records) {
    if (const auto peer = DecodePeerRecord(record)) {
      m_roster->AddOrUpdate(*peer);
      listed = listed || *peer == m_roster->Self();
    } else {
      m_unreadable.Note(record, peer.error());
    }
  }
  telemetry::LogLine("hosts")
    .Add("known", m_roster->HostCount())
    .Add("listed", listed ? "yes" : "no");
  m_roster->SetRegistered(listed);
  if (!listed && m_roster->ShouldRegister()) {
    Register();
    return;
  }
  ScheduleReadHosts(m_hostsKnown ? m_options.m_hostsReadInterval : m_options.m_hostsReadRetry);
  OnHostsKnown();
}

void PeerExchange::OnHostsKnown()
{
  if (!std::exchange(m_hostsKnown, true)) {
    const base::TimePoint now = base::MonotonicNow();
    m_startTopicsAt = now + m_options.m_topicRelayTimeout;
    m_startTopicsLatest = now + m_options.m_maxTopicRelayTimeout;
    Tick();
  }
}

void PeerExchange::OnHostsUnavailable()
{
  // Hosts from an earlier read can be polled although the log is unreachable now.
  if (m_roster->HostCount() > 1) {
    OnHostsKnown();
  } else {
    StartTopics();
  }
}

void PeerExchange::Register()
{
  m_log.AppendKeyed(m_options.m_topic,
                    m_options.m_name,
                    Encode(m_roster->Self()),
                    [this](const base::Result<store::AppendResult>& aResult) {
                      if (m_stopped) {
                        return;
                      }
                      m_roster->SetRegistered(aResult.has_value());
                      if (!aResult) {
                        telemetry::LogLine("enrolled")
                          .Add("outcome", "failed")
                          .Add("why", aResult.error().m_message);
                        OnHostsUnavailable();
                      }
                      ScheduleReadHosts(aResult ? m_options.m_firstHostsReadDelay
                                                : m_options.m_registrationRetry);
                    });
}

void PeerExchange::ScheduleReadHosts(base::Duration aDelay)
{
  m_hostsTimer = m_loop.After(aDelay, [this] {
    // Other hosts get the list of readers and relays from the host that they poll.
    if (m_isReader || !m_hostsKnown) {
      ReadHosts();
    } else {
      ScheduleReadHosts(m_options.m_hostsReadRetry);
    }
  });
}

} // namespace ferrytray::peers
