#pragma once

#include <cstdint> // for uint64_t, uint32_t, uint8_t
#include <string>  // for string
#include <utility> // for pair
#include <vector>  // for vector

namespace ferrytray::membership {

/// @brief What is thought of a member.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect, ///< silent for a while; still used
  Dead,    ///< silent for long; not used
  Leaving, ///< a planned stop; for good, for this incarnation
};

/// @brief One host of the system, as it tells of itself.
struct Member
{
  std::string m_host;
  std::string m_zone;
  std::string m_gossip;      ///< IP:PORT for datagrams (UDP)
  std::string m_control;     ///< IP:PORT for frames (TCP)
  std::string m_gate;        ///< IP:PORT where its gate serves callers; empty if it has none
  std::string m_gateControl; ///< IP:PORT where its gate takes ticket tables (TCP)
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_heartbeat = 0; ///< counts up while it lives
  std::uint64_t m_position = 0;  ///< configuration offset in force there
  MemberState m_state = MemberState::Alive;
  std::vector<std::string> m_tickets; ///< gate incarnations whose tickets live there
  std::vector<std::string> m_drained; ///< "rule@epoch" that its gate has drained
};

/// @brief What changes all the time of a member; the rest is told seldom.
struct MemberHeartbeat
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_heartbeat = 0;
  std::uint64_t m_position = 0;
  MemberState m_state = MemberState::Alive;
};

/// @brief A worker's load as its zone's keeper last saw it.
struct LoadDigest
{
  std::string m_worker;
  std::uint32_t m_queuedMillis = 0; ///< engine milliseconds queued
  std::uint32_t m_ageMillis = 0;    ///< since the engine reported it
  std::string m_version;            ///< weight version it runs; empty while it swaps
  float m_tokensPerSecond = 0;      ///< prefill speed
};

/// @brief What one account asked of one gate in the last window.
struct DemandDigest
{
  std::string m_account;
  float m_perSecond = 0;
};

/// @brief One datagram between keepers.
struct GossipMessage
{
  std::string m_from;
  std::vector<Member> m_members; ///< the sender first, then some whose addresses are news
  std::vector<MemberHeartbeat> m_heartbeats;
  std::vector<LoadDigest> m_loads;
  std::vector<DemandDigest> m_demands;
  std::vector<std::pair<std::string, std::string>> m_leaving; ///< endpoint, incarnation
};

} // namespace ferrytray::membership
