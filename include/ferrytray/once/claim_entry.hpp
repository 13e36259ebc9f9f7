#pragma once

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "ferrytray/base/digest.hpp" // for Digest128
#include "ferrytray/base/error.hpp"  // for Result

namespace ferrytray::once {

/// @brief A position in a stream of the platform's log.
using LogOffset = std::uint64_t;

/// @brief Asks for the right to run the request that a caller's Idempotency-Key names.
struct Claim
{
  base::Digest128 m_id;      ///< random; names this claim alone
  base::Digest128 m_key;     ///< client account and Idempotency-Key
  base::Digest128 m_request; ///< the request's content
  std::string m_claimant;    ///< the gate incarnation that asks
};

/// @brief The claim with this id has run nothing and never will.
struct Release
{
  base::Digest128 m_id;
};

/// @brief The request of this claim has ended.
struct Done
{
  base::Digest128 m_id;
};

using ClaimEntry = std::variant<Claim, Release, Done>;

/// @brief The account's name and its key as one digest.
base::Digest128 KeyDigest(std::string_view aAccount, std::string_view aIdempotencyKey);

/// @brief One log record: a batch of entries, in order.
std::string EncodeEntries(const std::vector<ClaimEntry>& aEntries);

/// @brief Reads what EncodeEntries wrote. @return PlatformMalformed for anything else
base::Result<std::vector<ClaimEntry>> DecodeEntries(std::string_view aRecord);

} // namespace ferrytray::once
