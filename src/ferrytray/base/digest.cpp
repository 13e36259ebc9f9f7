#include "ferrytray/base/digest.hpp"

#include <array>   // for array
#include <cstdio>  // for snprintf
#include <cstdlib> // for strtoull

#include <openssl/evp.h>  // for EVP_Digest
#include <openssl/rand.h> // for RAND_bytes
#include <xxhash.h>       // for XXH3_128bits, XXH3_128bits_withSeed

namespace ferrytray::base {

namespace {

constexpr std::size_t kHexDigits = 32;
constexpr std::size_t kHalfHexDigits = 16;

std::string BytesToHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr char kHexAlphabet[] = "0123456789abcdef";
  std::string text;
  text.reserve(aCount * 2);
  for (std::size_t i = 0; i < aCount; ++i) {
    text.push_back(kHexAlphabet[aBytes[i] >> 4U]);
    text.push_back(kHexAlphabet[aBytes[i] & 0xFU]);
  }
  return text;
}

} // namespace

Digest128 HashWithSeed(const Digest128& aSeed, std::string_view aBytes)
{
  const XXH128_hash_t inner = XXH3_128bits_withSeed(aBytes.data(), aBytes.size(), aSeed.m_low);
  const std::array<std::uint64_t, 4> combined{
    aSeed.m_high, aSeed.m_low, inner.high64, inner.low64
  };
  const XXH128_hash_t hash = XXH3_128bits(combined.data(), sizeof(combined));
  return { hash.high64, hash.low64 };
}

std::uint64_t Hash64(std::string_view aFirst, std::string_view aSecond)
{
  const XXH64_hash_t seed = XXH3_64bits(aFirst.data(), aFirst.size());
  return XXH3_64bits_withSeed(aSecond.data(), aSecond.size(), seed);
}

std::string ToHex(const Digest128& aDigest)
{
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(aDigest.m_high),
                static_cast<unsigned long long>(aDigest.m_low));
  return { text.data(), kHexDigits };
}

std::optional<Digest128> DigestFromHex(std::string_view aText)
{
  const bool allHex = aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (aText.size() != kHexDigits || !allHex) {
    return std::nullopt;
  }
  const std::string high(aText.substr(0, kHalfHexDigits));
  const std::string low(aText.substr(kHalfHexDigits));
  constexpr int kBase = 16;
  return Digest128{ std::strtoull(high.c_str(), nullptr, kBase),
                    std::strtoull(low.c_str(), nullptr, kBase) };
}

std::string Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return BytesToHex(digest.data(), length);
}

std::string RandomHex128()
{
  std::array<unsigned char, kHalfHexDigits> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return BytesToHex(bytes.data(), bytes.size());
}

} // namespace ferrytray::base
