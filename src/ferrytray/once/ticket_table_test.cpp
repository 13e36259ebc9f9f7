#include "ferrytray/once/ticket_table.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow{ 100s };
const base::Digest128 kRequest{ 1, 2 };

base::ErrorCode CodeOf(const once::Redeemed& aRedeemed)
{
  return std::get<base::Failure>(aRedeemed).m_code;
}

base::RunState RunOf(const once::Redeemed& aRedeemed)
{
  return std::get<base::Failure>(aRedeemed).m_run;
}

bool Runs(const once::Redeemed& aRedeemed)
{
  return std::holds_alternative<once::RedeemRun>(aRedeemed);
}

} // namespace

TEST_GROUP(TicketTable)
{
  once::TicketTable m_home{ "gate1-5" };
  std::string m_ticket = m_home.Issue("lab", "secret", kNow).value();
};

TEST(TicketTable, RunsOnceThenReplays)
{
  CHECK(Runs(m_home.Redeem(m_ticket, "lab", kRequest, kNow)));
  const auto second = m_home.Redeem(m_ticket, "lab", kRequest, kNow);
  CHECK(CodeOf(second) == base::ErrorCode::TicketInUse);
  CHECK(RunOf(second) == base::RunState::Unknown);
  m_home.Finish(m_ticket, { 200, "text/plain", "answer" });
  const auto third = m_home.Redeem(m_ticket, "lab", kRequest, kNow);
  STRCMP_EQUAL("answer", std::get<once::RedeemReplay>(third).m_answer.m_body.c_str());
}

TEST(TicketTable, IsBoundToAccountAndRequest)
{
  CHECK(CodeOf(m_home.Redeem(m_ticket, "bench", kRequest, kNow)) == base::ErrorCode::TicketForeign);
  CHECK(Runs(m_home.Redeem(m_ticket, "lab", kRequest, kNow)));
  CHECK(CodeOf(m_home.Redeem(m_ticket, "lab", { 9, 9 }, kNow)) ==
        base::ErrorCode::KeyReusedForOtherRequest);
}

TEST(TicketTable, GivenBackItRunsAgain)
{
  CHECK(Runs(m_home.Redeem(m_ticket, "lab", kRequest, kNow)));
  m_home.GiveBack(m_ticket);
  CHECK(Runs(m_home.Redeem(m_ticket, "lab", kRequest, kNow)));
}

TEST(TicketTable, AnotherIncarnationNeverRuns)
{
  once::TicketTable other("gate2-1");
  const auto redeemed = other.Redeem(m_ticket, "lab", kRequest, kNow);
  STRCMP_EQUAL("gate1-5", std::get<once::RedeemElsewhere>(redeemed).m_incarnation.c_str());
}

TEST(TicketTable, HandedOverItRunsOnlyAtTheNewHome)
{
  const std::string running = m_home.Issue("lab", "second", kNow).value();
  CHECK(Runs(m_home.Redeem(running, "lab", kRequest, kNow)));
  m_home.Freeze();
  CHECK(CodeOf(m_home.Redeem(m_ticket, "lab", kRequest, kNow)) == base::ErrorCode::ShuttingDown);
  once::TicketTable peer("gate2-1");
  const auto rows = m_home.Export(kNow);
  peer.Adopt("gate1-5", rows, kNow);
  CHECK(Runs(peer.Redeem(m_ticket, "lab", kRequest, kNow)));
  // A lost reply makes the old home send the table again: nothing may be set back.
  peer.Adopt("gate1-5", rows, kNow);
  CHECK(CodeOf(peer.Redeem(m_ticket, "lab", kRequest, kNow)) == base::ErrorCode::TicketInUse);
  CHECK(RunOf(peer.Redeem(running, "lab", kRequest, kNow)) == base::RunState::Unknown);
}

TEST(TicketTable, HasACapPerAccountAndExpires)
{
  once::TicketTable small("g", { 10s, 2, 100 });
  CHECK(small.Issue("lab", "1", kNow).has_value());
  CHECK(small.Issue("lab", "2", kNow).has_value());
  CHECK(small.Issue("lab", "3", kNow).error().m_code == base::ErrorCode::TableFull);
  CHECK(small.Issue("bench", "3", kNow).has_value());
  CHECK(RunOf(small.Redeem("g.1", "lab", kRequest, kNow + 10s)) == base::RunState::Unknown);
  small.Expire(kNow + 10s);
  LONGS_EQUAL(0, small.Size());
  CHECK(small.Issue("lab", "4", kNow + 10s).has_value());
}
