#include "ferrytray/net/retry_after.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(RetryAfter){};

TEST(RetryAfter, ParsesSeconds)
{
  CHECK(net::ParseRetryAfter("3") == 3s);
  CHECK(net::ParseRetryAfter(" 2.5\t") == 2500ms);
  CHECK(net::ParseRetryAfter("0") == 0s);
}

TEST(RetryAfter, LongDelaysAreShortened)
{
  CHECK(net::ParseRetryAfter("86401") == 24h);
  CHECK(net::ParseRetryAfter("1e300") == 24h);
}

TEST(RetryAfter, RejectsWhatIsNoNumberOfSeconds)
{
  for (const char* invalid :
       { "", " ", "-1", "nan", "inf", "1e999", "3s", "3 4", "Thu, 03 Dec 2026 17:00:00 GMT" }) {
    CHECK_FALSE(net::ParseRetryAfter(invalid).has_value());
  }
}
