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

/// @brief A finished answer, kept for repeats.
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
  Unknown, ///< it may have run and its answer is gone
};

/// @brief One ticket, as it is handed to a peer on a planned stop.
struct TicketRow
{
  std::string m_ticket;
  std::string m_account;
  TicketState m_state = TicketState::Issued;
  base::Digest128 m_request;
  StoredAnswer m_answer;
  base::Duration m_remainingLifetime{}; ///< until it expires
};

/// @brief Run the request now; Finish or CancelRedemption must follow.
struct RedeemRun
{
};
/// @brief The ticket lives at another incarnation.
struct RedeemForward
{
  std::string m_incarnation;
};
/// @brief The request has finished; this is its answer.
struct RedeemReplay
{
  StoredAnswer m_answer;
};

using RedeemResult = std::variant<RedeemRun, RedeemForward, RedeemReplay, base::Failure>;

struct TicketOptions
{
  base::Duration m_lifetime = std::chrono::minutes(30);
  std::size_t m_maxPerAccount = 10000;
  std::size_t m_maxAnswerBytes = 256U << 10U; ///< a longer answer is not kept
};

/// @brief The tickets of one gate incarnation. At most one request runs for each.
///
/// A ticket is redeemed only where it was issued (or handed to), so that no lease and no log is
/// needed and a zone that is cut off goes on.
class TicketTable
{
public:
  /// @param aIncarnation this gate's incarnation; no dot in it
  TicketTable(std::string aIncarnation, TicketOptions aOptions = {})
    : m_incarnation(std::move(aIncarnation))
    , m_options(aOptions)
  {
  }

  /// @brief Issues a ticket.
  /// @param aSecret 128 random bits as hexadecimal
  /// @return TableFull past the account's cap, ShuttingDown once frozen
  base::Result<std::string> Issue(const std::string& aAccount,
                                  std::string_view aSecret,
                                  base::TimePoint aNow);
  /// @brief Redeems a ticket for a request.
  RedeemResult Redeem(std::string_view aTicket,
                      const std::string& aAccount,
                      const base::Digest128& aRequest,
                      base::TimePoint aNow);
  /// @brief The request ended with an answer to keep.
  void Finish(std::string_view aTicket, StoredAnswer aAnswer);
  /// @brief The request may have run and has no answer.
  void FinishWithoutAnswer(std::string_view aTicket);
  /// @brief The request certainly ran nothing; the ticket can be redeemed again.
  void CancelRedemption(std::string_view aTicket);

  /// @brief Stops redeeming and issuing; must come before Export.
  void Freeze() { m_frozen = true; }
  /// @brief Every live ticket, for one named peer. A running one goes as Unknown.
  [[nodiscard]] std::vector<TicketRow> Export(base::TimePoint aNow) const;
  /// @brief Takes over another incarnation's tickets; a repeat changes nothing.
  void Import(const std::string& aIncarnation,
              std::span<const TicketRow> aRows,
              base::TimePoint aNow);
  /// @brief Incarnations whose tickets live here, this one first.
  [[nodiscard]] std::vector<std::string> Incarnations() const;

  /// @brief Drops expired tickets.
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
