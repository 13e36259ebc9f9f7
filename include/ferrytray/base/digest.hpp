#pragma once

#include <compare>     // for strong_ordering
#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::base {

/// @brief A 128-bit name made by hashing (xxHash XXH3).
struct Digest128
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
  auto operator<=>(const Digest128&) const = default;
};

/// @brief For unordered containers; the digest is already well mixed.
struct DigestHash
{
  std::size_t operator()(const Digest128& aDigest) const { return aDigest.m_low; }
};

/// @brief Hashes bytes together with a seed digest.
/// @param aSeed what the name depends on besides the bytes
/// @param aBytes the bytes
Digest128 HashWithSeed(const Digest128& aSeed, std::string_view aBytes);

/// @brief A 64-bit hash of two strings; the order matters.
std::uint64_t Hash64(std::string_view aFirst, std::string_view aSecond);

/// @brief 32 lower-case hexadecimal digits.
std::string ToHex(const Digest128& aDigest);

/// @brief Reads what ToHex wrote; empty when it is anything else.
std::optional<Digest128> DigestFromHex(std::string_view aText);

/// @brief SHA-256 as 64 lower-case hexadecimal digits; used for caller keys.
std::string Sha256Hex(std::string_view aBytes);

/// @brief 128 random bits from the operating system's generator, as hexadecimal.
std::string RandomHex128();

} // namespace ferrytray::base
