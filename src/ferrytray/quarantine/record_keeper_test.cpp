#include "ferrytray/quarantine/record_keeper.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace ferrytray::quarantine;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart = base::TimePoint() + 100s;

} // namespace

TEST_GROUP(RecordReconciler)
{
  const ContentKey m_request{ 1, 2 };
  CrashTracker m_tracker;
  RecordReconciler m_reconciler;
  WriterRole m_role = WriterRole::NonWriter;

  void BreakConnection(EndpointKey aEndpoint)
  {
    m_tracker.OnConnectionBroken(m_request, aEndpoint, kStart, kStart);
  }
  std::vector<RecordWrite> DueAt(base::Duration aAfter)
  {
    return m_reconciler.DueWrites(
      m_tracker, [this](const ContentKey&) { return m_role; }, kStart + aAfter);
  }
};

TEST(RecordReconciler, TheObservingHostRecordsFromTheSecondCrashOn)
{
  BreakConnection(1);
  m_reconciler.OnLocalObservation(m_request);
  CHECK(DueAt(0s).empty());
  BreakConnection(2);
  m_reconciler.OnLocalObservation(m_request);
  const auto due = DueAt(0s);
  LONGS_EQUAL(1, due.size());
  LONGS_EQUAL(2, due.front().m_suspicion->m_crashedEndpoints.size());
  CHECK(DueAt(10s).empty()); // the write is in progress
  m_reconciler.OnWriteFinished(due.front(), true, kStart);
  CHECK(DueAt(10s).empty());
  LONGS_EQUAL(1, m_reconciler.RecordedContent().size());
}

TEST(RecordReconciler, PrimariesThenReadersRecordWhatOtherHostsObserved)
{
  BreakConnection(1);
  BreakConnection(2);
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(1h).empty()); // a non-writer
  m_role = WriterRole::Primary;
  m_reconciler = RecordReconciler();
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(699ms).empty());
  LONGS_EQUAL(1, DueAt(700ms).size());
  m_role = WriterRole::LogReader;
  m_reconciler = RecordReconciler();
  CHECK(DueAt(0s).empty());
  CHECK(DueAt(2499ms).empty());
  LONGS_EQUAL(1, DueAt(2500ms).size());
}

TEST(RecordReconciler, RetriesAFailedWriteAfterADelay)
{
  BreakConnection(1);
  BreakConnection(2);
  m_reconciler.OnLocalObservation(m_request);
  const auto due = DueAt(0s);
  m_reconciler.OnWriteFinished(due.front(), false, kStart);
  CHECK(DueAt(499ms).empty());
  LONGS_EQUAL(1, DueAt(500ms).size());
}

TEST(RecordReconciler, RemovesTheRecordOfAClearedRequest)
{
  m_reconciler.OnRecordRead(m_request, Suspicion{ { 1, 2, 3 }, false, false });
  m_reconciler.OnLocalObservation(m_request);
  const auto due = DueAt(0s);
  LONGS_EQUAL(1, due.size());
  CHECK_FALSE(due.front().m_suspicion.has_value());
  m_reconciler.OnWriteFinished(due.front(), true, kStart);
  CHECK(m_reconciler.RecordedContent().empty());
  CHECK(DueAt(10s).empty());
}

TEST(RecordReconciler, DoesNotRewriteARecordWrittenByAnotherHost)
{
  BreakConnection(1);
  BreakConnection(2);
  m_role = WriterRole::Primary;
  CHECK(DueAt(0s).empty());
  m_reconciler.OnRecordRead(m_request, Suspicion{ { 1, 2 }, false, false });
  CHECK(DueAt(10s).empty());
  BreakConnection(3);
  CHECK(DueAt(10s).empty());
  LONGS_EQUAL(1, DueAt(11s).size());
}
