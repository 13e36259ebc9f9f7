#include "ferrytray/once/claim_entry.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::once {

namespace {

using nlohmann::json;

json ToJson(const Claim& aClaim)
{
  return { { "t", "claim" },
           { "id", base::ToHex(aClaim.m_id) },
           { "key", base::ToHex(aClaim.m_key) },
           { "req", base::ToHex(aClaim.m_request) },
           { "by", aClaim.m_claimant } };
}

json ToJson(const Release& aRelease)
{
  return { { "t", "release" }, { "id", base::ToHex(aRelease.m_id) } };
}

json ToJson(const Done& aDone)
{
  return { { "t", "done" }, { "id", base::ToHex(aDone.m_id) } };
}

base::Digest128 DigestField(const json& aObject, const char* aName)
{
  const auto digest = base::DigestFromHex(aObject.at(aName).get_ref<const std::string&>());
  if (!digest) {
    throw std::invalid_argument(aName);
  }
  return *digest;
}

ClaimEntry EntryFromJson(const json& aObject)
{
  const std::string kind = aObject.at("t").get<std::string>();
  const base::Digest128 id = DigestField(aObject, "id");
  if (kind == "release") {
    return Release{ id };
  }
  if (kind == "done") {
    return Done{ id };
  }
  if (kind != "claim") {
    throw std::invalid_argument(kind);
  }
  return Claim{ id,
                DigestField(aObject, "key"),
                DigestField(aObject, "req"),
                aObject.at("by").get<std::string>() };
}

} // namespace

base::Digest128 KeyDigest(std::string_view aAccount, std::string_view aIdempotencyKey)
{
  return base::HashWithSeed(base::HashWithSeed({}, aAccount), aIdempotencyKey);
}

std::string EncodeEntries(const std::vector<ClaimEntry>& aEntries)
{
  json batch = json::array();
  for (const ClaimEntry& entry : aEntries) {
    batch.push_back(std::visit([](const auto& aEntry) { return ToJson(aEntry); }, entry));
  }
  return batch.dump();
}

base::Result<std::vector<ClaimEntry>> DecodeEntries(std::string_view aRecord)
{
  try {
    std::vector<ClaimEntry> entries;
    for (const json& object : json::parse(aRecord)) {
      entries.push_back(EntryFromJson(object));
    }
    return entries;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::PlatformMalformed,
                      std::string("claim record: ") + error.what());
  }
}

} // namespace ferrytray::once
