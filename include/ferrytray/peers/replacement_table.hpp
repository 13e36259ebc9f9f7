#pragma once

#include <cstddef>     // for size_t
#include <cstdint>     // for int32_t, uint64_t
#include <map>         // for map
#include <string_view> // for string_view
#include <vector>      // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::peers {

/// @brief An incarnation in few bytes. What is told of one is final, so it is wider than an
/// EndpointTag: of 3,000 endpoints two have one key once in 10^12.
using IncarnationKey = std::uint64_t;

IncarnationKey KeyOf(std::string_view aIncarnation);

/// @brief Another endpoint answered at an incarnation's address.
struct ReplacementNotice
{
  IncarnationKey m_incarnation = 0;
  std::int32_t m_ageMillis = 0; ///< since a host found it; hosts have no common clock
};

using ReplacementNotices = std::vector<ReplacementNotice>;

struct ReplacementTableOptions
{
  /// Passed on for so long: by then the directory no longer lists a crashed endpoint.
  base::Duration m_retention = std::chrono::milliseconds(5000);
  /// Known at once; more are dropped, so that memory stays bounded.
  std::size_t m_maxEntries = 4096;
};

/// @brief Which incarnations are gone, as some host found. Pure.
///
/// An endpoint that starts anew at its address rejects what is sent to its former life. The
/// directory tells of that some seconds later; until then each host would find out by a rejected
/// request of its own, and those count as repeats against the budget of all hosts.
class ReplacementTable
{
public:
  explicit ReplacementTable(ReplacementTableOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @return whether it was not known
  bool OnNotice(const ReplacementNotice& aNotice, base::TimePoint aNow);
  /// @brief All that is known, to pass on.
  [[nodiscard]] ReplacementNotices Notices(base::TimePoint aNow) const;
  /// @brief Forgets what was found long ago.
  void Expire(base::TimePoint aNow);

private:
  ReplacementTableOptions m_options;
  std::map<IncarnationKey, base::TimePoint> m_foundAt;
};

} // namespace ferrytray::peers
