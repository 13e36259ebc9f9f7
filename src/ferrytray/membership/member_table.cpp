#include "ferrytray/membership/member_table.hpp"

#include <algorithm> // for find, max, shuffle, sort
#include <utility>   // for move

namespace ferrytray::membership {

namespace {

std::string IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

bool IsNewer(const Member& aTheirs, const Member& aMine)
{
  if (aTheirs.m_incarnation != aMine.m_incarnation) {
    return aTheirs.m_incarnation > aMine.m_incarnation;
  }
  return aTheirs.m_heartbeat > aMine.m_heartbeat;
}

bool DiffersInAddresses(const Member& aLeft, const Member& aRight)
{
  return aLeft.m_incarnation != aRight.m_incarnation || aLeft.m_gossip != aRight.m_gossip ||
         aLeft.m_control != aRight.m_control || aLeft.m_gate != aRight.m_gate ||
         aLeft.m_gateControl != aRight.m_gateControl || aLeft.m_tickets != aRight.m_tickets ||
         aLeft.m_drained != aRight.m_drained;
}

bool IsLeavingIncarnation(const Member& aMember, std::uint64_t aIncarnation)
{
  return aMember.m_state == MemberState::Leaving && aMember.m_incarnation == aIncarnation;
}

/// A newer heartbeat proves that the member is alive, even if the sender reports it as suspect or
/// dead.
MemberState StateAfterHeartbeat(bool aIsLeaving, MemberState aReported)
{
  return aIsLeaving || aReported == MemberState::Leaving ? MemberState::Leaving
                                                         : MemberState::Alive;
}

bool IsUsable(const Member& aMember)
{
  return aMember.m_state != MemberState::Dead;
}

} // namespace

MemberTable::MemberTable(Member aSelf, MembershipOptions aOptions, std::uint64_t aSeed)
  : m_self(aSelf.m_host)
  , m_options(aOptions)
  , m_random(aSeed)
{
  m_allowedIps.insert(IpOf(aSelf.m_gossip));
  m_rows[m_self].m_member = std::move(aSelf);
}

void MemberTable::OnHostList(const std::vector<Member>& aHosts, base::TimePoint aNow)
{
  for (const Member& host : aHosts) {
    m_allowedIps.insert(IpOf(host.m_gossip));
    // The host list lags, so it only adds initial peers; heartbeats determine liveness.
    const auto [entry, added] = m_rows.try_emplace(host.m_host, Row{ host, aNow, m_round, 0 });
    if (added) {
      entry->second.m_member.m_state = MemberState::Suspect;
    }
  }
}

bool MemberTable::OnMessage(const GossipMessage& aMessage,
                            const std::string& aFromIp,
                            base::TimePoint aNow)
{
  if (!m_allowedIps.contains(aFromIp)) {
    ++m_droppedMessages;
    return false;
  }
  for (const Member& theirs : aMessage.m_members) {
    Merge(theirs, aNow);
  }
  for (const MemberHeartbeat& theirs : aMessage.m_heartbeats) {
    Merge(theirs, aNow);
  }
  return true;
}

void MemberTable::Merge(const Member& aTheirs, base::TimePoint aNow)
{
  if (aTheirs.m_host == m_self) {
    return;
  }
  const auto [entry, added] =
    m_rows.try_emplace(aTheirs.m_host, Row{ aTheirs, aNow, m_round, m_round });
  Row& row = entry->second;
  if (added || !IsNewer(aTheirs, row.m_member)) {
    return;
  }
  if (DiffersInAddresses(aTheirs, row.m_member)) {
    row.m_addressChangedRound = m_round;
  }
  const bool leaving = IsLeavingIncarnation(row.m_member, aTheirs.m_incarnation);
  row.m_member = aTheirs;
  row.m_member.m_state = StateAfterHeartbeat(leaving, aTheirs.m_state);
  row.m_lastHeardAt = aNow;
  row.m_lastHeartbeatRound = m_round;
}

void MemberTable::Merge(const MemberHeartbeat& aTheirs, base::TimePoint aNow)
{
  const auto found = m_rows.find(aTheirs.m_host);
  const bool known =
    found != m_rows.end() && found->second.m_member.m_incarnation == aTheirs.m_incarnation;
  // A heartbeat of an unknown incarnation is ignored because its addresses are not known.
  if (aTheirs.m_host == m_self || !known ||
      aTheirs.m_heartbeat <= found->second.m_member.m_heartbeat) {
    return;
  }
  Row& row = found->second;
  const bool leaving = IsLeavingIncarnation(row.m_member, aTheirs.m_incarnation);
  row.m_member.m_heartbeat = aTheirs.m_heartbeat;
  row.m_member.m_position = aTheirs.m_position;
  row.m_member.m_state = StateAfterHeartbeat(leaving, aTheirs.m_state);
  row.m_lastHeardAt = aNow;
  row.m_lastHeartbeatRound = m_round;
}

std::vector<GossipSend> MemberTable::OnRound(base::TimePoint aNow)
{
  ++m_round;
  ++Self().m_heartbeat;
  m_rows.at(m_self).m_lastHeardAt = aNow;
  m_rows.at(m_self).m_lastHeartbeatRound = m_round;
  UpdateStates(aNow);
  std::vector<GossipSend> sends;
  const GossipMessage message = ComposeMessage();
  for (const std::string& peer : PickPeers()) {
    sends.push_back({ peer, message });
  }
  return sends;
}

void MemberTable::UpdateStates(base::TimePoint aNow)
{
  for (auto it = m_rows.begin(); it != m_rows.end();) {
    Row& row = it->second;
    const base::Duration silent = aNow - row.m_lastHeardAt;
    if (it->first != m_self && silent > m_options.m_forgetAfter) {
      it = m_rows.erase(it);
      continue;
    }
    if (it->first != m_self && silent > m_options.m_deadAfter) {
      row.m_member.m_state = MemberState::Dead;
    } else if (silent > m_options.m_suspectAfter && row.m_member.m_state == MemberState::Alive) {
      row.m_member.m_state = MemberState::Suspect;
    }
    ++it;
  }
}

std::vector<std::string> MemberTable::PickPeers()
{
  std::vector<std::string> peers;
  std::vector<std::string> remotePeers;
  for (const auto& [host, row] : m_rows) {
    if (host == m_self) {
      continue;
    }
    const bool sameZone = row.m_member.m_zone == Self().m_zone;
    (sameZone ? peers : remotePeers).push_back(row.m_member.m_gossip);
  }
  std::shuffle(peers.begin(), peers.end(), m_random);
  std::shuffle(remotePeers.begin(), remotePeers.end(), m_random);
  peers.resize(std::min(peers.size(), m_options.m_zonePeersPerRound));
  // A host that is alone in its zone learns of the others only from remote zones.
  const bool includeRemote = peers.empty() || m_round % m_options.m_remoteZoneInterval == 0;
  if (includeRemote && !remotePeers.empty()) {
    peers.push_back(remotePeers.front());
  }
  return peers;
}

GossipMessage MemberTable::ComposeMessage()
{
  GossipMessage message;
  message.m_from = m_self;
  message.m_members.push_back(Self());
  AddAddressUpdates(message);
  AddHeartbeats(message);
  return message;
}

void MemberTable::AddAddressUpdates(GossipMessage& aMessage)
{
  // Sends recently changed addresses in round-robin order.
  for (std::size_t step = 0; step < m_rows.size(); ++step) {
    if (aMessage.m_members.size() > m_options.m_membersPerMessage) {
      return;
    }
    auto next = m_rows.upper_bound(m_addressCursor);
    next = next == m_rows.end() ? m_rows.begin() : next;
    m_addressCursor = next->first;
    const Row& row = next->second;
    const bool changedRecently =
      row.m_addressChangedRound + m_options.m_addressUpdateRounds >= m_round;
    if (next->first != m_self && changedRecently && IsUsable(row.m_member)) {
      aMessage.m_members.push_back(row.m_member);
    }
  }
}

void MemberTable::AddHeartbeats(GossipMessage& aMessage)
{
  std::vector<const Row*> rows;
  for (const auto& [host, row] : m_rows) {
    if (host != m_self && IsUsable(row.m_member)) {
      rows.push_back(&row);
    }
  }
  // Half of the entries are the most recent heartbeats. The others follow a cursor over all
  // members, so that each is sent in turn.
  std::sort(rows.begin(), rows.end(), [](const Row* aLeft, const Row* aRight) {
    return aLeft->m_lastHeartbeatRound > aRight->m_lastHeartbeatRound;
  });
  const auto add = [&](const Member& aMember) {
    aMessage.m_heartbeats.push_back({ aMember.m_host,
                                      aMember.m_incarnation,
                                      aMember.m_heartbeat,
                                      aMember.m_position,
                                      aMember.m_state });
  };
  const std::size_t count = std::min(rows.size(), m_options.m_heartbeatsPerMessage);
  const std::size_t newest = (count + 1) / 2;
  for (std::size_t i = 0; i < newest; ++i) {
    add(rows[i]->m_member);
  }
  for (std::size_t i = newest; i < count; ++i) {
    auto next = m_rows.upper_bound(m_heartbeatCursor);
    next = next == m_rows.end() ? m_rows.begin() : next;
    m_heartbeatCursor = next->first;
    if (IsUsable(next->second.m_member) && next->first != m_self) {
      add(next->second.m_member);
    }
  }
}

void MemberTable::Leave()
{
  Self().m_state = MemberState::Leaving;
  ++Self().m_heartbeat;
}

std::vector<Member> MemberTable::Live() const
{
  std::vector<Member> live;
  for (const auto& [host, row] : m_rows) {
    if (IsUsable(row.m_member)) {
      live.push_back(row.m_member);
    }
  }
  return live;
}

const Member* MemberTable::Find(const std::string& aHost) const
{
  const auto found = m_rows.find(aHost);
  return found == m_rows.end() ? nullptr : &found->second.m_member;
}

const Member* MemberTable::FindTicketHolder(const std::string& aIncarnation) const
{
  const Member* holder = nullptr;
  for (const auto& [host, row] : m_rows) {
    const auto& tickets = row.m_member.m_tickets;
    const bool has = std::find(tickets.begin(), tickets.end(), aIncarnation) != tickets.end();
    // Several members may list the incarnation after a hand-over. The last one that is alive, in
    // host order, is assumed to have got the tickets; the first one listed if none is alive.
    if (has && IsUsable(row.m_member) &&
        (holder == nullptr || row.m_member.m_state == MemberState::Alive)) {
      holder = &row.m_member;
    }
  }
  return holder;
}

} // namespace ferrytray::membership
