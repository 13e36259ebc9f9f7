#include "ferrytray/quarantine/quarantine_rule.hpp"

#include <algorithm> // for next_permutation, sort
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray::quarantine;

TEST_GROUP(QuarantineRule)
{
  const ContentKey m_crashing{ 1, 1 };
  const ContentKey m_shared{ 1, 3 };
  const ContentKey m_other{ 1, 5 };

  static std::set<ContentKey> Select(std::vector<std::pair<ContentKey, Suspicion>> aEvidence)
  {
    std::vector<Suspect> suspects;
    for (const auto& [content, suspicion] : aEvidence) {
      suspects.push_back({ content, &suspicion });
    }
    return SelectQuarantined(suspects, {});
  }
};

TEST(QuarantineRule, ThresholdDependsOnEarlierAnswers)
{
  CHECK(Select({ { m_crashing, { { 1, 2 }, false, 0 } } }).empty());
  CHECK(Select({ { m_crashing, { { 1, 2, 3 }, false, 0 } } }).contains(m_crashing));
  CHECK(Select({ { m_crashing, { { 1, 2, 3, 4 }, true, 0 } } }).empty());
  CHECK(Select({ { m_crashing, { { 1, 2, 3, 4, 5 }, true, 0 } } }).contains(m_crashing));
}

TEST(QuarantineRule, ContentWithMoreCrashesExplainsThoseOfOthers)
{
  const auto quarantined = Select(
    { { m_crashing, { { 1, 2, 3, 4 }, false, 0 } }, { m_shared, { { 1, 2, 3 }, false, 0 } } });
  CHECK(quarantined.contains(m_crashing));
  CHECK_FALSE(quarantined.contains(m_shared));
}

TEST(QuarantineRule, UnexplainedCrashesStillCount)
{
  const auto quarantined = Select({ { m_crashing, { { 1, 2, 3, 4, 5, 6, 7 }, false, 0 } },
                                    { m_shared, { { 1, 2, 8, 9, 10 }, false, 0 } } });
  LONGS_EQUAL(2, quarantined.size());
}

TEST(QuarantineRule, ContentThatWasNeverAnsweredExplainsCrashesOfAnsweredContent)
{
  // The answered content was running at two more endpoints that crashed.
  const auto quarantined = Select(
    { { m_shared, { { 1, 2, 3, 4, 5 }, true, 0 } }, { m_crashing, { { 1, 2, 3 }, false, 0 } } });
  CHECK(quarantined.contains(m_crashing));
  CHECK_FALSE(quarantined.contains(m_shared));
}

TEST(QuarantineRule, AnsweredContentExplainsNothing)
{
  // A popular answer runs at all endpoints.
  const auto quarantined = Select({ { m_shared, { { 1, 2, 3, 4, 5, 6, 7, 8 }, true, 0 } },
                                    { m_crashing, { { 1, 2, 3 }, false, 0 } },
                                    { m_other, { { 4, 5, 6 }, false, 0 } } });
  CHECK(quarantined.contains(m_crashing));
  CHECK(quarantined.contains(m_other));
  CHECK_FALSE(quarantined.contains(m_shared));
}

TEST(QuarantineRule, WholeRequestExplainsThePartsThatOnlyItHas)
{
  const ContentKey request{ 1, 2 };
  const auto quarantined =
    Select({ { m_crashing, { { 1, 2, 3 }, false, 0 } }, { request, { { 1, 2, 3 }, false, 0 } } });
  CHECK(quarantined == std::set<ContentKey>{ request });
}

TEST(QuarantineRule, SoundContentIsReleasedWithTheNextCrash)
{
  // Of equals one is selected.
  LONGS_EQUAL(1,
              Select({ { m_crashing, { { 1, 2, 3 }, false, 0 } },
                       { m_shared, { { 1, 2, 4 }, false, 0 } },
                       { m_other, { { 1, 3, 4 }, false, 0 } } })
                .size());
  const auto quarantined = Select({ { m_crashing, { { 1, 2, 3, 5 }, false, 0 } },
                                    { m_shared, { { 1, 2, 4 }, false, 0 } },
                                    { m_other, { { 1, 3, 4 }, false, 0 } } });
  CHECK(quarantined == std::set<ContentKey>{ m_crashing });
}

TEST(QuarantineRule, ManyCrashesAreQuarantinedAlthoughExplained)
{
  const Suspicion most{ { 1, 2, 3, 4, 5, 6 }, false, 0 };
  CHECK_FALSE(Select({ { m_shared, most }, { m_crashing, { { 1, 2, 3, 4 }, false, 0 } } })
                .contains(m_crashing));
  CHECK(Select({ { m_shared, most }, { m_crashing, { { 1, 2, 3, 4, 5 }, false, 0 } } })
          .contains(m_crashing));
  CHECK_FALSE(Select({ { m_crashing, most }, { m_shared, { { 1, 2, 3, 4, 5 }, true, 0 } } })
                .contains(m_shared));
}

TEST(QuarantineRule, OrderOfSuspectsDoesNotMatter)
{
  std::vector<std::pair<ContentKey, Suspicion>> evidence{
    { m_crashing, { { 1, 2, 3, 4 }, false, 0 } },
    { m_shared, { { 1, 2, 3 }, false, 0 } },
    { m_other, { { 1, 2, 3, 4, 5 }, true, 0 } }
  };
  const auto expected = Select(evidence);
  std::sort(evidence.begin(), evidence.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  const auto byKey = [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  };
  while (std::next_permutation(evidence.begin(), evidence.end(), byKey)) {
    CHECK(Select(evidence) == expected);
  }
}
