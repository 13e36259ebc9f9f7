#include "ferrytray/cache/store_contents.hpp"

#include <rapidcheck.h> // for check, gen

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using cache::PartName;
using cache::StoreEvents;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(5'000'000));
const PartName kPart{ "m.1", "p" };

StoreEvents Events(std::uint64_t aEpoch, std::vector<cache::StoreChange> aChanges = {})
{
  StoreEvents events;
  events.m_epoch = aEpoch;
  events.m_clockMillis = 100'000;
  events.m_changes = std::move(aChanges);
  return events;
}

} // namespace

TEST_GROUP(StoreContents)
{
  cache::StoreContents m_contents{ { 1000 } };
};

TEST(StoreContents, FetchesOnlyPartsConfirmedByRecentEvents)
{
  CHECK_FALSE(m_contents.MayFetch(kPart, kStart));
  m_contents.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  CHECK(m_contents.MayFetch(kPart, kStart + 1s));
  CHECK_FALSE(m_contents.MayFetch(kPart, kStart + 1900ms));
  CHECK_FALSE(m_contents.MayFetch({ "m.2", "p" }, kStart));
}

TEST(StoreContents, RestartClearsContentsAndDelaysSavesUntilOldFetchesEnd)
{
  m_contents.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  m_contents.OnEvents(Events(2), true, kStart + 10s, kStart + 10s);
  CHECK_FALSE(m_contents.MayFetch(kPart, kStart + 10s));
  m_contents.OnEvents(Events(2), false, kStart + 13s, kStart + 13s);
  CHECK_FALSE(m_contents.MaySave(kPart, 400, kStart + 13500ms));
  CHECK(m_contents.MaySave(kPart, 400, kStart + 13600ms));
}

TEST(StoreContents, RefusesDuplicateSavesAndSavesBeyondCapacity)
{
  m_contents.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  const base::TimePoint now = kStart + 5s;
  m_contents.OnEvents(Events(1), false, now, now);
  CHECK_FALSE(m_contents.MaySave(kPart, 400, now));
  const PartName other{ "m.1", "q" };
  CHECK_FALSE(m_contents.MaySave(other, 601, now));
  CHECK(m_contents.MaySave(other, 600, now));
  m_contents.OnSaveRequested(other, 300, now);
  CHECK_FALSE(m_contents.MaySave(other, 300, now));
  CHECK_FALSE(m_contents.MaySave({ "m.1", "r" }, 301, now));
}

TEST(StoreContents, PendingSaveExpiresWithoutAnEvent)
{
  m_contents.OnEvents(Events(1), false, kStart, kStart);
  m_contents.OnSaveRequested(kPart, 400, kStart + 5s);
  m_contents.OnEvents(Events(1), false, kStart + 13s, kStart + 13s);
  CHECK(m_contents.MaySave(kPart, 400, kStart + 13s));
}

TEST(StoreContents, FetchDeadlineUsesTheEndpointsClock)
{
  CHECK_FALSE(m_contents.FetchDeadline(kStart, 2s).has_value());
  m_contents.OnEvents(Events(1), false, kStart, kStart);
  LONGS_EQUAL(101'500, *m_contents.FetchDeadline(kStart + 500ms, 1s));
  LONGS_EQUAL(101'700, *m_contents.FetchDeadline(kStart + 500ms, 2s)); // limited by m_maxFetchTime
}

TEST(StoreContents, DefaultSaveDelayCoversFetchesOfOldContents)
{
  const cache::ContentsOptions options;
  CHECK(options.m_saveDelayAfterRestart >= options.m_maxAge + options.m_maxFetchTime + 500ms);
}

TEST(StoreContents, EventsAgeFromTheTimeOfTheRequest)
{
  // The process was suspended for 4 s before it read the response.
  m_contents.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart + 4s);
  CHECK_FALSE(m_contents.MayFetch(kPart, kStart + 4s));
  m_contents.OnEvents(Events(1), false, kStart + 4s, kStart + 4s);
  CHECK(m_contents.MayFetch(kPart, kStart + 4s));
}

/// One host reads the store, and another follows it by deltas.
TEST_GROUP(ContentsDelta)
{
  cache::StoreContents m_reader{ { 100'000 } };
  cache::StoreContents m_follower{ { 100'000 } };

  void Follow(base::TimePoint aNow)
  {
    cache::ContentsCursor cursor = m_follower.Cursor();
    cursor.m_store = "s:1";
    const auto delta = m_reader.DeltaSince(cursor, aNow);
    CHECK(delta.has_value());
    m_last = *delta;
    m_follower.OnDelta(*delta, aNow, aNow);
  }

  cache::ContentsDelta m_last;
};

TEST(ContentsDelta, NoDeltaBeforeTheFirstEvents)
{
  CHECK_FALSE(m_reader.DeltaSince({}, kStart).has_value());
}

TEST(ContentsDelta, FirstDeltaIsWholeAndLaterOnesAreIncremental)
{
  m_reader.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  Follow(kStart);
  CHECK(m_last.m_whole);
  CHECK(m_follower.MayFetch(kPart, kStart));
  const PartName other{ "m.1", "q" };
  m_reader.OnEvents(
    Events(1, { { kPart, 0, false }, { other, 300, true } }), false, kStart + 1s, kStart + 1s);
  Follow(kStart + 1s);
  CHECK_FALSE(m_last.m_whole);
  LONGS_EQUAL(2, m_last.m_changes.size());
  CHECK_FALSE(m_follower.MayFetch(kPart, kStart + 1s));
  CHECK(m_follower.MayFetch(other, kStart + 1s));
}

TEST(ContentsDelta, KeepsTheAgeOfTheReadersEvents)
{
  m_reader.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  Follow(kStart + 1s);
  CHECK(m_follower.MayFetch(kPart, kStart + 1s));
  CHECK_FALSE(m_follower.MayFetch(kPart, kStart + 1900ms));
  LONGS_EQUAL(m_reader.FetchDeadline(kStart + 1s, 2s).value(),
              m_follower.FetchDeadline(kStart + 1s, 2s).value());
}

TEST(ContentsDelta, StoreRestartClearsTheFollowerAndDelaysItsSaves)
{
  m_reader.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  Follow(kStart);
  CHECK(m_follower.MaySave({ "m.1", "q" }, 10, kStart + 4500ms) ||
        !m_follower.MayFetch(kPart, kStart + 4500ms));
  m_reader.OnEvents(Events(2), false, kStart + 10s, kStart + 10s);
  Follow(kStart + 10s);
  CHECK_FALSE(m_follower.MayFetch(kPart, kStart + 10s));
  CHECK_FALSE(m_follower.MaySave(kPart, 400, kStart + 10s));
  LONGS_EQUAL(0, m_follower.Next());
}

TEST(ContentsDelta, FollowerConvergesToTheReadersParts)
{
  const bool held = rc::check([&] {
    cache::StoreContents reader{ { 100'000 } };
    cache::StoreContents follower{ { 100'000 } };
    base::TimePoint now = kStart;
    std::uint64_t epoch = 1;
    const auto steps = *rc::gen::inRange(1, 800);
    for (int i = 0; i < steps; ++i) {
      now += 10ms;
      const PartName part{ "m.1", std::to_string(*rc::gen::inRange(0, 30)) };
      const int what = *rc::gen::inRange(0, 40);
      epoch += what == 0 ? 1 : 0;
      const bool whole = what == 1;
      const bool added = what % 2 == 0;
      reader.OnEvents(Events(epoch, { { part, 10, added } }), whole, now, now);
      if (what % 7 == 3) {
        cache::ContentsCursor cursor = follower.Cursor();
        cursor.m_store = "s:1";
        follower.OnDelta(*reader.DeltaSince(cursor, now), now, now);
        RC_ASSERT(follower.Parts() == reader.Parts());
        RC_ASSERT(follower.Epoch() == reader.Epoch());
      }
    }
  });
  CHECK(held);
}

TEST(StoreContents, FreedPartsAreRemovedWithoutAnEvent)
{
  m_contents.OnEvents(Events(1, { { kPart, 400, true } }), false, kStart, kStart);
  m_contents.OnFreed(2, std::vector{ kPart });
  CHECK(m_contents.Parts().contains(kPart)); // freed in another epoch
  m_contents.OnFreed(1, std::vector{ kPart });
  CHECK_FALSE(m_contents.Parts().contains(kPart));
}
