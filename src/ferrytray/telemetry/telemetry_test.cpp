#include "ferrytray/telemetry/log_line.hpp"
#include "ferrytray/telemetry/metrics.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(Telemetry){};

TEST(Telemetry, FormatsKeyValuePairsAndQuotesInjectedText)
{
  telemetry::LogLine line("route");
  line.Add("request", "r1").Add("score", 3).Add("account", "a b\"\nevent=x");
  STRCMP_EQUAL("event=route request=r1 score=3 account=\"a b\\\"?event=x\"", line.Text().c_str());
}

TEST(Telemetry, RendersPrometheusText)
{
  telemetry::Metrics metrics;
  metrics.Count("requests_total{result=\"ok\"}");
  metrics.Set("open_streams", 2);
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("first_token_seconds{fleet=\"lab\"}", i);
  }
  const std::string text = metrics.Render();
  CHECK(text.find("ferrytray_requests_total{result=\"ok\"} 1\n") != std::string::npos);
  CHECK(text.find("ferrytray_open_streams 2\n") != std::string::npos);
  CHECK(text.find("ferrytray_first_token_seconds{fleet=\"lab\",quantile=\"0.95\"} 9") !=
        std::string::npos);
  CHECK(text.find("ferrytray_first_token_seconds_count 1000\n") != std::string::npos);
}
