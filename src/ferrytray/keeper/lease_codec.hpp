#pragma once

#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"    // for Result
#include "ferrytray/control/lease.hpp" // for LeaseRecord

namespace ferrytray::keeper {

/// One log record's bytes.
std::string EncodeLease(const control::LeaseRecord& aRecord);
/// Reads what EncodeLease wrote; PlatformMalformed for anything else.
base::Result<control::LeaseRecord> DecodeLease(std::string_view aBytes);

} // namespace ferrytray::keeper
