#include "ferrytray/fleet/directory.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

fleet::Endpoint Engine(const std::string& aName, fleet::WeightVersion aVersion = 1)
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
  fleet::WeightVersion Believed(const char* aName) const
  {
    return m_directory.Find(aName)->m_weights.at("model");
  }
};

TEST(Directory, LeavingIsFinalForAnIncarnation)
{
  fleet::Endpoint leaving = Engine("a");
  leaving.m_leaving = true;
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.Upsert(leaving, kStart);
  m_directory.Upsert(Engine("a"), kStart);
  CHECK(m_directory.Usable("engines").empty());
  m_directory.Remove("a", kStart);
  m_directory.Upsert(Engine("a"), kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
}

TEST(Directory, AnEntryThatLapsedWhileTheSourceWasAwayMayComeBack)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.OnSourceBack(kStart);
  m_directory.Remove("a", kStart + 100ms);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  m_directory.Upsert(Engine("a"), kStart + 1s);
  m_directory.Expire(kStart + 5s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
}

TEST(Directory, AnEntryThatIsStillMissingAfterTheWindowIsGone)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.OnSourceBack(kStart);
  m_directory.Remove("a", kStart + 100ms);
  m_directory.Expire(kStart + 2s);
  CHECK(m_directory.Usable("engines").empty());
}

TEST(Directory, ARemovalWithTheSourceInTouchHoldsAtOnce)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.OnSourceBack(kStart);
  m_directory.Remove("a", kStart + 3s);
  CHECK(m_directory.Usable("engines").empty());
}

TEST(Directory, AReloadRemovesWhatItDoesNotList)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.Upsert(Engine("b"), kStart);
  m_directory.KeepOnly({ "b" }, kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
  CHECK(m_directory.Find("b") != nullptr);
}

TEST(Directory, WeightsNeverGoBackWithinAnIncarnation)
{
  m_directory.Upsert(Engine("a", 1), kStart);
  m_directory.NoteWeights("a", "model", 3);
  m_directory.Upsert(Engine("a", 2), kStart);
  LONGS_EQUAL(3, Believed("a"));
}

TEST(Directory, ARefusalForOtherWeightsIsAGuessNotAProof)
{
  m_directory.Upsert(Engine("a", 1), kStart);
  m_directory.NoteOtherWeights("a", "model", 1, 3);
  LONGS_EQUAL(3, Believed("a"));
  LONGS_EQUAL(1, m_directory.Find("a")->m_provenWeights.at("model"));
  // The newest was not it either.
  m_directory.NoteOtherWeights("a", "model", 3, 3);
  LONGS_EQUAL(2, Believed("a"));
  // A late refusal of a request that named something else changes nothing.
  m_directory.NoteOtherWeights("a", "model", 1, 3);
  LONGS_EQUAL(2, Believed("a"));
}

// Load: whoever announced a load stood still before it gave the order, and newer weights were
// named.
TEST(Directory, AnEngineThatDidNotLoadWhatWasAnnouncedIsFoundAgainByItsProvenWeights)
{
  m_directory.Upsert(Engine("a", 1), kStart);
  m_directory.NoteExpectedWeights("a", "model", 2);
  LONGS_EQUAL(2, Believed("a"));
  m_directory.NoteOtherWeights("a", "model", 2, 3);
  LONGS_EQUAL(1, Believed("a"));
}

TEST(Directory, WhenAllGuessesWereWrongTheyAreMadeAnew)
{
  m_directory.Upsert(Engine("a", 1), kStart);
  m_directory.NoteOtherWeights("a", "model", 1, 2);
  LONGS_EQUAL(2, Believed("a"));
  m_directory.NoteOtherWeights("a", "model", 2, 2);
  LONGS_EQUAL(1, Believed("a"));
  m_directory.NoteOtherWeights("a", "model", 1, 2);
  LONGS_EQUAL(2, Believed("a"));
}

TEST(Directory, ExpectedWeightsProveNothingAndTakeNothingBack)
{
  m_directory.Upsert(Engine("a", 3), kStart);
  m_directory.NoteExpectedWeights("a", "model", 2);
  LONGS_EQUAL(3, Believed("a"));
  m_directory.NoteExpectedWeights("a", "model", 4);
  LONGS_EQUAL(4, Believed("a"));
  LONGS_EQUAL(3, m_directory.Find("a")->m_provenWeights.at("model"));
}

TEST(Directory, AnEntryWithoutNewsDoesNotOverruleAGuess)
{
  m_directory.Upsert(Engine("a", 1), kStart);
  m_directory.NoteOtherWeights("a", "model", 1, 2);
  m_directory.Upsert(Engine("a", 1), kStart);
  LONGS_EQUAL(2, Believed("a"));
  m_directory.Upsert(Engine("a", 2), kStart);
  LONGS_EQUAL(2, Believed("a"));
}

TEST(Directory, AnIncarnationWhoseAddressAnotherHasIsGoneForGood)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.MarkGone("a");
  m_directory.Upsert(Engine("a"), kStart);
  POINTERS_EQUAL(nullptr, m_directory.Find("a"));
}

namespace {

fleet::Endpoint Born(const std::string& aId, fleet::BirthTime aBorn, fleet::WeightVersion aVersion)
{
  fleet::Endpoint endpoint = Engine(aId, aVersion);
  endpoint.m_born = aBorn;
  endpoint.m_incarnation = fleet::IncarnationOf(aId, aBorn);
  return endpoint;
}

} // namespace

TEST(Directory, AnIdMayComeBackAndNothingOfItsFormerLifeIsKept)
{
  fleet::Endpoint leaving = Born("a", 10, 5);
  leaving.m_leaving = true;
  m_directory.Upsert(leaving, kStart);
  m_directory.Remove("a", kStart);
  m_directory.Upsert(Born("a", 20, 3), kStart);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  const fleet::Endpoint* again = m_directory.FindById("a");
  LONGS_EQUAL(20, again->m_born);
  LONGS_EQUAL(3, again->m_provenWeights.at("model"));
  POINTERS_EQUAL(nullptr, m_directory.Find(fleet::IncarnationOf("a", 10)));
}

TEST(Directory, AnIdThatStartsAnewWithoutLeavingReplacesItself)
{
  m_directory.Upsert(Born("a", 10, 5), kStart);
  m_directory.Upsert(Born("a", 20, 3), kStart);
  LONGS_EQUAL(1, m_directory.All().size());
  LONGS_EQUAL(3, m_directory.FindById("a")->m_provenWeights.at("model"));
  m_directory.Remove("a", kStart);
  CHECK(m_directory.All().empty());
}

TEST(Directory, AnEntryOfAnEarlierLifeChangesNothing)
{
  m_directory.Upsert(Born("a", 20, 3), kStart);
  m_directory.Upsert(Born("a", 10, 5), kStart);
  LONGS_EQUAL(20, m_directory.FindById("a")->m_born);
  m_directory.Remove("a", kStart);
  m_directory.Upsert(Born("a", 10, 5), kStart);
  POINTERS_EQUAL(nullptr, m_directory.FindById("a"));
}

TEST(Directory, ALifeThatWasReplacedAtItsAddressStaysGoneAndItsIdMayReturn)
{
  m_directory.Upsert(Born("a", 10, 1), kStart);
  m_directory.MarkGone(fleet::IncarnationOf("a", 10));
  m_directory.Upsert(Born("a", 10, 1), kStart);
  POINTERS_EQUAL(nullptr, m_directory.FindById("a"));
  m_directory.Upsert(Born("a", 11, 1), kStart);
  CHECK(m_directory.FindById("a") != nullptr);
}

TEST(Directory, AListOfIdsKeepsTheLivesThatTheyHave)
{
  m_directory.Upsert(Born("a", 10, 1), kStart);
  m_directory.Upsert(Born("b", 10, 1), kStart);
  m_directory.KeepOnly({ "a" }, kStart);
  CHECK(m_directory.FindById("a") != nullptr);
  POINTERS_EQUAL(nullptr, m_directory.FindById("b"));
}

TEST(Directory, AnEvacuatedZoneGetsNothingNewUntilThatIsTakenBack)
{
  fleet::Endpoint here = Engine("a");
  here.m_zone = "z1";
  fleet::Endpoint there = Engine("b");
  there.m_zone = "z2";
  m_directory.Upsert(here, kStart);
  m_directory.Upsert(there, kStart);
  CHECK(m_directory.SetEvacuated("z1", true));
  CHECK_FALSE(m_directory.SetEvacuated("z1", true));
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  STRCMP_EQUAL("b", m_directory.Usable("engines")[0]->m_id.c_str());
  LONGS_EQUAL(2, m_directory.All().size()); // weights still come to them
  CHECK(m_directory.SetEvacuated("z1", false));
  LONGS_EQUAL(2, m_directory.Usable("engines").size());
  CHECK_FALSE(m_directory.SetEvacuated("nowhere", false));
}

TEST(Directory, WhoeverIsListedLaterAtAnAddressHasTakenItsPlace)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.Upsert(Engine("b"), kStart + 2s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
  m_directory.Upsert(Engine("a"), kStart + 3s); // a heartbeat that was written late
  STRCMP_EQUAL("b", m_directory.Usable("engines").at(0)->m_id.c_str());
}

TEST(Directory, OfTwoAtOneAddressThatAreReadTogetherBothAreKept)
{
  m_directory.Upsert(Engine("a"), kStart);
  m_directory.Upsert(Engine("b"), kStart + 10ms);
  LONGS_EQUAL(2, m_directory.Usable("engines").size());
}

TEST(Directory, AnEntryOfAnotherServiceTakesNobodysPlace)
{
  m_directory.Upsert(Engine("a"), kStart);
  fleet::Endpoint other = Engine("b");
  other.m_service = "unknown";
  m_directory.Upsert(other, kStart + 2s);
  LONGS_EQUAL(1, m_directory.Usable("engines").size());
}
