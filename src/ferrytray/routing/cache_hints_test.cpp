#include "ferrytray/routing/cache_hints.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

std::vector<base::Digest128> Blocks(std::uint64_t aFirst, std::uint64_t aCount)
{
  std::vector<base::Digest128> blocks;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    blocks.push_back({ 1, aFirst + i });
  }
  return blocks;
}

} // namespace

TEST_GROUP(CacheHints)
{
  routing::CacheHints m_hints{ 10 };
};

TEST(CacheHints, EvictsTheLeastRecentlyUsedBlocksBeyondTheLimit)
{
  m_hints.OnRunCompleted("w", Blocks(0, 4));
  LONGS_EQUAL(4, m_hints.CachedPrefix("w", Blocks(0, 6)));
  m_hints.OnRunCompleted("w", Blocks(100, 10));
  LONGS_EQUAL(0, m_hints.CachedPrefix("w", Blocks(0, 6)));
}

TEST(CacheHints, ReportedCachedPrefixRemovesMissingBlocks)
{
  m_hints.OnRunCompleted("w", Blocks(0, 6));
  m_hints.OnCachedPrefixReported("w", Blocks(0, 6), 2);
  LONGS_EQUAL(2, m_hints.CachedPrefix("w", Blocks(0, 6)));
}

TEST(CacheHints, SequenceGapDisablesHintsUntilTheNextSnapshot)
{
  const auto block = Blocks(7, 1);
  CHECK(m_hints.OnEvents("w", std::vector<routing::CacheEvent>{ { 1, block[0], true } }));
  LONGS_EQUAL(1, m_hints.CachedPrefix("w", block));
  CHECK_FALSE(m_hints.OnEvents("w", std::vector<routing::CacheEvent>{ { 3, block[0], true } }));
  LONGS_EQUAL(0, m_hints.CachedPrefix("w", block));
  m_hints.OnSnapshot("w", 9, block);
  LONGS_EQUAL(1, m_hints.CachedPrefix("w", block));
  CHECK(m_hints.OnEvents("w", std::vector<routing::CacheEvent>{ { 10, block[0], false } }));
  LONGS_EQUAL(0, m_hints.CachedPrefix("w", block));
}
