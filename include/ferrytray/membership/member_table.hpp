#pragma once

#include <cstddef>  // for size_t
#include <map>      // for map
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"         // for Duration, TimePoint
#include "ferrytray/membership/member.hpp" // for Member

namespace ferrytray::membership {

struct MembershipOptions
{
  base::Duration m_suspectAfter = std::chrono::seconds(3);
  base::Duration m_deadAfter = std::chrono::seconds(10);
  base::Duration m_forgetAfter = std::chrono::minutes(10);
  std::size_t m_zonePeersPerRound = 1;      ///< peers of one's zone told in each round
  std::size_t m_membersPerMessage = 2;      ///< whole rows besides one's own
  std::size_t m_heartbeatsPerMessage = 10;  ///< with the rows this bounds a datagram
  std::uint64_t m_addressUpdateRounds = 20; ///< how long a row's addresses are told on
  std::uint32_t m_remoteZoneInterval = 4;   ///< every so many rounds one peer of another zone
};

/// @brief A datagram to send.
struct GossipSend
{
  std::string m_to; ///< IP:PORT
  GossipMessage m_message;
};

/// @brief Who is there, by heartbeats passed on between keepers.
///
/// In the zone every round, to other zones now and then. The bytes a second are bounded by the
/// rows in a datagram and the datagrams in a round, whatever the number of hosts.
class MemberTable
{
public:
  /// @param aSelf this host; its incarnation must be higher than any before
  MemberTable(Member aSelf, MembershipOptions aOptions, std::uint64_t aSeed);

  /// @brief The platform's host list: the addresses that may speak, and first peers.
  void OnHostList(const std::vector<Member>& aHosts, base::TimePoint aNow);
  /// @brief A datagram came. @return false when it was dropped (sender not on the host list)
  bool OnMessage(const GossipMessage& aMessage, const std::string& aFromIp, base::TimePoint aNow);
  /// @brief One round: heartbeat, suspicion, and what to send.
  std::vector<GossipSend> OnRound(base::TimePoint aNow);

  /// @brief Tells the others of a planned stop.
  void Leave();
  void SetPosition(std::uint64_t aPosition) { Self().m_position = aPosition; }
  void SetTickets(std::vector<std::string> aIncarnations)
  {
    Self().m_tickets = std::move(aIncarnations);
  }
  void SetDrained(std::vector<std::string> aMarks) { Self().m_drained = std::move(aMarks); }
  void SetGate(const std::string& aAddress, const std::string& aControl)
  {
    Self().m_gate = aAddress;
    Self().m_gateControl = aControl;
  }

  /// @brief Members in use (alive, suspect or leaving), this host included.
  [[nodiscard]] std::vector<Member> Live() const;
  [[nodiscard]] const Member* Find(const std::string& aHost) const;
  /// @brief The member where a gate incarnation's tickets live, if known.
  [[nodiscard]] const Member* FindTicketHolder(const std::string& aIncarnation) const;
  [[nodiscard]] std::uint64_t DroppedMessages() const { return m_droppedMessages; }

private:
  struct Row
  {
    Member m_member;
    base::TimePoint m_lastHeardAt;
    std::uint64_t m_lastHeartbeatRound = 0;  ///< round of its last heartbeat, for choosing pulses
    std::uint64_t m_addressChangedRound = 0; ///< round in which its addresses last changed
  };

  Member& Self() { return m_rows.at(m_self).m_member; }
  void Merge(const Member& aTheirs, base::TimePoint aNow);
  void Merge(const MemberHeartbeat& aTheirs, base::TimePoint aNow);
  void AddAddressUpdates(GossipMessage& aMessage);
  void AddHeartbeats(GossipMessage& aMessage);
  void UpdateStates(base::TimePoint aNow);
  std::vector<std::string> PickPeers();
  GossipMessage ComposeMessage();

  std::string m_self;
  MembershipOptions m_options;
  std::mt19937_64 m_random;
  std::map<std::string, Row> m_rows;
  std::set<std::string> m_allowedIps;
  std::uint64_t m_round = 0;
  std::uint64_t m_droppedMessages = 0;
  std::string m_heartbeatCursor;
  std::string m_addressCursor;
};

} // namespace ferrytray::membership
