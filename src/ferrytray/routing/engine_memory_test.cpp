#include "ferrytray/routing/engine_memory.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using routing::HasRoom;
using routing::PromptSize;

namespace {

// Sizes in tokens; the engine has a typical amount of memory.
constexpr std::uint64_t kMemory = 70'000;
constexpr std::uint32_t kLong = 12'000;
constexpr std::uint32_t kShort = 2400;

} // namespace

TEST_GROUP(EngineMemory){};

TEST(EngineMemory, WorkGrowsWithPromptTokens)
{
  LONGS_EQUAL(2, routing::WorkOf(0));
  LONGS_EQUAL(4, routing::WorkOf(300));
  LONGS_EQUAL(95, routing::WorkOf(kLong));
}

TEST(EngineMemory, PromptSizeIsRelativeToEngineMemory)
{
  CHECK(routing::ClassifyPrompt(kShort, kMemory) == PromptSize::Short);
  CHECK(routing::ClassifyPrompt(kLong, kMemory) == PromptSize::Long);
  CHECK(routing::ClassifyPrompt(kLong, 10 * kMemory) == PromptSize::Short);
}

TEST(EngineMemory, EngineFullOfLongPromptsStillAdmitsShortOnes)
{
  routing::Work open = 0;
  int begun = 0;
  while (HasRoom(PromptSize::Long, open, kMemory)) {
    open += routing::WorkOf(kLong);
    ++begun;
  }
  LONGS_EQUAL(5, begun);
  CHECK(HasRoom(PromptSize::Short, open, kMemory));
}

TEST(EngineMemory, AdmissionIgnoresThePromptsOwnLength)
{
  const routing::Work open = routing::WorkOf(4 * kLong);
  CHECK(HasRoom(routing::ClassifyPrompt(kLong, kMemory), open, kMemory));
  CHECK(HasRoom(routing::ClassifyPrompt(3 * kLong, kMemory), open, kMemory));
}
