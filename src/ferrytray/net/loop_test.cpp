#include "ferrytray/net/loop.hpp"

#include <csignal> // for raise

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(Loop){};

// Regression: a SIGHUP that arrived while a host was starting ended its process.
TEST(Loop, QueuedSignalsReachLaterCallbacks)
{
  net::Loop loop;
  loop.QueueSignals();
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  int hangups = 0;
  int terminations = 0;
  loop.OnHangup([&] { ++hangups; });
  loop.OnTerminate([&] { ++terminations; });
  loop.RunFor(20ms);
  LONGS_EQUAL(1, hangups);
  LONGS_EQUAL(1, terminations);
}
