#include "ferrytray/relay/reply_body.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using net::WireEnd;
using relay::ReplyBody;

namespace {

constexpr std::size_t kMaxBytes = 100;

} // namespace

TEST_GROUP(ReplyBody){ static bool IsComplete(ReplyBody aBody,
                                              std::string_view aBytes,
                                              WireEnd aEnd){ aBody.Append(aBytes);
return aBody.IsComplete(aEnd);
}
static ReplyBody Json()
{
  return ReplyBody::Plain({ { "Content-Type", "application/json" } }, kMaxBytes);
}
static ReplyBody Text()
{
  return ReplyBody::Plain({ { "content-type", "text/plain" } }, kMaxBytes);
}
static ReplyBody Events(std::optional<std::uint64_t> aResumeAfter = {})
{
  return ReplyBody::EventStream(aResumeAfter, kMaxBytes);
}
}
;

// Regression: callers got truncated streams as complete ones, since the close of the connection was
// taken for the end of the reply.
TEST(ReplyBody, EventStreamThatEndsWithinEventIsTruncated)
{
  for (const WireEnd end : { WireEnd::Complete, WireEnd::Closed, WireEnd::BrokenReply }) {
    CHECK_FALSE(IsComplete(Events(), "id: 1\ndata: a\n\nid: 2\nda", end));
    CHECK_FALSE(IsComplete(Events(), "id: 1\ndata: a\n\nid: 2\ndata: b\n", end));
  }
}

TEST(ReplyBody, EventStreamThatEndsBetweenEventsIsComplete)
{
  for (const WireEnd end : { WireEnd::Complete, WireEnd::Closed }) {
    CHECK(IsComplete(Events(), "id: 1\ndata: a\n\n", end));
    CHECK(IsComplete(Events(), "id: 1\r\ndata: a\r\n\r\n: comment\r\n", end));
  }
  CHECK_FALSE(IsComplete(Events(), "id: 1\ndata: a\n\n", WireEnd::BrokenReply));
}

TEST(ReplyBody, ClosedEventStreamWithoutEventIsTruncated)
{
  CHECK_FALSE(IsComplete(Events(), "", WireEnd::Closed));
  CHECK(IsComplete(Events(), "", WireEnd::Complete));
}

TEST(ReplyBody, ResumedEventStreamMayHaveNoFurtherEvent)
{
  CHECK(IsComplete(Events(7), "", WireEnd::Closed));
  CHECK(IsComplete(Events(7), "id: 7\ndata: a\n\n", WireEnd::Closed));
}

TEST(ReplyBody, ClosedJsonMustParse)
{
  CHECK_FALSE(IsComplete(Json(), R"({"a":[1,2)", WireEnd::Closed));
  CHECK_FALSE(IsComplete(Json(), "", WireEnd::Closed));
  CHECK(IsComplete(Json(), R"({"a":[1,2]})", WireEnd::Closed));
  CHECK(IsComplete(Json(), R"({"a":[1,2)", WireEnd::Complete));
  CHECK_FALSE(IsComplete(
    ReplyBody::Plain({ { "Content-Type", "Application/Problem+JSON; charset=utf-8" } }, 9),
    "{",
    WireEnd::Closed));
}

TEST(ReplyBody, OtherContentIsCompleteUnlessConnectionFailed)
{
  CHECK(IsComplete(Text(), "te", WireEnd::Closed));
  CHECK(IsComplete(Text(), "", WireEnd::Closed));
  CHECK(IsComplete(Text(), "text", WireEnd::Complete));
  for (const WireEnd end : { WireEnd::BrokenReply, WireEnd::NoReply, WireEnd::NotSent }) {
    CHECK_FALSE(IsComplete(Text(), "text", end));
  }
}

TEST(ReplyBody, LimitAppliesToHeldBytes)
{
  const std::string most(kMaxBytes, 'x');
  ReplyBody plain = Text();
  plain.Append(most);
  CHECK_FALSE(plain.IsTooLarge());
  plain.Append("x");
  CHECK(plain.IsTooLarge());

  ReplyBody events = Events();
  for (int i = 0; i < 3; ++i) {
    events.Append("data: " + most + "\n\n");
    CHECK_FALSE(events.IsTooLarge());
  }
  events.Append("data: " + most);
  CHECK(events.IsTooLarge());
}

TEST(ReplyBody, ContentTypeDecidesWhetherBodyMayBeEventStream)
{
  CHECK(relay::MayBeEventStream({}));
  CHECK(relay::MayBeEventStream({ { "Content-Type", "text/event-stream; charset=utf-8" } }));
  CHECK_FALSE(relay::MayBeEventStream({ { "Content-Type", "application/json" } }));
}
