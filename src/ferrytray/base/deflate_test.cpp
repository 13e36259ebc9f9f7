#include "ferrytray/base/deflate.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(Deflate){};

TEST(Deflate, RoundTrips)
{
  std::string text;
  for (int i = 0; i < 1000; ++i) {
    text += "{\"service\":\"s\",\"address\":\"10.0.0." + std::to_string(i) + ":80\"}";
  }
  for (const std::string& bytes : { std::string(), std::string("x"), text }) {
    CHECK(base::Inflate(base::Deflate(bytes), bytes.size()) == bytes);
  }
  CHECK(base::Deflate(text).size() * 4 < text.size());
}

TEST(Deflate, RejectsDamagedBytesAndOtherSizes)
{
  const std::string text(1000, 'x');
  const std::string compressed = base::Deflate(text);
  CHECK_FALSE(base::Inflate(compressed, text.size() - 1).has_value());
  CHECK_FALSE(base::Inflate(compressed, text.size() + 1).has_value());
  CHECK_FALSE(base::Inflate(compressed.substr(0, compressed.size() - 1), text.size()).has_value());
  CHECK_FALSE(base::Inflate("rubbish", text.size()).has_value());
}
