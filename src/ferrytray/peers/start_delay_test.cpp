#include "ferrytray/peers/start_delay.hpp"

#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(StartDelay){};

TEST(StartDelay, FallsWithCapacity)
{
  CHECK(peers::StartDelay(100'000, "h") <= 3ms);
  CHECK(peers::StartDelay(240, "h") >= 400ms);
  CHECK(peers::StartDelay(1, "h") <= 1200ms);
  CHECK(peers::StartDelay(0, "h") == 0ms);
}

// Guards against calls of all hosts at the same time: the record log handles some 250 appends a
// second.
TEST(StartDelay, SpreadsHostsOfTheSameCapacity)
{
  constexpr int kHosts = 1000;
  constexpr int kSlots = 16; // of 50 ms
  int inSlot[kSlots] = {};
  for (int host = 0; host < kHosts; ++host) {
    const auto delay = peers::StartDelay(240, "host-" + std::to_string(host));
    ++inSlot[(delay - 400ms) / 50ms];
  }
  for (const int hosts : inSlot) {
    CHECK(hosts <= 2 * kHosts / kSlots);
  }
}
