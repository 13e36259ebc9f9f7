#include "ferrytray/fleet/directory.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

fleet::Endpoint MakeEngine(const std::string& aName, fleet::WeightVersion aVersion = 1)
{
  fleet::Endpoint endpoint;
  endpoint.m_id = aName;
  endpoint.m_incarnation = aName;
  endpoint.m_service = "engines";
  endpoint.m_address = "10.0.0.1:80";
  endpoint.m_weights = { { "model", aVersion } };
  return endpoint;
}

} // namespace

TEST_GROUP(Directory)
{
  fleet::Directory m_directory;
  fleet::WeightVersion AssumedWeights(const char* aName) const
  {
    return m_directory.Find(aName)->m_weights.at("model");
  }
};

TEST(Directory, LeavingIsFinalForAnIncarnation)
{
  fleet::Endpoint leaving = MakeEngine("a");
  leaving.m_leaving = true;
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.Upsert(leaving, kStart);
  m_directory.Upsert(MakeEngine("a"), kStart);
  CHECK(m_directory.Usable("engines").empty());
  m_directory.Remove("a", kStart);
  m_directory.Upsert(MakeEngine("a"), kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
}

TEST(Directory, ARemovedEntryMayReturnWithinTheWindowAfterAnOutage)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  m_directory.Upsert(MakeEngine("a"), kStart + 1s);
  m_directory.Expire(kStart + 5s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
}

TEST(Directory, ARemovedEntryIsDroppedAfterTheReturnWindow)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.Expire(kStart + 2s);
  CHECK(m_directory.Usable("engines").empty());
}

TEST(Directory, ARemovalWithoutARecentOutageIsImmediate)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 3s);
  CHECK(m_directory.Usable("engines").empty());
}

TEST(Directory, ALaterReportOfTheOutageDoesNotExtendTheReturnWindow)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  CHECK(m_directory.Remove("a", kStart + 100ms) == 1900ms);
  m_directory.SetOutageEnd(kStart + 1500ms);
  CHECK(m_directory.Remove("a", kStart + 1600ms) == 400ms);
  m_directory.RemoveUnlisted({}, kStart + 1700ms);
  m_directory.Expire(kStart + 2s);
  CHECK(m_directory.All().empty());
}

TEST(Directory, AnEarlierEndOfTheOutageShortensTheReturnWindow)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.SetOutageEnd(kStart - 1500ms);
  m_directory.Expire(kStart + 500ms);
  CHECK(m_directory.All().empty());
}

TEST(Directory, ARefutedOutageDropsRemovedEntries)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.SetOutageEnd(std::nullopt);
  m_directory.Expire(kStart + 110ms);
  CHECK(m_directory.All().empty());
}

// An endpoint that has renewed its entry since the outage and is removed then has shut down.
TEST(Directory, ARemovalAfterTheReturnIsImmediate)
{
  m_directory.Upsert(MakeEngine("a"), kStart - 5s);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.Upsert(MakeEngine("a"), kStart + 500ms);
  CHECK(m_directory.Remove("a", kStart + 600ms) == 0ms);
  CHECK(m_directory.All().empty());
}

TEST(Directory, EachOutageHasItsOwnReturnWindow)
{
  m_directory.Upsert(MakeEngine("a"), kStart - 5s);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.Upsert(MakeEngine("a"), kStart + 500ms);
  m_directory.SetOutageEnd(kStart + 10s);
  CHECK(m_directory.Remove("a", kStart + 10s) == 2s);
}

TEST(Directory, RemoveUnlistedDropsMissingIds)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.Upsert(MakeEngine("b"), kStart);
  m_directory.RemoveUnlisted({ "b" }, kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
  CHECK(m_directory.Find("b") != nullptr);
}

TEST(Directory, WeightVersionsNeverDecreaseWithinAnIncarnation)
{
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  m_directory.NoteProvenWeights("a", "model", 3);
  m_directory.Upsert(MakeEngine("a", 2), kStart);
  LONGS_EQUAL(3, AssumedWeights("a"));
}

TEST(Directory, AWeightMismatchChangesOnlyTheAssumedVersion)
{
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  m_directory.NoteWeightMismatch("a", "model", 1, 3);
  LONGS_EQUAL(3, AssumedWeights("a"));
  LONGS_EQUAL(1, m_directory.Find("a")->m_provenWeights.at("model"));
  // The newest version is refused, too.
  m_directory.NoteWeightMismatch("a", "model", 3, 3);
  LONGS_EQUAL(2, AssumedWeights("a"));
  // A late refusal of a request that named another version changes nothing.
  m_directory.NoteWeightMismatch("a", "model", 1, 3);
  LONGS_EQUAL(2, AssumedWeights("a"));
}

// Guards against guessing the newest version when the host that announced a reload stalled before
// it gave the order, and newer weights were named meanwhile.
TEST(Directory, AWeightMismatchFallsBackToTheProvenVersionFirst)
{
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  m_directory.NoteExpectedWeights("a", "model", 2);
  LONGS_EQUAL(2, AssumedWeights("a"));
  m_directory.NoteWeightMismatch("a", "model", 2, 3);
  LONGS_EQUAL(1, AssumedWeights("a"));
}

TEST(Directory, GuessingRestartsAfterAllVersionsWereRefused)
{
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  m_directory.NoteWeightMismatch("a", "model", 1, 2);
  LONGS_EQUAL(2, AssumedWeights("a"));
  m_directory.NoteWeightMismatch("a", "model", 2, 2);
  LONGS_EQUAL(1, AssumedWeights("a"));
  m_directory.NoteWeightMismatch("a", "model", 1, 2);
  LONGS_EQUAL(2, AssumedWeights("a"));
}

TEST(Directory, ExpectedWeightsOnlyRaiseTheAssumedVersion)
{
  m_directory.Upsert(MakeEngine("a", 3), kStart);
  m_directory.NoteExpectedWeights("a", "model", 2);
  LONGS_EQUAL(3, AssumedWeights("a"));
  m_directory.NoteExpectedWeights("a", "model", 4);
  LONGS_EQUAL(4, AssumedWeights("a"));
  LONGS_EQUAL(3, m_directory.Find("a")->m_provenWeights.at("model"));
}

TEST(Directory, AnUnchangedEntryDoesNotOverrideAGuess)
{
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  m_directory.NoteWeightMismatch("a", "model", 1, 2);
  m_directory.Upsert(MakeEngine("a", 1), kStart);
  LONGS_EQUAL(2, AssumedWeights("a"));
  m_directory.Upsert(MakeEngine("a", 2), kStart);
  LONGS_EQUAL(2, AssumedWeights("a"));
}

TEST(Directory, AnIncarnationMarkedGoneStaysGone)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.MarkGone("a");
  m_directory.Upsert(MakeEngine("a"), kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
}

namespace {

fleet::Endpoint MakeEngineStartedAt(const std::string& aId,
                                    fleet::StartTime aStartTime,
                                    fleet::WeightVersion aVersion)
{
  fleet::Endpoint endpoint = MakeEngine(aId, aVersion);
  endpoint.m_startTime = aStartTime;
  endpoint.m_incarnation = fleet::IncarnationOf(aId, aStartTime);
  return endpoint;
}

} // namespace

TEST(Directory, ARestartedIdKeepsNothingOfItsFormerIncarnation)
{
  fleet::Endpoint leaving = MakeEngineStartedAt("a", 10, 5);
  leaving.m_leaving = true;
  m_directory.Upsert(leaving, kStart);
  m_directory.Remove("a", kStart);
  m_directory.Upsert(MakeEngineStartedAt("a", 20, 3), kStart);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  const fleet::Endpoint* again = m_directory.FindById("a");
  LONGS_EQUAL(20, again->m_startTime);
  LONGS_EQUAL(3, again->m_provenWeights.at("model"));
  POINTERS_EQUAL(nullptr, m_directory.Find(fleet::IncarnationOf("a", 10)));
}

TEST(Directory, ARestartWithoutLeavingReplacesTheFormerIncarnation)
{
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 5), kStart);
  m_directory.Upsert(MakeEngineStartedAt("a", 20, 3), kStart);
  LONGS_EQUAL(1, m_directory.All().size());
  LONGS_EQUAL(3, m_directory.FindById("a")->m_provenWeights.at("model"));
  m_directory.Remove("a", kStart);
  CHECK(m_directory.All().empty());
}

TEST(Directory, AnEntryOfAnEarlierIncarnationIsIgnored)
{
  m_directory.Upsert(MakeEngineStartedAt("a", 20, 3), kStart);
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 5), kStart);
  LONGS_EQUAL(20, m_directory.FindById("a")->m_startTime);
  m_directory.Remove("a", kStart);
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 5), kStart);
  POINTERS_EQUAL(nullptr, m_directory.FindById("a"));
}

TEST(Directory, AnIdMayReturnAfterItsIncarnationWasMarkedGone)
{
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 1), kStart);
  m_directory.MarkGone(fleet::IncarnationOf("a", 10));
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 1), kStart);
  POINTERS_EQUAL(nullptr, m_directory.FindById("a"));
  m_directory.Upsert(MakeEngineStartedAt("a", 11, 1), kStart);
  CHECK(m_directory.FindById("a") != nullptr);
}

TEST(Directory, RemoveUnlistedKeepsTheIncarnationsOfListedIds)
{
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 1), kStart);
  m_directory.Upsert(MakeEngineStartedAt("b", 10, 1), kStart);
  m_directory.RemoveUnlisted({ "a" }, kStart);
  CHECK(m_directory.FindById("a") != nullptr);
  POINTERS_EQUAL(nullptr, m_directory.FindById("b"));
}

TEST(Directory, EndpointsOfAnEvacuatedZoneAreNotUsable)
{
  fleet::Endpoint here = MakeEngine("a");
  here.m_zone = "z1";
  fleet::Endpoint there = MakeEngine("b");
  there.m_zone = "z2";
  m_directory.Upsert(here, kStart);
  m_directory.Upsert(there, kStart);
  CHECK(m_directory.SetEvacuated("z1", true));
  CHECK_FALSE(m_directory.SetEvacuated("z1", true));
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  STRCMP_EQUAL("b", m_directory.Usable("engines")[0]->m_id.c_str());
  LONGS_EQUAL(2, m_directory.All().size()); // they still get new weights
  CHECK(m_directory.SetEvacuated("z1", false));
  LONGS_EQUAL(2, m_directory.Usable("engines").size());
  CHECK_FALSE(m_directory.SetEvacuated("nowhere", false));
}

TEST(Directory, ALaterEntryAtTheSameAddressReplacesTheEarlierOne)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.Upsert(MakeEngine("b"), kStart + 2s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  m_directory.Upsert(MakeEngine("a"), kStart + 3s); // a late heartbeat
  STRCMP_EQUAL("b", m_directory.Usable("engines").at(0)->m_id.c_str());
}

TEST(Directory, EntriesReadTogetherAtOneAddressAreBothKept)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.Upsert(MakeEngine("b"), kStart + 10ms);
  LONGS_EQUAL(2, m_directory.Usable("engines").size());
}

TEST(Directory, AnEntryOfAnotherServiceReplacesNone)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  fleet::Endpoint other = MakeEngine("b");
  other.m_service = "unknown";
  m_directory.Upsert(other, kStart + 2s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
}

TEST(Directory, AnnouncedShutdownIsFinalForTheIncarnation)
{
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 1), kStart);
  CHECK(m_directory.MarkLeaving(fleet::IncarnationOf("a", 10)));
  CHECK_FALSE(m_directory.MarkLeaving(fleet::IncarnationOf("a", 10)));
  CHECK(m_directory.Usable("engines").empty());
  m_directory.Upsert(MakeEngineStartedAt("a", 10, 1), kStart + 1s); // an entry that is read late
  CHECK(m_directory.Usable("engines").empty());
  m_directory.Upsert(MakeEngineStartedAt("a", 11, 1), kStart + 2s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
}

// Entries that expired during an outage return when the source answers again.
TEST(Directory, AnnouncedShutdownOutlastsAnOutageOfTheSource)
{
  m_directory.Upsert(MakeEngine("a"), kStart);
  m_directory.SetOutageEnd(kStart);
  m_directory.Remove("a", kStart + 100ms); // may return for 2 s
  CHECK(m_directory.MarkLeaving("a"));
  m_directory.Expire(kStart + 3s);
  m_directory.Upsert(MakeEngine("a"), kStart + 4s);
  CHECK(m_directory.Usable("engines").empty());
  LONGS_EQUAL(0, m_directory.All().size());
}

TEST(Directory, AnnouncedShutdownOfAnUnlistedEndpointIsKept)
{
  CHECK_FALSE(m_directory.MarkLeaving("a"));
  m_directory.Upsert(MakeEngine("a"), kStart);
  CHECK(m_directory.Usable("engines").empty());
}
