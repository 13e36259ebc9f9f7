#pragma once

#include <cstddef>     // for size_t
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/error.hpp"      // for ErrorCode
#include "ferrytray/config/document.hpp" // for Document

#include <tl/expected.hpp> // for expected

namespace ferrytray::config {

/// @brief The schema number that this program writes and reads.
inline constexpr int kSchema = 1;
/// @brief Longer files are refused unread (bytes).
inline constexpr std::size_t kMaxFileBytes = 4U << 20U;

/// @brief One fault of a file, with its place.
struct Problem
{
  base::ErrorCode m_code = base::ErrorCode::ConfigSyntax;
  std::string m_file;
  int m_line = 1;   ///< from 1
  int m_column = 1; ///< from 1
  std::string m_message;
};

using Problems = std::vector<Problem>;

/// @brief "file:line:column: message (code)".
std::string ToString(const Problem& aProblem);

/// @brief Reads a YAML configuration file. It is taken whole or not at all.
/// @param aText the file's bytes
/// @param aFile its name, for messages
/// @return the document, or every fault found
///
/// @code
/// auto document = config::Parse(text, "accounts.yaml");
/// @endcode
tl::expected<Document, Problems> Parse(std::string_view aText, const std::string& aFile);

/// @brief Faults that only show beside the other scopes in force: duplicate names and references
/// to nothing.
/// @param aDocument the new content of its scope
/// @param aOthers every other scope in force
/// @param aFile its name, for messages
Problems CheckAcrossScopes(const Document& aDocument,
                           const std::vector<Document>& aOthers,
                           const std::string& aFile);

} // namespace ferrytray::config
