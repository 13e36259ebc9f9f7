#pragma once

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for pair
#include <variant>     // for variant
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"           // for Result
#include "ferrytray/membership/member.hpp"    // for GossipMessage
#include "ferrytray/once/ticket_table.hpp"    // for TicketRow
#include "ferrytray/replay/config_replay.hpp" // for ScopeState
#include "ferrytray/wire/endpoint.hpp"        // for ListedHost, LoadReport

namespace ferrytray::wire {

/// @brief First frame of a gate or of a peer keeper: what it has already.
struct Hello
{
  std::string m_host;
  bool m_isGate = false;
  std::uint64_t m_position = 0;
};

/// @brief Configuration that came into force above the receiver's position.
struct StateUpdate
{
  std::uint64_t m_position = 0;
  std::vector<replay::ScopeState> m_scopes;
};

/// @brief An endpoint with what the keeper knows of it.
struct EndpointStatus
{
  ListedHost m_host;
  LoadReport m_load;
  std::uint32_t m_reportAgeMillis = 0;
};

/// @brief Every endpoint that may serve, with leaving ones marked.
struct EndpointUpdate
{
  std::vector<EndpointStatus> m_endpoints;
};

/// @brief The system's live hosts.
struct PeerUpdate
{
  std::vector<membership::Member> m_members;
};

/// @brief The fraction of each account's limits that this host's gate may give out.
struct ShareUpdate
{
  std::vector<std::pair<std::string, double>> m_shares;
  double m_default = 1; ///< for accounts not named
};

/// @brief What this half's log says of one hand-over rule.
struct HalfEpochs
{
  std::string m_rule;
  std::uint64_t m_given = 0;    ///< the highest epoch that this half ended
  std::uint64_t m_received = 0; ///< the highest epoch that the other half ended
};

/// @brief Every hand-over in this half's log.
struct HalfUpdate
{
  std::vector<HalfEpochs> m_rules;
};

/// @brief A gate asks its keeper how old the configuration may be. A frame of its own, so that a
/// keeper of an older version passes over it and still reads the gate's reports.
struct ConfigurationAgeRequest
{
  std::uint64_t m_requestId = 0; ///< counts up at each gate
};

/// @brief The answer. The gate counts from when it asked, so that frames that lay in a buffer while
/// it stood still seem no fresher.
struct ConfigurationAge
{
  std::uint64_t m_requestId = 0; ///< its number
  /// Since the keeper's last answered read of the log was begun.
  std::uint64_t m_ageMillis = 0;
};

/// @brief A gate's own news, every round.
struct GateReport
{
  std::string m_address;        ///< where it serves callers
  std::string m_control;        ///< where it takes ticket tables (TCP frames)
  std::uint64_t m_position = 0; ///< configuration in force there
  std::uint64_t m_openWork = 0;
  std::vector<std::string> m_tickets;                   ///< incarnations whose tickets live there
  std::vector<std::pair<std::string, double>> m_demand; ///< requests a second by account
  std::vector<std::pair<std::string, std::string>> m_leaving; ///< endpoint, incarnation
  std::vector<std::string> m_drained;                         ///< "rule@epoch" with nothing open
};

/// @brief A stopping gate's tickets, for one named peer.
struct TicketHandover
{
  std::vector<std::string> m_incarnations;
  std::vector<once::TicketRow> m_rows;
};

/// @brief The peer has them.
struct TicketAck
{
  std::string m_incarnation;
};

using Frame = std::variant<Hello,
                           StateUpdate,
                           EndpointUpdate,
                           PeerUpdate,
                           ShareUpdate,
                           GateReport,
                           TicketHandover,
                           TicketAck,
                           HalfUpdate,
                           ConfigurationAgeRequest,
                           ConfigurationAge>;

/// @brief A frame's bytes (cereal's binary archive).
std::string EncodeFrame(const Frame& aFrame);
/// @brief Reads what EncodeFrame wrote. @return PlatformMalformed for anything else
base::Result<Frame> DecodeFrame(std::string_view aBytes);

std::string EncodeGossip(const membership::GossipMessage& aMessage);
base::Result<membership::GossipMessage> DecodeGossip(std::string_view aBytes);

} // namespace ferrytray::wire
