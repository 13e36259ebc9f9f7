#pragma once

#include <span>   // for span
#include <string> // for string
#include <vector> // for vector

#include "ferrytray/fleet/configuration.hpp"    // for ClientAccount
#include "ferrytray/quarantine/content_key.hpp" // for ContentKey
#include "ferrytray/relay/caller_request.hpp"   // for CallerRequest

namespace ferrytray::relay {

/// @brief The content of a request that may crash endpoints: the whole request, and the parts of
/// its prompt but the last, which belongs to this request or its session.
class RequestContent
{
public:
  /// Parts considered per prompt; further ones are ignored, so that a caller cannot fill the table
  /// of suspects.
  static constexpr std::size_t kMaxParts = 256;

  /// @param aAccount null on routes that require none
  RequestContent(const CallerRequest& aRequest, const fleet::ClientAccount* aAccount);

  /// @brief Key of the whole request.
  [[nodiscard]] const quarantine::ContentKey& Request() const { return m_keys.front(); }
  /// @brief Keys of the whole request and of its parts, without duplicates.
  [[nodiscard]] std::span<const quarantine::ContentKey> Keys() const { return m_keys; }

private:
  std::vector<quarantine::ContentKey> m_keys;
};

/// @brief Describes the requests that have this content of a request, for error messages.
[[nodiscard]] std::string DescribeContent(const quarantine::ContentKey& aContent,
                                          const CallerRequest& aRequest);

} // namespace ferrytray::relay
