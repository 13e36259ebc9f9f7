#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for int32_t, uint8_t, uint64_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Hash of an endpoint's incarnation.
using EndpointKey = std::uint64_t;

/// @brief Whether a number can be a request limit: finite and not negative.
[[nodiscard]] bool IsRequestLimit(double aLimit);

/// @brief How an answer changed what is known of an endpoint's limit.
enum class LimitChange : std::uint8_t
{
  None,
  Named,   ///< the endpoint had no known limit
  Changed, ///< another value
  Lifted,  ///< the first answer without a limit to a request that was sent after it was named
};

struct EndpointLimitOptions
{
  /// An endpoint may name another value with each answer. A higher one applies only if no lower one
  /// was named for this long.
  base::Duration m_raiseDelay = std::chrono::seconds(1);
  /// A limit is forgotten if no answer has named it for this long.
  base::Duration m_retention = std::chrono::seconds(10);
  /// Limits kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 16384;
};

/// @brief Limits that endpoints name in their answers. Does no I/O.
///
/// An endpoint that cannot bear its usual load names the requests per second that it accepts from
/// all hosts together, in each answer for as long as the limit applies.
class EndpointLimits
{
public:
  explicit EndpointLimits(EndpointLimitOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Records an answer of the endpoint.
  /// @param aLimit requests per second, as named in the answer; empty: it names none
  /// @param aSentAt when the answered request was sent
  LimitChange OnAnswer(EndpointKey aEndpoint,
                       std::optional<double> aLimit,
                       base::TimePoint aSentAt,
                       base::TimePoint aNow);
  /// @brief Drops limits whose retention has ended.
  void Expire(base::TimePoint aNow);

  /// @brief Returns the endpoint's limit in requests per second, from all hosts together; empty if
  /// none is known.
  [[nodiscard]] std::optional<double> Limit(EndpointKey aEndpoint) const;
  [[nodiscard]] std::size_t Count() const { return m_entries.size(); }

private:
  struct Entry
  {
    double m_limit = 0;
    base::TimePoint m_appliedAt; ///< when the limit or a lower one was named last
    base::TimePoint m_namedAt;   ///< when any limit was named last
    bool m_lifted = false;       ///< a later answer named none
  };

  LimitChange OnNamed(EndpointKey aEndpoint, double aLimit, base::TimePoint aNow);

  EndpointLimitOptions m_options;
  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
