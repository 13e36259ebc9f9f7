#pragma once

#include <cstddef>       // for size_t
#include <list>          // for list
#include <map>           // for map
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/digest.hpp"       // for Digest128
#include "ferrytray/routing/retention.hpp" // for ReturnHistogram

namespace ferrytray::gate {

/// @brief Tracks when contexts were last seen at this gate, to estimate each account's return gaps.
class ContextTracker
{
public:
  explicit ContextTracker(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @brief Records a request with this context.
  /// @return the time since its last request, if the context is still tracked
  std::optional<base::Duration> OnRequest(const std::string& aAccount,
                                          const base::Digest128& aContext,
                                          base::TimePoint aNow);
  [[nodiscard]] const routing::ReturnHistogram& Gaps(const std::string& aAccount)
  {
    return m_gaps[aAccount];
  }

private:
  struct Entry
  {
    base::Digest128 m_context;
    std::string m_account;
    base::TimePoint m_lastSeen;
  };

  std::size_t m_capacity;
  std::list<Entry> m_recent;
  std::unordered_map<base::Digest128, std::list<Entry>::iterator, base::DigestHash> m_byContext;
  std::map<std::string, routing::ReturnHistogram> m_gaps;
};

} // namespace ferrytray::gate
