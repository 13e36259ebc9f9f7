#include "ferrytray/peers/fallback_reader.hpp"

#include <array> // for array

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using peers::Peer;

namespace {

const base::TimePoint kStart = base::TimePoint(base::Duration(1'000'000));

} // namespace

TEST_GROUP(FallbackReader)
{
  peers::FallbackReader m_fallback;
  std::array<Peer, 3> m_readers{
    { { "a", "z", "a:1", 1 }, { "b", "z", "b:1", 1 }, { "c", "z", "c:1", 1 } }
  };

  std::string Pick(bool aLogLost, base::Duration aAfter, const std::string& aSource = "")
  {
    const auto peer = m_fallback.Pick(m_readers, aSource, aLogLost, kStart + aAfter);
    return peer ? peer->m_name : "";
  }
};

TEST(FallbackReader, PicksNoReaderWhileTheLogIsReachable)
{
  STRCMP_EQUAL("", Pick(false, 0s).c_str());
}

TEST(FallbackReader, TriesReadersInTurnUntilOneHasRecords)
{
  STRCMP_EQUAL("b", Pick(true, 0s, "a").c_str());
  STRCMP_EQUAL("", Pick(true, 300ms, "a").c_str());
  m_fallback.OnAnswer("b", false);
  STRCMP_EQUAL("c", Pick(true, 600ms, "a").c_str());
  m_fallback.OnAnswer("c", true);
  STRCMP_EQUAL("c", Pick(true, 900ms, "a").c_str());
}

TEST(FallbackReader, KeepsTheReaderForTheHoldTimeAfterTheLogRecovers)
{
  STRCMP_EQUAL("a", Pick(true, 0s).c_str());
  m_fallback.OnAnswer("a", true);
  STRCMP_EQUAL("a", Pick(false, 300ms).c_str());
  STRCMP_EQUAL("a", Pick(false, 3900ms).c_str());
  STRCMP_EQUAL("", Pick(false, 4s).c_str());
  CHECK_FALSE(m_fallback.IsActive());
}

TEST(FallbackReader, PicksAnotherReaderWhenTheCurrentOneLosesTheLog)
{
  STRCMP_EQUAL("a", Pick(true, 0s).c_str());
  m_fallback.OnAnswer("a", true);
  m_fallback.OnAnswer("a", false);
  STRCMP_EQUAL("b", Pick(true, 700ms).c_str());
}
