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

/// @brief First frame of a gate or a peer keeper, with the configuration position it already has.
struct Hello
{
  std::string m_host;
  bool m_isGate = false;
  std::uint64_t m_position = 0;
};

/// @brief Configuration scopes accepted after the receiver's position.
struct StateUpdate
{
  std::uint64_t m_position = 0;
  std::vector<replay::ScopeState> m_scopes;
};

/// @brief An endpoint with its latest load report known to the keeper.
struct EndpointStatus
{
  ListedHost m_host;
  LoadReport m_load;
  std::uint32_t m_reportAgeMillis = 0;
};

/// @brief All listed endpoints; leaving ones are flagged.
struct EndpointUpdate
{
  std::vector<EndpointStatus> m_endpoints;
};

/// @brief The system's live hosts.
struct PeerUpdate
{
  std::vector<membership::Member> m_members;
};

/// @brief Fraction of each account's limits that this host's gate may grant.
struct ShareUpdate
{
  std::vector<std::pair<std::string, double>> m_shares;
  double m_default = 1; ///< for accounts not listed
};

/// @brief Ended epochs of one hand-over rule, according to this half's log.
struct HalfEpochs
{
  std::string m_rule;
  std::uint64_t m_given = 0;    ///< the highest epoch that this half ended
  std::uint64_t m_received = 0; ///< the highest epoch that the other half ended
};

/// @brief Ended epochs of every hand-over rule in this half's log.
struct HalfUpdate
{
  std::vector<HalfEpochs> m_rules;
};

/// @brief Request of a gate for the maximum age of its keeper's configuration. It is a separate
/// frame so that an older keeper ignores it and still reads the gate's reports.
struct ConfigurationAgeRequest
{
  std::uint64_t m_requestId = 0; ///< incremented by each gate for every request
};

/// @brief Reply to ConfigurationAgeRequest. The gate measures from the time of its request, so that
/// a reply that waited in a buffer while the gate was stalled doesn't appear fresher than it is.
struct ConfigurationAge
{
  std::uint64_t m_requestId = 0; ///< that of the request
  /// Time since the keeper started its last successful read of the log, rounded up.
  std::uint64_t m_ageMillis = 0;
};

/// @brief State that a gate reports to its keeper in every round.
struct GateReport
{
  std::string m_address;        ///< where it serves clients
  std::string m_control;        ///< where it receives ticket tables (TCP frames)
  std::uint64_t m_position = 0; ///< configuration position in force
  std::uint64_t m_openWork = 0;
  std::vector<std::string> m_tickets;                   ///< incarnations whose tickets it holds
  std::vector<std::pair<std::string, double>> m_demand; ///< requests per second by account
  std::vector<std::pair<std::string, std::string>> m_leaving; ///< endpoint, incarnation
  std::vector<std::string> m_drained;                         ///< "rule@epoch" without open work
};

/// @brief Tickets that a stopping gate hands over to one peer.
struct TicketHandover
{
  std::vector<std::string> m_incarnations;
  std::vector<once::TicketRow> m_rows;
};

/// @brief Acknowledges a TicketHandover.
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

/// @brief Encodes a frame with cereal's binary archive.
std::string EncodeFrame(const Frame& aFrame);
/// @brief Decodes the output of EncodeFrame. @return PlatformMalformed for any other input
base::Result<Frame> DecodeFrame(std::string_view aBytes);

std::string EncodeGossip(const membership::GossipMessage& aMessage);
base::Result<membership::GossipMessage> DecodeGossip(std::string_view aBytes);

} // namespace ferrytray::wire
