#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "ferrytray/base/digest.hpp" // for Digest128
#include "ferrytray/base/error.hpp"  // for Result

namespace ferrytray::once {

/// @brief Offset of a record in a stream of the platform's log.
using LogOffset = std::uint64_t;

/// @brief Claims the exclusive right to run the request identified by an Idempotency-Key.
struct Claim
{
  base::Digest128 m_id;      ///< random, unique to this claim
  base::Digest128 m_key;     ///< digest of client account and Idempotency-Key
  base::Digest128 m_request; ///< digest of the request's content
  std::string m_claimant;    ///< the gate incarnation that makes the claim
};

/// @brief Withdraws a claim: its request was not run and will not be run under it.
struct Release
{
  base::Digest128 m_id;
};

/// @brief Marks the request of a claim as ended.
struct Done
{
  base::Digest128 m_id;
};

using ClaimEntry = std::variant<Claim, Release, Done>;

/// @brief Returns the digest of a client account's name and its Idempotency-Key.
base::Digest128 KeyDigest(std::string_view aAccount, std::string_view aIdempotencyKey);

/// @brief Encodes a batch of entries, in order, as one log record.
std::string EncodeEntries(const std::vector<ClaimEntry>& aEntries);

/// @brief Decodes a record written by EncodeEntries.
/// @return the entries, or PlatformMalformed for any other input
base::Result<std::vector<ClaimEntry>> DecodeEntries(std::string_view aRecord);

} // namespace ferrytray::once
