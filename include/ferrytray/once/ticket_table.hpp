#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint8_t
#include <optional>      // for optional
#include <span>          // for span
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <variant>       // for variant
#include <vector>        // for vector

#include "ferrytray/base/digest.hpp" // for Digest128
#include "ferrytray/base/error.hpp"  // for Failure, Result
#include "ferrytray/base/time.hpp"   // for TimePoint

namespace ferrytray::once {

/// @brief A complete answer, stored to replay it when the request is repeated.
struct StoredAnswer
{
  int m_status = 200;
  std::string m_contentType;
  std::string m_body;
};

enum class TicketState : std::uint8_t
{
  Issued,
  Running,
  Answered,
  Unknown, ///< it may have run, but no answer is available
};

/// @brief One ticket as exported to a peer on a planned shutdown.
struct TicketRow
{
  std::string m_ticket;
  std::string m_account;
  TicketState m_state = TicketState::Issued;
  base::Digest128 m_request;
  StoredAnswer m_answer;
  base::Duration m_remainingLifetime{}; ///< time until it expires
};

/// @brief The request must be run now; Finish, FinishWithoutAnswer or CancelRedemption must follow.
struct RedeemRun
{
};
/// @brief The ticket belongs to another incarnation; the request must be forwarded to it.
struct RedeemForward
{
  std::string m_incarnation;
};
/// @brief The request has already finished; its stored answer must be replayed.
struct RedeemReplay
{
  StoredAnswer m_answer;
};

using RedeemResult = std::variant<RedeemRun, RedeemForward, RedeemReplay, base::Failure>;

struct TicketOptions
{
  base::Duration m_lifetime = std::chrono::minutes(30);
  std::size_t m_maxPerAccount = 10000;
  std::size_t m_maxAnswerBytes = 256U << 10U; ///< longer answers are not stored
};

/// @brief The tickets of one gate incarnation. At most one request is run per ticket.
///
/// A ticket is redeemed only at the gate that issued or imported it. This needs neither a lease nor
/// the log, so an availability zone cut off from the others keeps working.
class TicketTable
{
public:
  /// @param aIncarnation this gate's incarnation; must not contain a dot
  TicketTable(std::string aIncarnation, TicketOptions aOptions = {})
    : m_incarnation(std::move(aIncarnation))
    , m_options(aOptions)
  {
  }

  /// @brief Issues a ticket.
  /// @param aSecret 128 random bits as hexadecimal
  /// @return the ticket, TableFull if the account has reached its limit, ShuttingDown once frozen
  base::Result<std::string> Issue(const std::string& aAccount,
                                  std::string_view aSecret,
                                  base::TimePoint aNow);
  /// @brief Redeems a ticket for a request.
  RedeemResult Redeem(std::string_view aTicket,
                      const std::string& aAccount,
                      const base::Digest128& aRequest,
                      base::TimePoint aNow);
  /// @brief Stores the answer of the ticket's request; an oversized answer is dropped.
  void Finish(std::string_view aTicket, StoredAnswer aAnswer);
  /// @brief Marks the ticket's request as possibly run and without an answer.
  void FinishWithoutAnswer(std::string_view aTicket);
  /// @brief Makes a ticket redeemable again after its request was definitely not run.
  void CancelRedemption(std::string_view aTicket);

  /// @brief Stops issuing tickets and starting requests; must be called before Export.
  void Freeze() { m_frozen = true; }
  /// @brief Returns every unexpired ticket, to be imported by one peer. Running ones are exported
  /// as Unknown.
  [[nodiscard]] std::vector<TicketRow> Export(base::TimePoint aNow) const;
  /// @brief Takes over another incarnation's tickets; repeated calls have no effect.
  void Import(const std::string& aIncarnation,
              std::span<const TicketRow> aRows,
              base::TimePoint aNow);
  /// @brief Returns the incarnations whose tickets this table holds, its own first.
  [[nodiscard]] std::vector<std::string> Incarnations() const;

  /// @brief Removes expired tickets except those whose request is running.
  void Expire(base::TimePoint aNow);
  [[nodiscard]] std::size_t Size() const { return m_tickets.size(); }

private:
  struct Entry
  {
    std::string m_account;
    TicketState m_state = TicketState::Issued;
    base::Digest128 m_request;
    StoredAnswer m_answer;
    base::TimePoint m_expiresAt;
  };

  [[nodiscard]] bool IsLocal(std::string_view aIncarnation) const;
  Entry* FindEntry(std::string_view aTicket);

  std::string m_incarnation;
  TicketOptions m_options;
  bool m_frozen = false;
  std::vector<std::string> m_importedIncarnations;
  std::unordered_map<std::string, Entry> m_tickets;
  std::unordered_map<std::string, std::size_t> m_perAccount;
};

} // namespace ferrytray::once
