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
  std::size_t m_zonePeersPerRound = 1;      ///< peers in this zone that a round sends to
  std::size_t m_membersPerMessage = 2;      ///< complete entries besides the sender's
  std::size_t m_heartbeatsPerMessage = 10;  ///< with m_membersPerMessage, bounds a datagram
  std::uint64_t m_addressUpdateRounds = 20; ///< rounds for which changed addresses are sent
  std::uint32_t m_remoteZoneInterval = 4;   ///< rounds between sends to another zone
};

/// @brief A datagram to be sent.
struct GossipSend
{
  std::string m_to; ///< IP:PORT
  GossipMessage m_message;
};

/// @brief Membership table maintained by heartbeat gossip between keepers.
///
/// Each round sends to peers in this host's zone, every few rounds also to one in another zone.
/// Traffic is bounded by the entries per datagram and the datagrams per round, independently of the
/// number of hosts.
class MemberTable
{
public:
  /// @param aSelf this host; its incarnation must be higher than all its earlier ones
  MemberTable(Member aSelf, MembershipOptions aOptions, std::uint64_t aSeed);

  /// @brief Adds the platform's host list: allowed sender addresses and initial peers.
  void OnHostList(const std::vector<Member>& aHosts, base::TimePoint aNow);
  /// @brief Merges a datagram. @return false if it was dropped (sender not on the host list)
  bool OnMessage(const GossipMessage& aMessage, const std::string& aFromIp, base::TimePoint aNow);
  /// @brief Runs one round: increments the heartbeat, updates states, returns datagrams to send.
  std::vector<GossipSend> OnRound(base::TimePoint aNow);

  /// @brief Announces this host's planned shutdown.
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

  /// @brief Returns the members that are not dead, this host included.
  [[nodiscard]] std::vector<Member> Live() const;
  [[nodiscard]] const Member* Find(const std::string& aHost) const;
  /// @brief Returns the member that holds a gate incarnation's tickets, if known.
  [[nodiscard]] const Member* FindTicketHolder(const std::string& aIncarnation) const;
  [[nodiscard]] std::uint64_t DroppedMessages() const { return m_droppedMessages; }

private:
  struct Row
  {
    Member m_member;
    base::TimePoint m_lastHeardAt;
    std::uint64_t m_lastHeartbeatRound = 0;  ///< for selecting heartbeats to send
    std::uint64_t m_addressChangedRound = 0; ///< for selecting address updates to send
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
