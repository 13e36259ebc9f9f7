#include "ferrytray/quarantine/record_keeper.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::quarantine;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(RecordKeeper)
{
  const RequestKey m_request{ 1, 2 };
  CrashBoard m_board;
  RecordKeeper m_keeper;
  WriterRank m_rank = WriterRank::Other;

  void Break(EndpointKey aEndpoint)
  {
    m_board.OnBroken(m_request, aEndpoint, kStart, kStart);
  }
  std::vector<RecordWrite> DueAt(base::Duration aAfter)
  {
    return m_keeper.Due(
      m_board, [this](const RequestKey&) { return m_rank; }, kStart + aAfter);
  }
};

TEST(RecordKeeper, OneEndIsNotRecordedAndASecondOneIsAtOnceByWhoSawIt)
{
  Break(1);
  m_keeper.OnOwn(m_request);
  CHECK(DueAt(0s).empty());
  Break(2);
  m_keeper.OnOwn(m_request);
  const auto due = DueAt(0s);
  LONGS_EQUAL(1, due.size());
  LONGS_EQUAL(2, due.front().m_suspicion->m_ends.size());
  CHECK(DueAt(10s).empty()); // while it is being written
  m_keeper.OnWritten(due.front(), true, kStart);
  CHECK(DueAt(10s).empty());
  LONGS_EQUAL(1, m_keeper.There().size());
}

TEST(RecordKeeper, WhatOnlyOthersSawIsRecordedByTheFirstHostsThenByReaders)
{
  Break(1);
  Break(2);
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(1h).empty()); // a host that is neither
  m_rank = WriterRank::First;
  m_keeper = RecordKeeper();
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(699ms).empty());
  LONGS_EQUAL(1, DueAt(700ms).size());
  m_rank = WriterRank::Reader;
  m_keeper = RecordKeeper();
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(2499ms).empty());
  LONGS_EQUAL(1, DueAt(2500ms).size());
}

TEST(RecordKeeper, AWriteThatFailedIsRepeatedAfterARest)
{
  Break(1);
  Break(2);
  m_keeper.OnOwn(m_request);
  const auto due = DueAt(0s);
  m_keeper.OnWritten(due.front(), false, kStart);
  CHECK(DueAt(499ms).empty());
  LONGS_EQUAL(1, DueAt(500ms).size());
}

TEST(RecordKeeper, WhatIsClearedIsRemoved)
{
  m_keeper.OnThere(m_request, Suspicion{ { 1, 2, 3 }, false, false });
  m_keeper.OnOwn(m_request);
  const auto due = DueAt(0s);
  LONGS_EQUAL(1, due.size());
  CHECK_FALSE(due.front().m_suspicion.has_value());
  m_keeper.OnWritten(due.front(), true, kStart);
  CHECK(m_keeper.There().empty());
  CHECK(DueAt(10s).empty());
}

TEST(RecordKeeper, ARecordThatAnotherHostWroteIsNotWrittenAgain)
{
  Break(1);
  Break(2);
  m_rank = WriterRank::First;
  CHECK(DueAt(0s).empty());
  m_keeper.OnThere(m_request, Suspicion{ { 1, 2 }, false, false });
  CHECK(DueAt(10s).empty());
  Break(3);
  CHECK(DueAt(10s).empty());
  LONGS_EQUAL(1, DueAt(11s).size());
}
