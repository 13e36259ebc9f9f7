#include "ferrytray/replay/record.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::replay {

namespace {

using nlohmann::json;

json ToJson(const FileRecord& aFile)
{
  return { { "t", "file" },
           { "id", aFile.m_id },
           { "scope", aFile.m_scope },
           { "base", aFile.m_baseOffset },
           { "digest", aFile.m_digest },
           { "body", aFile.m_body },
           { "schema", aFile.m_schema } };
}

json ToJson(const RenewRecord& aRenew)
{
  return { { "t", "renew" },
           { "scope", aRenew.m_scope },
           { "accepted", aRenew.m_acceptedOffset },
           { "digest", aRenew.m_digest },
           { "body", aRenew.m_body },
           { "schema", aRenew.m_schema } };
}

} // namespace

std::string Encode(const ConfigRecord& aRecord)
{
  return std::visit([](const auto& aRecord) { return ToJson(aRecord); }, aRecord)
    .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<ConfigRecord> Decode(std::string_view aBytes)
{
  try {
    const json object = json::parse(aBytes);
    const std::string kind = object.at("t").get<std::string>();
    if (kind == "renew") {
      return RenewRecord{ object.at("scope").get<std::string>(),
                          object.at("accepted").get<LogOffset>(),
                          object.at("digest").get<std::string>(),
                          object.at("body").get<std::string>(),
                          object.at("schema").get<int>() };
    }
    if (kind == "file") {
      return FileRecord{
        object.at("id").get<std::string>(),   object.at("scope").get<std::string>(),
        object.at("base").get<LogOffset>(),   object.at("digest").get<std::string>(),
        object.at("body").get<std::string>(), object.at("schema").get<int>()
      };
    }
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      "configuration record of unknown type '" + kind + "'");
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("configuration record: ") + error.what());
  }
}

} // namespace ferrytray::replay
