#pragma once

#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"    // for Result
#include "ferrytray/control/lease.hpp" // for LeaseRecord

namespace ferrytray::keeper {

/// Encodes a lease record as the body of a log record (JSON).
std::string EncodeLease(const control::LeaseRecord& aRecord);
/// Decodes the output of EncodeLease; returns PlatformMalformed for any other input.
base::Result<control::LeaseRecord> DecodeLease(std::string_view aBytes);

} // namespace ferrytray::keeper
