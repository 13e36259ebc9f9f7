#include "ferrytray/once/claim_coordinator.hpp"

#include <algorithm> // for next_permutation, count
#include <numeric>   // for iota

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow{ 100s };
const base::Digest128 kKey{ 7, 7 };

once::Claim MakeClaim(std::uint64_t aId, const char* aClaimant)
{
  return { { 0, aId }, kKey, { 1, 1 }, aClaimant };
}

template<typename Action>
int Count(const once::ClaimActions& aActions)
{
  return static_cast<int>(std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
    return std::holds_alternative<Action>(aAction);
  }));
}

/// Reference model: recomputes the unreleased winners from the whole log.
std::vector<base::Digest128> ReferenceWinners(const std::vector<once::ClaimEntry>& aLog)
{
  std::vector<base::Digest128> winners;
  std::vector<base::Digest128> seen;
  std::vector<base::Digest128> released;
  for (const auto& entry : aLog) {
    if (const auto* claim = std::get_if<once::Claim>(&entry)) {
      const bool isVoid = std::count(released.begin(), released.end(), claim->m_id) > 0;
      const bool known = std::count(seen.begin(), seen.end(), claim->m_id) > 0;
      if (isVoid || known) {
        continue;
      }
      const bool held = std::any_of(seen.begin(), seen.end(), [&](const auto& aId) {
        return std::count(released.begin(), released.end(), aId) == 0;
      });
      seen.push_back(claim->m_id);
      if (!held) {
        winners.push_back(claim->m_id);
      }
    } else if (const auto* release = std::get_if<once::Release>(&entry)) {
      released.push_back(release->m_id);
      std::erase(winners, release->m_id);
    }
  }
  return winners;
}

} // namespace

TEST_GROUP(Claims)
{
  once::ClaimCoordinator m_gateA;
  once::ClaimCoordinator m_gateB;
  std::vector<once::ClaimEntry> m_log;

  void ReadAll(once::ClaimCoordinator & aReader, once::ClaimActions & aActions)
  {
    for (std::size_t i = 0; i < m_log.size(); ++i) {
      for (auto& action : aReader.OnRecord({ i, 0s }, { &m_log[i], 1 })) {
        aActions.push_back(action);
      }
    }
  }
};

TEST(Claims, ClaimIsNotWonBeforeItIsReadBack)
{
  const auto actions = m_gateA.OnClaim(MakeClaim(1, "a"), kNow);
  LONGS_EQUAL(1, Count<once::AppendBatch>(actions));
  LONGS_EQUAL(0, Count<once::ClaimWon>(m_gateA.OnAppendEnded(true)));
}

TEST(Claims, FirstClaimInTheLogWins)
{
  m_gateA.OnClaim(MakeClaim(1, "a"), kNow);
  m_gateB.OnClaim(MakeClaim(2, "b"), kNow);
  m_log = { MakeClaim(2, "b"), MakeClaim(1, "a") };
  once::ClaimActions first;
  once::ClaimActions second;
  ReadAll(m_gateA, first);
  ReadAll(m_gateB, second);
  LONGS_EQUAL(1, Count<once::ClaimLost>(first));
  LONGS_EQUAL(1, Count<once::ClaimWon>(second));
}

TEST(Claims, LostAppendReplyIsSettledByReadingTheLog)
{
  m_gateA.OnClaim(MakeClaim(1, "a"), kNow);
  m_gateA.OnAppendEnded(false);
  m_log = { MakeClaim(1, "a") };
  once::ClaimActions actions;
  ReadAll(m_gateA, actions);
  LONGS_EQUAL(1, Count<once::ClaimWon>(actions));
}

TEST(Claims, TimedOutClaimNeverRunsAndIsReleasedUntilReadBack)
{
  m_gateA.OnClaim(MakeClaim(1, "a"), kNow);
  m_gateA.OnAppendEnded(false);
  const auto late = m_gateA.OnTick(kNow + 2s);
  LONGS_EQUAL(1, Count<once::ClaimUnsettled>(late));
  m_log = { MakeClaim(1, "a") };
  once::ClaimActions actions;
  ReadAll(m_gateA, actions);
  LONGS_EQUAL(0, Count<once::ClaimWon>(actions));
  m_gateA.OnAppendEnded(true);
  const auto again = m_gateA.OnTick(kNow + 3s);
  LONGS_EQUAL(1, Count<once::AppendBatch>(again));
}

TEST(Claims, ClaimAppendedAfterItsReleaseIsIgnored)
{
  m_gateB.OnClaim(MakeClaim(2, "b"), kNow);
  m_log = { once::Release{ { 0, 1 } }, MakeClaim(1, "a"), MakeClaim(2, "b") };
  once::ClaimActions actions;
  ReadAll(m_gateB, actions);
  LONGS_EQUAL(1, Count<once::ClaimWon>(actions));
}

TEST(Claims, GroupCommitSendsOneAppendAtATime)
{
  m_gateA.OnClaim(MakeClaim(1, "a"), kNow);
  LONGS_EQUAL(0, Count<once::AppendBatch>(m_gateA.OnClaim(MakeClaim(2, "a"), kNow)));
  LONGS_EQUAL(0, Count<once::AppendBatch>(m_gateA.OnClaim(MakeClaim(3, "a"), kNow)));
  const auto next = m_gateA.OnAppendEnded(true);
  LONGS_EQUAL(2, std::get<once::AppendBatch>(next.front()).m_entries.size());
}

TEST(Claims, EncodedEntriesRoundTrip)
{
  const std::vector<once::ClaimEntry> entries{ MakeClaim(1, "a"),
                                               once::Release{ { 3, 4 } },
                                               once::Done{ { 5, 6 } } };
  const std::string text = once::EncodeEntries(entries);
  const auto back = once::DecodeEntries(text);
  STRCMP_EQUAL(text.c_str(), once::EncodeEntries(*back).c_str());
  CHECK(once::DecodeEntries("[{\"t\":\"claim\"}]").error().m_code ==
        base::ErrorCode::PlatformMalformed);
  CHECK_FALSE(once::DecodeEntries("\xff\x00").has_value());
}

TEST(Claims, LosingGateReleasesItsClaim)
{
  m_gateB.OnClaim(MakeClaim(2, "b"), kNow);
  m_gateB.OnAppendEnded(true);
  m_log = { MakeClaim(1, "a"), MakeClaim(2, "b") };
  once::ClaimActions actions;
  ReadAll(m_gateB, actions);
  LONGS_EQUAL(1, Count<once::ClaimLost>(actions));
  LONGS_EQUAL(1, Count<once::AppendBatch>(actions));
}

// Checks every ordering of three gates' claims, a release and a repeated append: the table matches
// the reference model, and no two unreleased claims have both won.
TEST(Claims, EveryOrderingHasAtMostOneWinner)
{
  const std::vector<once::ClaimEntry> entries{
    MakeClaim(1, "a"), MakeClaim(2, "b"), once::Release{ { 0, 1 } },
    MakeClaim(1, "a"), MakeClaim(3, "c"),
  };
  std::vector<int> order(entries.size());
  std::iota(order.begin(), order.end(), 0);
  int orderings = 0;
  do {
    once::ClaimTable table(1h);
    std::vector<once::ClaimEntry> log;
    for (std::size_t at = 0; at < order.size(); ++at) {
      log.push_back(entries[order[at]]);
      table.Apply({ at, 0s }, { &log.back(), 1 });
      const auto winners = ReferenceWinners(log);
      CHECK(winners.size() <= 1);
      for (std::uint64_t id = 1; id <= 3; ++id) {
        const bool expected = !winners.empty() && winners.front() == base::Digest128{ 0, id };
        CHECK_EQUAL(expected, table.HasWon(MakeClaim(id, "")));
      }
    }
    ++orderings;
  } while (std::next_permutation(order.begin(), order.end()));
  LONGS_EQUAL(120, orderings);
}

TEST(Claims, MatchesReferenceModelOnRandomLogs)
{
  const bool holds = rc::check("claim table", [] {
    once::ClaimTable table(1h);
    std::vector<once::ClaimEntry> log;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (std::size_t at = 0; at < steps.size(); ++at) {
      const auto id = static_cast<std::uint64_t>(steps[at] % 7);
      const bool release = steps[at] > 13;
      log.push_back(release ? once::ClaimEntry(once::Release{ { 0, id } })
                            : once::ClaimEntry(MakeClaim(id, "g")));
      table.Apply({ at, 0s }, { &log.back(), 1 });
      const auto winners = ReferenceWinners(log);
      RC_ASSERT(winners.size() <= 1U);
      for (std::uint64_t check = 0; check < 7; ++check) {
        const bool expected = !winners.empty() && winners.front() == base::Digest128{ 0, check };
        RC_ASSERT(table.HasWon(MakeClaim(check, "")) == expected);
      }
    }
  });
  CHECK(holds);
}

// A reader that starts at the oldest retained record must agree with one that has read the whole
// log; otherwise two gates could both run the request of one key.
TEST(Claims, ReaderOfLastWindowMatchesReaderOfWholeLog)
{
  const bool holds = rc::check("fresh claim reader", [] {
    constexpr auto kWindow = 10s;
    once::ClaimTable full(kWindow);
    once::ClaimTable fresh(kWindow);
    const auto steps =
      *rc::gen::resize(100, rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 60)));
    for (std::size_t at = 0; at < steps.size(); ++at) {
      const base::Duration time = std::chrono::seconds(at / 4);
      const auto id =
        static_cast<std::uint64_t>(at - static_cast<std::size_t>(steps[at]) % (at + 1));
      const once::ClaimEntry entry =
        steps[at] % 3 == 0 ? once::ClaimEntry(once::Release{ { 0, id } }) : MakeClaim(id, "g");
      full.Apply({ at, time }, { &entry, 1 });
      // Claim and release of an id are less than 60 steps apart, as append delays are bounded.
      if (at >= 60) {
        fresh.Apply({ at, time }, { &entry, 1 });
      }
    }
    const auto left = full.Find(kKey);
    const auto right = fresh.Find(kKey);
    RC_ASSERT(left.has_value() == right.has_value());
    RC_ASSERT(!left || left->m_claim.m_id == right->m_claim.m_id);
  });
  CHECK(holds);
}

TEST(Claims, ClaimHoldsItsKeyOnlyForTheWindow)
{
  once::ClaimTable table(10s);
  const std::vector<once::ClaimEntry> first{ MakeClaim(1, "a") };
  const std::vector<once::ClaimEntry> second{ MakeClaim(2, "b") };
  const std::vector<once::ClaimEntry> third{ MakeClaim(3, "c") };
  table.Apply({ 1, 0s }, first);
  table.Apply({ 2, 9s }, second);
  CHECK_FALSE(table.HasWon(MakeClaim(2, "b")));
  table.Apply({ 3, 19s }, third);
  CHECK(table.HasWon(MakeClaim(3, "c")));
  LONGS_EQUAL(1, table.Size());
}
