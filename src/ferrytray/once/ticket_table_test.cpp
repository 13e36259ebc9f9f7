#include "ferrytray/once/ticket_table.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow{ 100s };
const base::Digest128 kRequest{ 1, 2 };

base::ErrorCode CodeOf(const once::RedeemResult& aRedeemed)
{
  return std::get<base::Failure>(aRedeemed).m_code;
}

base::RunState RunOf(const once::RedeemResult& aRedeemed)
{
  return std::get<base::Failure>(aRedeemed).m_run;
}

bool ShouldRun(const once::RedeemResult& aRedeemed)
{
  return std::holds_alternative<once::RedeemRun>(aRedeemed);
}

} // namespace

TEST_GROUP(TicketTable)
{
  once::TicketTable m_issuer{ "gate1-5" };
  std::string m_ticket = m_issuer.Issue("lab", "secret", kNow).value();
};

TEST(TicketTable, RunsOnceThenReplays)
{
  CHECK(ShouldRun(m_issuer.Redeem(m_ticket, "lab", kRequest, kNow)));
  const auto second = m_issuer.Redeem(m_ticket, "lab", kRequest, kNow);
  CHECK(CodeOf(second) == base::ErrorCode::TicketInUse);
  CHECK(RunOf(second) == base::RunState::Unknown);
  m_issuer.Finish(m_ticket, { 200, "text/plain", "answer" });
  const auto third = m_issuer.Redeem(m_ticket, "lab", kRequest, kNow);
  STRCMP_EQUAL("answer", std::get<once::RedeemReplay>(third).m_answer.m_body.c_str());
}

TEST(TicketTable, IsBoundToAccountAndRequest)
{
  CHECK(CodeOf(m_issuer.Redeem(m_ticket, "bench", kRequest, kNow)) ==
        base::ErrorCode::TicketForeign);
  CHECK(ShouldRun(m_issuer.Redeem(m_ticket, "lab", kRequest, kNow)));
  CHECK(CodeOf(m_issuer.Redeem(m_ticket, "lab", { 9, 9 }, kNow)) ==
        base::ErrorCode::KeyReusedForOtherRequest);
}

TEST(TicketTable, CancelledRedemptionCanRunAgain)
{
  CHECK(ShouldRun(m_issuer.Redeem(m_ticket, "lab", kRequest, kNow)));
  m_issuer.CancelRedemption(m_ticket);
  CHECK(ShouldRun(m_issuer.Redeem(m_ticket, "lab", kRequest, kNow)));
}

TEST(TicketTable, OtherIncarnationForwardsToIssuer)
{
  once::TicketTable other("gate2-1");
  const auto redeemed = other.Redeem(m_ticket, "lab", kRequest, kNow);
  STRCMP_EQUAL("gate1-5", std::get<once::RedeemForward>(redeemed).m_incarnation.c_str());
}

TEST(TicketTable, ImportedTicketRunsOnlyAtTheImportingGate)
{
  const std::string running = m_issuer.Issue("lab", "second", kNow).value();
  CHECK(ShouldRun(m_issuer.Redeem(running, "lab", kRequest, kNow)));
  m_issuer.Freeze();
  CHECK(CodeOf(m_issuer.Redeem(m_ticket, "lab", kRequest, kNow)) == base::ErrorCode::ShuttingDown);
  once::TicketTable peer("gate2-1");
  const auto rows = m_issuer.Export(kNow);
  peer.Import("gate1-5", rows, kNow);
  CHECK(ShouldRun(peer.Redeem(m_ticket, "lab", kRequest, kNow)));
  // The exporting gate sends the table again if the reply is lost; no ticket state may be reset.
  peer.Import("gate1-5", rows, kNow);
  CHECK(CodeOf(peer.Redeem(m_ticket, "lab", kRequest, kNow)) == base::ErrorCode::TicketInUse);
  CHECK(RunOf(peer.Redeem(running, "lab", kRequest, kNow)) == base::RunState::Unknown);
}

TEST(TicketTable, EnforcesAccountLimitAndExpiry)
{
  once::TicketTable limited("g", { 10s, 2, 100 });
  CHECK(limited.Issue("lab", "1", kNow).has_value());
  CHECK(limited.Issue("lab", "2", kNow).has_value());
  CHECK(limited.Issue("lab", "3", kNow).error().m_code == base::ErrorCode::TableFull);
  CHECK(limited.Issue("bench", "3", kNow).has_value());
  CHECK(RunOf(limited.Redeem("g.1", "lab", kRequest, kNow + 10s)) == base::RunState::Unknown);
  limited.Expire(kNow + 10s);
  LONGS_EQUAL(0, limited.Size());
  CHECK(limited.Issue("lab", "4", kNow + 10s).has_value());
}
