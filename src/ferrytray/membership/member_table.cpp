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

bool StaysLeaving(const Member& aMember, std::uint64_t aIncarnation)
{
  return aMember.m_state == MemberState::Leaving && aMember.m_incarnation == aIncarnation;
}

/// A heartbeat proves life, whatever the teller thought.
MemberState Heard(bool aStaysLeaving, MemberState aTold)
{
  return aStaysLeaving || aTold == MemberState::Leaving ? MemberState::Leaving : MemberState::Alive;
}

bool MayUse(const Member& aMember)
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
    // The list lags, so it only seeds; heartbeats say who lives.
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
    ++m_dropped;
    return false;
  }
  for (const Member& theirs : aMessage.m_members) {
    Merge(theirs, aNow);
  }
  for (const MemberPulse& theirs : aMessage.m_pulses) {
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
    row.m_news = m_round;
  }
  const bool leaving = StaysLeaving(row.m_member, aTheirs.m_incarnation);
  row.m_member = aTheirs;
  row.m_member.m_state = Heard(leaving, aTheirs.m_state);
  row.m_heard = aNow;
  row.m_changed = m_round;
}

void MemberTable::Merge(const MemberPulse& aTheirs, base::TimePoint aNow)
{
  const auto found = m_rows.find(aTheirs.m_host);
  const bool known =
    found != m_rows.end() && found->second.m_member.m_incarnation == aTheirs.m_incarnation;
  // A pulse of a process not met yet says nothing without its addresses.
  if (aTheirs.m_host == m_self || !known ||
      aTheirs.m_heartbeat <= found->second.m_member.m_heartbeat) {
    return;
  }
  Row& row = found->second;
  const bool leaving = StaysLeaving(row.m_member, aTheirs.m_incarnation);
  row.m_member.m_heartbeat = aTheirs.m_heartbeat;
  row.m_member.m_position = aTheirs.m_position;
  row.m_member.m_state = Heard(leaving, aTheirs.m_state);
  row.m_heard = aNow;
  row.m_changed = m_round;
}

std::vector<GossipSend> MemberTable::OnRound(base::TimePoint aNow)
{
  ++m_round;
  ++Self().m_heartbeat;
  m_rows.at(m_self).m_heard = aNow;
  m_rows.at(m_self).m_changed = m_round;
  Judge(aNow);
  std::vector<GossipSend> sends;
  const GossipMessage message = Compose();
  for (const std::string& peer : PickPeers()) {
    sends.push_back({ peer, message });
  }
  return sends;
}

void MemberTable::Judge(base::TimePoint aNow)
{
  for (auto it = m_rows.begin(); it != m_rows.end();) {
    Row& row = it->second;
    const base::Duration silent = aNow - row.m_heard;
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
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [host, row] : m_rows) {
    if (host == m_self) {
      continue;
    }
    const bool sameZone = row.m_member.m_zone == Self().m_zone;
    (sameZone ? near : far).push_back(row.m_member.m_gossip);
  }
  std::shuffle(near.begin(), near.end(), m_random);
  std::shuffle(far.begin(), far.end(), m_random);
  near.resize(std::min(near.size(), m_options.m_zonePeers));
  // A host alone in its zone has nobody else to tell it of the others.
  const bool remoteTurn = near.empty() || m_round % m_options.m_remoteEveryRounds == 0;
  if (remoteTurn && !far.empty()) {
    near.push_back(far.front());
  }
  return near;
}

GossipMessage MemberTable::Compose()
{
  GossipMessage message;
  message.m_from = m_self;
  message.m_members.push_back(Self());
  AddNews(message);
  AddPulses(message);
  return message;
}

void MemberTable::AddNews(GossipMessage& aMessage)
{
  // Addresses that changed lately, in turn.
  for (std::size_t step = 0; step < m_rows.size(); ++step) {
    if (aMessage.m_members.size() > m_options.m_rowsPerMessage) {
      return;
    }
    auto next = m_rows.upper_bound(m_newsCursor);
    next = next == m_rows.end() ? m_rows.begin() : next;
    m_newsCursor = next->first;
    const Row& row = next->second;
    const bool isNews = row.m_news + m_options.m_newsRounds >= m_round;
    if (next->first != m_self && isNews && MayUse(row.m_member)) {
      aMessage.m_members.push_back(row.m_member);
    }
  }
}

void MemberTable::AddPulses(GossipMessage& aMessage)
{
  std::vector<const Row*> rows;
  for (const auto& [host, row] : m_rows) {
    if (host != m_self && MayUse(row.m_member)) {
      rows.push_back(&row);
    }
  }
  // The freshest first; a cursor through the rest so that each host is told of in turn.
  std::sort(rows.begin(), rows.end(), [](const Row* aLeft, const Row* aRight) {
    return aLeft->m_changed > aRight->m_changed;
  });
  const auto add = [&](const Member& aMember) {
    aMessage.m_pulses.push_back({ aMember.m_host,
                                  aMember.m_incarnation,
                                  aMember.m_heartbeat,
                                  aMember.m_position,
                                  aMember.m_state });
  };
  const std::size_t room = std::min(rows.size(), m_options.m_pulsesPerMessage);
  const std::size_t fresh = (room + 1) / 2;
  for (std::size_t i = 0; i < fresh; ++i) {
    add(rows[i]->m_member);
  }
  for (std::size_t i = fresh; i < room; ++i) {
    auto next = m_rows.upper_bound(m_cursor);
    next = next == m_rows.end() ? m_rows.begin() : next;
    m_cursor = next->first;
    if (MayUse(next->second.m_member) && next->first != m_self) {
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
    if (MayUse(row.m_member)) {
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

const Member* MemberTable::TicketHome(const std::string& aIncarnation) const
{
  const Member* home = nullptr;
  for (const auto& [host, row] : m_rows) {
    const auto& tickets = row.m_member.m_tickets;
    const bool has = std::find(tickets.begin(), tickets.end(), aIncarnation) != tickets.end();
    // The last of the list of adopters is where a handed-over table went.
    if (has && MayUse(row.m_member) &&
        (home == nullptr || row.m_member.m_state == MemberState::Alive)) {
      home = &row.m_member;
    }
  }
  return home;
}

} // namespace ferrytray::membership
