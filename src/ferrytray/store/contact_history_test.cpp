#include "ferrytray/store/contact_history.hpp"

#include <random> // for minstd_rand
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kMinOutage = 2s;

base::TimePoint At(base::Duration aTime)
{
  return base::TimePoint(1h) + aTime;
}

store::ContactPeriod Period(base::Duration aBegin, base::Duration aEnd)
{
  return { At(aBegin), At(aEnd) };
}

} // namespace

TEST_GROUP(ContactHistory)
{
  store::ContactHistory m_history{ kMinOutage };

  bool AddAnswer(base::Duration aAt)
  {
    return m_history.Add(Period(aAt, aAt));
  }
  void CheckOutage(base::Duration aBegin, base::Duration aEnd)
  {
    const auto outage = m_history.LastOutage();
    CHECK(outage.has_value());
    CHECK(outage->m_begin == At(aBegin));
    CHECK(outage->m_end == At(aEnd));
  }
};

TEST(ContactHistory, FirstContactIsNoOutage)
{
  CHECK_FALSE(AddAnswer(5s));
  CHECK_FALSE(m_history.LastOutage().has_value());
}

TEST(ContactHistory, GapShorterThanMinimumIsNoOutage)
{
  for (base::Duration at{}; at < 60s; at += kMinOutage - 1us) {
    CHECK_FALSE(AddAnswer(at));
  }
  CHECK_FALSE(m_history.LastOutage().has_value());
}

TEST(ContactHistory, OutageIsReportedOnce)
{
  AddAnswer(0s);
  CHECK(AddAnswer(3s));
  CheckOutage(0s, 3s);
  for (base::Duration at = 3s; at < 10s; at += 150ms) {
    CHECK_FALSE(AddAnswer(at));
  }
  CheckOutage(0s, 3s);
}

// A second source, a restarted one or the former one again reports the same outage.
TEST(ContactHistory, OutageDoesNotStartAgainWithAnotherSource)
{
  AddAnswer(0s);
  CHECK(m_history.Add(Period(3s, 4s)));
  CHECK_FALSE(m_history.Add(Period(4500ms, 4500ms)));
  CHECK_FALSE(m_history.Add(Period(3100ms, 5s)));
  CHECK_FALSE(m_history.Add(Period(4500ms, 5s)));
  CheckOutage(0s, 3s);
}

TEST(ContactHistory, EarlierContactOfAnotherHostShortensOutage)
{
  AddAnswer(0s);
  AddAnswer(6s);
  CHECK(m_history.Add(Period(4s, 6s)));
  CheckOutage(0s, 4s);
  CHECK_FALSE(m_history.Add(Period(-9s, 1s))); // the outage began later
  CheckOutage(1s, 4s);
}

// Hosts that ask each other would otherwise move the end of an outage with each slow reply.
TEST(ContactHistory, ReportsThatAgreeWithinTheirUncertaintyChangeNothing)
{
  AddAnswer(0s);
  AddAnswer(6s);
  for (base::Duration uncertainty{}; uncertainty < 1s; uncertainty += 10ms) {
    CHECK_FALSE(m_history.Add(Period(6s - uncertainty, 6s), uncertainty));
  }
  CHECK(m_history.Add(Period(5s, 6s), 900ms));
  CheckOutage(0s, 5900ms);
}

TEST(ContactHistory, UninterruptedContactOfAnotherHostRefutesOutage)
{
  AddAnswer(0s);
  AddAnswer(6s);
  CHECK(m_history.Add(Period(-9s, 6s)));
  CHECK_FALSE(m_history.LastOutage().has_value());
}

TEST(ContactHistory, ContactWithinGapThatLeavesShortGapsRefutesOutage)
{
  AddAnswer(0s);
  AddAnswer(3s);
  CHECK(AddAnswer(1500ms));
  CHECK_FALSE(m_history.LastOutage().has_value());
}

TEST(ContactHistory, LaterOutageReplacesEarlierOne)
{
  AddAnswer(0s);
  AddAnswer(3s);
  CHECK(AddAnswer(9s));
  CheckOutage(3s, 9s);
}

// The time for which removed endpoints stay usable counts from the end of the outage, so reports of
// many hosts, in any order, must not move it to a later time than the first answer after it.
TEST(ContactHistory, ReportsOfManyHostsNeverDelayTheEndOfAnOutage)
{
  std::minstd_rand random(1);
  for (const int hosts : { 10, 100, 1000 }) {
    for (int round = 0; round < 20; ++round) {
      store::ContactHistory history(kMinOutage);
      history.Add(Period(-60s, 0s));
      base::Duration firstAnswer = 1h;
      int changes = 0;
      for (int host = 0; host < hosts; ++host) {
        // Each host reaches the log again at its own time, and restarts at times.
        const base::Duration begin = 4s + base::Duration(random() % 1'000'000);
        const base::Duration end = begin + base::Duration(random() % 2'000'000);
        firstAnswer = std::min(firstAnswer, begin);
        changes += history.Add(Period(begin, end)) ? 1 : 0;
        CHECK(history.LastOutage()->m_end == At(firstAnswer));
      }
      CHECK(changes <= 60); // a new minimum of random values is rare
    }
  }
}
