#include "ferrytray/relay/event_splitter.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(EventSplitter){};

TEST(EventSplitter, EmitsOnlyCompleteEventsForAnySplit)
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    relay::EventSplitter splitter;
    auto first = splitter.Feed(std::string_view(stream).substr(0, cut));
    CHECK(first.m_bytes.empty() || first.m_bytes.ends_with("\n\n"));
    auto second = splitter.Feed(std::string_view(stream).substr(cut));
    STRCMP_EQUAL(stream.c_str(), (first.m_bytes + second.m_bytes).c_str());
    CHECK(splitter.Remainder().empty());
  }
}

TEST(EventSplitter, ReportsLastIdAndBuffersPartialEvent)
{
  relay::EventSplitter splitter;
  const auto events = splitter.Feed("weight-versions: 2\nid: 7\ndata: a\n\nid: 8\nda");
  CHECK(events.m_lastId == std::optional<std::uint64_t>(7));
  STRCMP_EQUAL("id: 8\nda", splitter.Remainder().c_str());
}

TEST(EventSplitter, SkipsEventsUpToResumeId)
{
  relay::EventSplitter splitter(2);
  const auto events = splitter.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  STRCMP_EQUAL("id: 3\ndata: c\n\n", events.m_bytes.c_str());
}

TEST(EventSplitter, ForwardsEventWithoutId)
{
  relay::EventSplitter splitter(2);
  STRCMP_EQUAL("data: x\n\n", splitter.Feed("data: x\n\n").m_bytes.c_str());
}
