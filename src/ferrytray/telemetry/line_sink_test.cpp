#include "ferrytray/telemetry/line_sink.hpp"

#include <array>    // for array
#include <unistd.h> // for pipe, read

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(LineSink)
{
  std::array<int, 2> m_pipe{};
  void setup() override
  {
    LONGS_EQUAL(0, pipe(m_pipe.data()));
  }
  void teardown() override
  {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }
  std::string ReadAll() const
  {
    std::array<char, 1U << 16U> buffer{};
    const ssize_t bytesRead = read(m_pipe[0], buffer.data(), buffer.size());
    return { buffer.data(), static_cast<std::size_t>(bytesRead > 0 ? bytesRead : 0) };
  }
};

TEST(LineSink, DropsAndCountsLinesWithoutBlockingOnSlowReader)
{
  telemetry::BoundedSink sink(m_pipe[1], 1000);
  const std::string line(99, 'x');
  for (int i = 0; i < 100'000; ++i) { // far more than the pipe and the buffer hold
    sink.Write(line);
    sink.Flush();
  }
  CHECK(sink.Dropped() > 90'000);
  ReadAll();
  sink.Flush();
  sink.Flush();
  CHECK(ReadAll().find("event=log_dropped lines=") != std::string::npos);
}

TEST(LineSink, WritesCompleteLinesInOrder)
{
  telemetry::BoundedSink sink(m_pipe[1], 1000);
  sink.Write("a");
  sink.Write("b");
  sink.Flush();
  STRCMP_EQUAL("a\nb\n", ReadAll().c_str());
}
