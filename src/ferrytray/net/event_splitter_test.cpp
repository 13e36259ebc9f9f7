#include "ferrytray/net/event_splitter.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using net::EventSplitter;

namespace {

/// Two events and a comment, with the line end repeated as the stream names it.
std::string TwoEvents(const std::string& aLineEnd)
{
  return "id: 1" + aLineEnd + "data: a" + aLineEnd + aLineEnd + ": comment" + aLineEnd + "id: 2" +
         aLineEnd + "data: b" + aLineEnd + aLineEnd;
}

const std::vector<std::string> kLineEnds{ "\n", "\r\n", "\r" };

} // namespace

TEST_GROUP(EventSplitter){
  /// Feeds one byte at a time. @return the complete events
  static std::string FeedBytes(EventSplitter & aSplitter,
                               std::string_view aBytes){ std::string complete;
for (const char byte : aBytes) {
  complete += aSplitter.Feed(std::string_view(&byte, 1)).m_bytes;
}
return complete;
}
}
;

TEST(EventSplitter, EmitsOnlyCompleteEventsForAnySplit)
{
  for (const std::string& lineEnd : kLineEnds) {
    const std::string stream = TwoEvents(lineEnd);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
      EventSplitter splitter;
      const auto first = splitter.Feed(std::string_view(stream).substr(0, cut));
      CHECK(first.m_bytes.empty() || first.m_bytes.ends_with('\n') ||
            first.m_bytes.ends_with('\r'));
      const auto second = splitter.Feed(std::string_view(stream).substr(cut));
      STRCMP_EQUAL(stream.c_str(), (first.m_bytes + second.m_bytes).c_str());
      CHECK(splitter.Remainder().empty());
      CHECK_FALSE(splitter.IsInsideEvent());
    }
  }
}

// Regression: a stream with CR LF was held back up to its end.
TEST(EventSplitter, EmitsEachEventWhenItsBlankLineArrives)
{
  for (const std::string& lineEnd : kLineEnds) {
    EventSplitter splitter;
    const std::string event = "id: 1" + lineEnd + "data: a" + lineEnd;
    CHECK(splitter.Feed(event).m_bytes.empty());
    STRCMP_EQUAL((event + lineEnd).c_str(), splitter.Feed(lineEnd).m_bytes.c_str());
  }
}

TEST(EventSplitter, AcceptsMixedLineEnds)
{
  const std::string stream = "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\n\rid: 3\n\n";
  EventSplitter whole;
  const auto events = whole.Feed(stream);
  STRCMP_EQUAL(stream.c_str(), events.m_bytes.c_str());
  CHECK(events.m_lastId == std::optional<std::uint64_t>(3));
  EventSplitter split;
  STRCMP_EQUAL(stream.c_str(), FeedBytes(split, stream).c_str());
  CHECK_FALSE(split.IsInsideEvent());
}

TEST(EventSplitter, ReportsLastIdAndBuffersPartialEvent)
{
  EventSplitter splitter;
  const auto events = splitter.Feed("weight-versions: 2\nid: 7\ndata: a\n\nid: 8\nda");
  CHECK(events.m_lastId == std::optional<std::uint64_t>(7));
  STRCMP_EQUAL("id: 8\nda", splitter.Remainder().c_str());
  CHECK(splitter.IsInsideEvent());
}

TEST(EventSplitter, FieldWithoutBlankLineIsInsideEvent)
{
  for (const std::string& lineEnd : kLineEnds) {
    EventSplitter splitter;
    splitter.Feed("data: a" + lineEnd);
    CHECK(splitter.IsInsideEvent());
    splitter.Feed(lineEnd);
    CHECK_FALSE(splitter.IsInsideEvent());
  }
}

TEST(EventSplitter, LineWithoutEndIsInsideEvent)
{
  EventSplitter splitter;
  splitter.Feed("id: 1\n\n: comm");
  CHECK(splitter.IsInsideEvent());
}

TEST(EventSplitter, CommentsAndBlankLinesAreOutsideEvents)
{
  EventSplitter splitter;
  STRCMP_EQUAL("\n", splitter.Feed("\n").m_bytes.c_str());
  splitter.Feed("id: 1\ndata: a\n\n: comment\n");
  CHECK_FALSE(splitter.IsInsideEvent());
  STRCMP_EQUAL(": comment\n", splitter.Remainder().c_str());
}

TEST(EventSplitter, SkipsEventsUpToResumeId)
{
  for (const std::string& lineEnd : kLineEnds) {
    const std::string skipped = "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd;
    const std::string kept = "id: 3" + lineEnd + "data: c" + lineEnd + lineEnd;
    EventSplitter whole(2);
    STRCMP_EQUAL(kept.c_str(), whole.Feed(skipped + kept).m_bytes.c_str());
    EventSplitter split(2);
    STRCMP_EQUAL(kept.c_str(), FeedBytes(split, skipped + kept).c_str());
  }
}

TEST(EventSplitter, ForwardsEventWithoutId)
{
  EventSplitter splitter(2);
  STRCMP_EQUAL("data: x\n\n", splitter.Feed("data: x\n\n").m_bytes.c_str());
}

TEST(EventSplitter, ReportsEventsWithoutIdAfterLastId)
{
  EventSplitter splitter;
  CHECK_FALSE(splitter.Feed("data: a\n\nid: 1\n\n").m_endsWithoutId);
  CHECK_FALSE(splitter.Feed(": comment\n\n").m_endsWithoutId);
  CHECK(splitter.Feed("id: 2\n\ndata: b\n\n: comment\n\n").m_endsWithoutId);
}

TEST(EventSplitter, IgnoresByteOrderMarkBeforeFirstLine)
{
  EventSplitter splitter;
  CHECK(splitter.Feed("\xEF\xBB\xBFid: 4\n\n").m_lastId == std::optional<std::uint64_t>(4));
}

// A scan from the start of the event for each piece would take hours here.
TEST(EventSplitter, ScansLargeEventInSmallPiecesOnce)
{
  constexpr std::size_t kBytes = 8U << 20U;
  EventSplitter splitter;
  for (std::size_t i = 0; i < kBytes; ++i) {
    splitter.Feed("x");
  }
  LONGS_EQUAL(kBytes + 2, splitter.Feed("\n\n").m_bytes.size());
}
