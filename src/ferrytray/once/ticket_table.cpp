#include "ferrytray/once/ticket_table.hpp"

#include <algorithm> // for find

namespace ferrytray::once {

namespace {

std::string_view IncarnationOf(std::string_view aTicket)
{
  const std::size_t dot = aTicket.find('.');
  return dot == std::string_view::npos ? std::string_view() : aTicket.substr(0, dot);
}

base::Failure Refusal(base::ErrorCode aCode, base::RunState aRun, std::string aMessage)
{
  return { aCode, std::move(aMessage), aRun, {} };
}

} // namespace

base::Result<std::string> TicketTable::Issue(const std::string& aAccount,
                                             std::string_view aSecret,
                                             base::TimePoint aNow)
{
  if (m_frozen) {
    return base::Fail(base::ErrorCode::ShuttingDown, "this gate is shutting down");
  }
  std::size_t& count = m_perAccount[aAccount];
  if (count >= m_options.m_maxPerAccount) {
    return base::Fail(base::ErrorCode::TableFull,
                      "the client account has reached its ticket limit");
  }
  ++count;
  std::string ticket = m_incarnation + "." + std::string(aSecret);
  m_tickets.emplace(ticket,
                    Entry{ aAccount, TicketState::Issued, {}, {}, aNow + m_options.m_lifetime });
  return ticket;
}

RedeemResult TicketTable::Redeem(std::string_view aTicket,
                                 const std::string& aAccount,
                                 const base::Digest128& aRequest,
                                 base::TimePoint aNow)
{
  const std::string_view incarnation = IncarnationOf(aTicket);
  if (incarnation.empty()) {
    return Refusal(base::ErrorCode::TicketUnknown, base::RunState::NotRun, "malformed ticket");
  }
  if (!IsLocal(incarnation)) {
    return RedeemForward{ std::string(incarnation) };
  }
  Entry* entry = FindEntry(aTicket);
  if (entry == nullptr || entry->m_expiresAt <= aNow) {
    return Refusal(base::ErrorCode::TicketUnknown,
                   base::RunState::Unknown,
                   "the ticket is unknown or has expired");
  }
  if (entry->m_account != aAccount) {
    return Refusal(base::ErrorCode::TicketForeign,
                   base::RunState::NotRun,
                   "the ticket belongs to another client account");
  }
  const bool started = entry->m_state != TicketState::Issued;
  if (started && entry->m_request != aRequest) {
    return Refusal(base::ErrorCode::KeyReusedForOtherRequest,
                   base::RunState::NotRun,
                   "the ticket was already redeemed for a different request");
  }
  if (entry->m_state == TicketState::Answered) {
    return RedeemReplay{ entry->m_answer };
  }
  if (started) {
    return Refusal(base::ErrorCode::TicketInUse,
                   base::RunState::Unknown,
                   "the ticket is in use or its answer is no longer available");
  }
  if (m_frozen) {
    return Refusal(
      base::ErrorCode::ShuttingDown, base::RunState::NotRun, "this gate is shutting down");
  }
  entry->m_state = TicketState::Running;
  entry->m_request = aRequest;
  return RedeemRun{};
}

void TicketTable::Finish(std::string_view aTicket, StoredAnswer aAnswer)
{
  Entry* entry = FindEntry(aTicket);
  if (entry == nullptr) {
    return;
  }
  if (aAnswer.m_body.size() > m_options.m_maxAnswerBytes) {
    entry->m_state = TicketState::Unknown;
    return;
  }
  entry->m_state = TicketState::Answered;
  entry->m_answer = std::move(aAnswer);
}

void TicketTable::FinishWithoutAnswer(std::string_view aTicket)
{
  Entry* entry = FindEntry(aTicket);
  if (entry != nullptr) {
    entry->m_state = TicketState::Unknown;
  }
}

void TicketTable::CancelRedemption(std::string_view aTicket)
{
  Entry* entry = FindEntry(aTicket);
  if (entry != nullptr && entry->m_state == TicketState::Running) {
    entry->m_state = TicketState::Issued;
  }
}

std::vector<TicketRow> TicketTable::Export(base::TimePoint aNow) const
{
  std::vector<TicketRow> rows;
  rows.reserve(m_tickets.size());
  for (const auto& [ticket, entry] : m_tickets) {
    if (entry.m_expiresAt <= aNow) {
      continue;
    }
    const bool running = entry.m_state == TicketState::Running;
    const TicketState state = running ? TicketState::Unknown : entry.m_state;
    rows.push_back({ ticket,
                     entry.m_account,
                     state,
                     entry.m_request,
                     entry.m_answer,
                     entry.m_expiresAt - aNow });
  }
  return rows;
}

void TicketTable::Import(const std::string& aIncarnation,
                         std::span<const TicketRow> aRows,
                         base::TimePoint aNow)
{
  if (IsLocal(aIncarnation)) {
    return;
  }
  m_importedIncarnations.push_back(aIncarnation);
  for (const TicketRow& row : aRows) {
    const bool isLocal = IsLocal(IncarnationOf(row.m_ticket));
    if (!isLocal) {
      m_importedIncarnations.emplace_back(IncarnationOf(row.m_ticket));
    }
    const Entry entry{
      row.m_account, row.m_state, row.m_request, row.m_answer, aNow + row.m_remainingLifetime
    };
    if (m_tickets.emplace(row.m_ticket, entry).second) {
      ++m_perAccount[row.m_account];
    }
  }
}

std::vector<std::string> TicketTable::Incarnations() const
{
  std::vector<std::string> all{ m_incarnation };
  all.insert(all.end(), m_importedIncarnations.begin(), m_importedIncarnations.end());
  return all;
}

void TicketTable::Expire(base::TimePoint aNow)
{
  for (auto it = m_tickets.begin(); it != m_tickets.end();) {
    const bool running = it->second.m_state == TicketState::Running;
    if (running || it->second.m_expiresAt > aNow) {
      ++it;
      continue;
    }
    const auto count = m_perAccount.find(it->second.m_account);
    if (count != m_perAccount.end() && --count->second == 0) {
      m_perAccount.erase(count);
    }
    it = m_tickets.erase(it);
  }
}

bool TicketTable::IsLocal(std::string_view aIncarnation) const
{
  return aIncarnation == m_incarnation ||
         std::find(m_importedIncarnations.begin(), m_importedIncarnations.end(), aIncarnation) !=
           m_importedIncarnations.end();
}

TicketTable::Entry* TicketTable::FindEntry(std::string_view aTicket)
{
  const auto found = m_tickets.find(std::string(aTicket));
  return found == m_tickets.end() ? nullptr : &found->second;
}

} // namespace ferrytray::once
