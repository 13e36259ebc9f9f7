#pragma once

#include <compare>     // for strong_ordering
#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

namespace ferrytray::base {

/// @brief A 128-bit hash (xxHash XXH3) that serves as an identifier.
struct Digest128
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
  auto operator<=>(const Digest128&) const = default;
};

/// @brief Hash for unordered containers; the digest's bits are already uniformly distributed.
struct DigestHash
{
  std::size_t operator()(const Digest128& aDigest) const { return aDigest.m_low; }
};

/// @brief Hashes bytes together with a seed digest.
/// @param aSeed input of the digest besides the bytes
/// @param aBytes the bytes to hash
Digest128 HashWithSeed(const Digest128& aSeed, std::string_view aBytes);

/// @brief A 64-bit hash of two strings; the order matters.
std::uint64_t Hash64(std::string_view aFirst, std::string_view aSecond);

/// @brief Formats a digest as 32 lower-case hexadecimal digits.
std::string ToHex(const Digest128& aDigest);

/// @brief Parses the output of ToHex; empty for any other text.
std::optional<Digest128> DigestFromHex(std::string_view aText);

/// @brief SHA-256 as 64 lower-case hexadecimal digits; used for caller keys.
std::string Sha256Hex(std::string_view aBytes);

/// @brief 128 random bits from the operating system's generator, as hexadecimal.
std::string RandomHex128();

} // namespace ferrytray::base
