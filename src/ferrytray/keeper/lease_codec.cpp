#include "ferrytray/keeper/lease_codec.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::keeper {

using nlohmann::json;

std::string EncodeLease(const control::LeaseRecord& aRecord)
{
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRecord.m_duration).count();
  return json{
    { "holder", aRecord.m_holder }, { "leases", aRecord.m_leases }, { "duration_ms", millis }
  }.dump();
}

base::Result<control::LeaseRecord> DecodeLease(std::string_view aBytes)
{
  try {
    const json object = json::parse(aBytes);
    return control::LeaseRecord{ object.at("holder").get<std::string>(),
                                 object.at("leases").get<std::vector<std::string>>(),
                                 std::chrono::milliseconds(
                                   object.at("duration_ms").get<std::int64_t>()) };
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("lease record: ") + error.what());
  }
}

} // namespace ferrytray::keeper
