#pragma once

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant

#include "ferrytray/base/error.hpp" // for Result

namespace ferrytray::replay {

/// @brief A position in the platform's log; the first record has offset 1.
using LogOffset = std::uint64_t;

/// @brief An operator's file: the new content of one scope.
struct FileRecord
{
  std::string m_id; ///< random; how the author finds its own record after a lost reply
  std::string m_scope;
  LogOffset m_baseOffset = 0; ///< offset of the record it replaces; 0 for a new scope
  std::string m_digest;       ///< SHA-256 of the body
  std::string m_body;         ///< YAML
  int m_schema = 1;
};

/// @brief An accepted file again, before its first copy leaves the log. It changes nothing.
struct RenewRecord
{
  std::string m_scope;
  LogOffset m_acceptedOffset = 0; ///< the offset that it stands for
  std::string m_digest;
  std::string m_body;
  int m_schema = 1;
};

using ConfigRecord = std::variant<FileRecord, RenewRecord>;

/// @brief One log record's bytes.
std::string Encode(const ConfigRecord& aRecord);

/// @brief Reads what Encode wrote. @return PlatformMalformed for anything else
base::Result<ConfigRecord> Decode(std::string_view aBytes);

} // namespace ferrytray::replay
