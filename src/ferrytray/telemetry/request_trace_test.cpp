#include "ferrytray/telemetry/request_trace.hpp"

#include "ferrytray/telemetry/log_line.hpp" // for LogLine

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using telemetry::ParsedLine;

TEST_GROUP(RequestTrace)
{
  telemetry::RequestTrace m_trace{ "r1" };
};

TEST(RequestTrace, ParsesOutputOfLogLine)
{
  telemetry::LogLine written("attempt_failed");
  written.Add("request", "r1").Add("detail", "No \"error\", at all").Add("sends", 2).Add("why", "");
  const auto line = ParsedLine::Parse("45.1 host-1 " + written.Text());
  CHECK(line.has_value());
  STRCMP_EQUAL("attempt_failed", std::string(line->Value("event")).c_str());
  STRCMP_EQUAL("No \"error\", at all", std::string(line->Value("detail")).c_str());
  STRCMP_EQUAL("2", std::string(line->Value("sends")).c_str());
  CHECK(line->Value("unknown").empty());
  CHECK_FALSE(ParsedLine::Parse("not a line of ours").has_value());
  CHECK(ParsedLine::Parse("event=x y=\"open").has_value());
  CHECK(ParsedLine::Parse("event=").has_value());
}

TEST(RequestTrace, RendersRequestLinesWithPrecedingStateChanges)
{
  for (const char* line : { "event=configuration version=1",
                            "event=configuration version=2",
                            "event=endpoint endpoint=w1 state=usable",
                            "event=endpoint endpoint=w2 state=usable",
                            "event=dependency_lost dependency=record_log",
                            "event=attempt_failed request=r1 endpoint=w1 end=not_run",
                            "event=request request=r2 endpoint=w1",
                            "event=endpoint_removed endpoint=w1",
                            "event=request request=r1 endpoint=w1 outcome=own_answer",
                            "event=configuration version=3" }) {
    m_trace.Add("h1", line);
  }
  m_trace.Add("h2", "event=configuration version=2");
  STRCMP_EQUAL("h1\n"
               "    event=configuration version=2\n"
               "    event=endpoint endpoint=w1 state=usable\n"
               "    event=dependency_lost dependency=record_log\n"
               "  event=attempt_failed request=r1 endpoint=w1 end=not_run\n"
               "    event=endpoint_removed endpoint=w1\n"
               "  event=request request=r1 endpoint=w1 outcome=own_answer\n",
               m_trace.Render().c_str());
}

TEST(RequestTrace, IsEmptyIfNoLineNamesTheRequest)
{
  m_trace.Add("h1", "event=request request=r11");
  m_trace.Add("h1", "rubbish request=r1");
  STRCMP_EQUAL("", m_trace.Render().c_str());
}

TEST(RequestTrace, KeepsOnlyNewestContextLinesOfLongLog)
{
  telemetry::RequestTrace trace("r1", { .m_maxContextLines = 10, .m_contextLinesBefore = 100 });
  for (int i = 0; i < 1000; ++i) {
    trace.Add("h1", "event=configuration version=" + std::to_string(i));
  }
  trace.Add("h1", "event=request request=r1");
  const std::string text = trace.Render();
  CHECK(text.find("version=989\n") == std::string::npos);
  CHECK(text.find("version=990\n") != std::string::npos);
}
