#include "ferrytray/fleet/usable_endpoints.hpp"

#include <algorithm> // for find
#include <deque>     // for deque

#include "ferrytray/base/digest.hpp"     // for Hash64
#include "ferrytray/fleet/directory.hpp" // for Endpoint

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

struct EndpointSet
{
  std::deque<fleet::Endpoint> m_endpoints;
  std::vector<const fleet::Endpoint*> m_pointers;

  explicit EndpointSet(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      fleet::Endpoint& endpoint = m_endpoints.emplace_back();
      endpoint.m_incarnation = "i-" + std::to_string(i);
      endpoint.m_zone = "zone-" + std::to_string(i % 6);
      m_pointers.push_back(&endpoint);
    }
  }
};

bool Contains(const std::vector<const fleet::Endpoint*>& aGroup, const fleet::Endpoint* aEndpoint)
{
  return std::find(aGroup.begin(), aGroup.end(), aEndpoint) != aGroup.end();
}

} // namespace

TEST_GROUP(UsableEndpoints){};

TEST(UsableEndpoints, GroupSizeIsBoundedAtAnyNumberOfEndpoints)
{
  for (const std::size_t count : { 10U, 100U, 1000U, 10'000U, 20'000U }) {
    const EndpointSet set(count);
    const fleet::UsableEndpoints usable(set.m_pointers);
    LONGS_EQUAL(count, usable.All().size());
    for (std::uint64_t key = 0; key < 256; ++key) {
      const std::size_t size = usable.Group(key).size();
      CHECK(size <= 320);
      CHECK(count < 256 ? size == count : size >= 80);
    }
  }
}

TEST(UsableEndpoints, EachEndpointIsInOneGroup)
{
  const EndpointSet set(1000);
  const fleet::UsableEndpoints usable(set.m_pointers);
  std::size_t total = 0;
  for (std::uint64_t key = 0; key < 4; ++key) {
    total += usable.Group(key).size();
  }
  LONGS_EQUAL(1000, total);
  LONGS_EQUAL(167, usable.CountByZone().at("zone-0"));
}

TEST(UsableEndpoints, OtherEndpointsKeepTheirGroupWhenOneIsRemoved)
{
  const EndpointSet set(1000);
  const fleet::UsableEndpoints before(set.m_pointers);
  std::vector<const fleet::Endpoint*> fewer = set.m_pointers;
  const fleet::Endpoint* removed = fewer[500];
  fewer.erase(fewer.begin() + 500);
  const fleet::UsableEndpoints after(fewer);
  for (std::uint64_t key = 0; key < 4; ++key) {
    const std::size_t lost = Contains(before.Group(key), removed) ? 1 : 0;
    LONGS_EQUAL(before.Group(key).size() - lost, after.Group(key).size());
    for (const fleet::Endpoint* endpoint : after.Group(key)) {
      CHECK(Contains(before.Group(key), endpoint));
    }
  }
}
