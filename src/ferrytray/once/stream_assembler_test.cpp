#include "ferrytray/once/stream_assembler.hpp"

#include <vector> // for vector

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(StreamAssembler)
{
  once::StreamAssembler m_assembler{ 1000 };
};

TEST(StreamAssembler, DropsChunksOfEarlierAttempts)
{
  m_assembler.Begin(1);
  m_assembler.Begin(2);
  STRCMP_EQUAL("", m_assembler.Accept({ 1, 0, "old", true }).c_str());
  STRCMP_EQUAL("new", m_assembler.Accept({ 2, 0, "new", true }).c_str());
  CHECK(m_assembler.IsComplete());
}

TEST(StreamAssembler, RejectsNewAttemptAfterFirstDelivery)
{
  m_assembler.Begin(1);
  m_assembler.Accept({ 1, 0, "a", false });
  CHECK_FALSE(m_assembler.Begin(2));
}

TEST(StreamAssembler, IsIncompleteWhileAChunkIsMissing)
{
  m_assembler.Begin(1);
  m_assembler.Accept({ 1, 0, "ab", false });
  STRCMP_EQUAL("", m_assembler.Accept({ 1, 4, "ef", true }).c_str());
  CHECK_FALSE(m_assembler.IsComplete());
  CHECK(m_assembler.HasGap());
  LONGS_EQUAL(2, m_assembler.NextOffset());
  STRCMP_EQUAL("cdef", m_assembler.Accept({ 1, 2, "cd", false }).c_str());
  CHECK(m_assembler.IsComplete());
}

// The answer is split into chunks with repeats, overlaps and chunks of an earlier attempt, and
// shuffled; the delivered text must equal the answer.
TEST(StreamAssembler, DeliversTheAnswerOnceForAnyChunkOrder)
{
  const bool holds = rc::check("reassembly", [] {
    const auto answer = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    std::vector<once::StreamChunk> chunks;
    for (std::size_t at = 0; at < answer.size();) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 5);
      const std::string text = answer.substr(at, length);
      chunks.push_back({ 7, at, text, at + text.size() == answer.size() });
      if (*rc::gen::arbitrary<bool>()) {
        const std::size_t back = at - *rc::gen::inRange<std::size_t>(0, at + 1);
        chunks.push_back({ 7, back, answer.substr(back, at + text.size() - back), false });
        chunks.push_back({ 6, at, "stale", true });
      }
      at += text.size();
    }
    for (std::size_t i = chunks.size(); i > 1; --i) {
      std::swap(chunks[i - 1], chunks[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    once::StreamAssembler assembler(1U << 20U);
    assembler.Begin(7);
    std::string delivered;
    for (const auto& chunk : chunks) {
      delivered += assembler.Accept(chunk);
    }
    RC_ASSERT(delivered == answer);
    RC_ASSERT(answer.empty() || assembler.IsComplete());
  });
  CHECK(holds);
}
