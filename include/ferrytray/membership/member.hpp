#pragma once

#include <cstdint> // for uint64_t, uint32_t, uint8_t
#include <string>  // for string
#include <utility> // for pair
#include <vector>  // for vector

namespace ferrytray::membership {

/// @brief Liveness of a member as seen by the local host.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect, ///< no heartbeat for m_suspectAfter; still used
  Dead,    ///< no heartbeat for m_deadAfter; not used
  Leaving, ///< shutting down as planned; permanent for this incarnation
};

/// @brief Description of one host, published by the host itself.
struct Member
{
  std::string m_host;
  std::string m_zone;
  std::string m_gossip;      ///< IP:PORT for datagrams (UDP)
  std::string m_control;     ///< IP:PORT for frames (TCP)
  std::string m_gate;        ///< IP:PORT where its gate serves callers; empty without a gate
  std::string m_gateControl; ///< IP:PORT where its gate receives ticket tables (TCP)
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_heartbeat = 0; ///< increases while the host is alive
  std::uint64_t m_position = 0;  ///< offset of the configuration in force
  MemberState m_state = MemberState::Alive;
  std::vector<std::string> m_tickets; ///< gate incarnations whose tickets it holds
  std::vector<std::string> m_drained; ///< "rule@epoch" that its gate has drained
};

/// @brief The frequently changing fields of a member; the others are sent less often.
struct MemberHeartbeat
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_heartbeat = 0;
  std::uint64_t m_position = 0;
  MemberState m_state = MemberState::Alive;
};

/// @brief A worker's load as last reported to the keeper in its availability zone.
struct LoadDigest
{
  std::string m_worker;
  std::uint32_t m_queuedMillis = 0; ///< queued engine time (milliseconds)
  std::uint32_t m_ageMillis = 0;    ///< since the engine's report
  std::string m_version;            ///< loaded weight version; empty during a swap
  float m_tokensPerSecond = 0;      ///< prefill speed
};

/// @brief Request rate of one account at one gate in the last window.
struct DemandDigest
{
  std::string m_account;
  float m_perSecond = 0;
};

/// @brief Content of one datagram between keepers.
struct GossipMessage
{
  std::string m_from;
  std::vector<Member> m_members; ///< the sender, then members with recent address changes
  std::vector<MemberHeartbeat> m_heartbeats;
  std::vector<LoadDigest> m_loads;
  std::vector<DemandDigest> m_demands;
  std::vector<std::pair<std::string, std::string>> m_leaving; ///< endpoint, incarnation
};

} // namespace ferrytray::membership
