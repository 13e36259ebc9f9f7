#include "ferrytray/wire/frames.hpp"

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

wire::Frame MakeExampleUpdate()
{
  wire::EndpointStatus engine;
  engine.m_host = { "w1", wire::Role::Engine, "lab", "z1", "127.0.0.1:9", "7", true };
  engine.m_load = { "7", "3", false, true, 120, 5, 1000.5 };
  return wire::EndpointUpdate{ { engine } };
}

} // namespace

TEST_GROUP(Frames){};

TEST(Frames, RoundTripThroughEncoding)
{
  const std::string bytes = wire::EncodeFrame(MakeExampleUpdate());
  const auto decoded = wire::DecodeFrame(bytes);
  const auto& engine = std::get<wire::EndpointUpdate>(*decoded).m_endpoints.front();
  STRCMP_EQUAL("lab", engine.m_host.m_pool.c_str());
  CHECK(engine.m_host.m_leaving);
  LONGS_EQUAL(120, engine.m_load.m_queuedMillis);
  STRCMP_EQUAL(bytes.c_str(), wire::EncodeFrame(*decoded).c_str());
}

TEST(Frames, RejectDamagedBytesWithoutCrashing)
{
  const bool passed = rc::check("damaged frames", [] {
    std::string bytes = wire::EncodeFrame(MakeExampleUpdate());
    const auto offset = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>()) {
      bytes.resize(offset);
      RC_ASSERT(!wire::DecodeFrame(bytes).has_value());
    } else {
      bytes[offset] = *rc::gen::arbitrary<char>();
      static_cast<void>(wire::DecodeFrame(bytes));
    }
  });
  CHECK(passed);
  CHECK_FALSE(wire::DecodeGossip("").has_value());
}

TEST(Frames, ParseOrRejectHostListsAndLoadReports)
{
  const auto hosts = wire::ParseHostList(
    R"({"hosts":[{"name":"w1","role":"engine","pool":"lab","address":"127.0.0.1:1","state":"leaving"}]})");
  CHECK_TRUE_TEXT(hosts.has_value(), hosts ? "" : hosts.error().m_message.c_str());
  CHECK(hosts->front().m_leaving);
  CHECK(wire::ParseHostList(R"({"hosts":[{"name":"w1","role":"boat","address":"x"}]})")
          .error()
          .m_code == base::ErrorCode::PlatformMalformed);
  CHECK(wire::ParseLoadReport("[]").error().m_code == base::ErrorCode::PlatformMalformed);
  LONGS_EQUAL(5, wire::ParseLoadReport(R"({"incarnation":"1","queued_ms":5})")->m_queuedMillis);
}
