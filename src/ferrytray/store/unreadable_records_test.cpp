#include "ferrytray/store/unreadable_records.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

TEST_GROUP(UnreadableRecords){};

TEST(UnreadableRecords, CountsRecordsByErrorCode)
{
  telemetry::Metrics metrics;
  store::UnreadableRecords records(&metrics);
  const store::Record record{ 7, "key", "{", false };
  for (int i = 0; i < 1000; ++i) {
    records.Note(record, base::Fail(base::ErrorCode::PlatformMalformed, "no JSON").value());
  }
  const std::string text = metrics.Render();
  CHECK(text.find("records_unreadable_total") != std::string::npos);
  CHECK(text.find(" 1000\n") != std::string::npos);
}

TEST(UnreadableRecords, OnlyLogsWithoutMetrics)
{
  store::UnreadableRecords records;
  records.Note({}, base::Fail(base::ErrorCode::PlatformMalformed, "no JSON").value());
}
