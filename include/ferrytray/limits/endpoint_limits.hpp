#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for int32_t, uint8_t, uint64_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

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
  Changed, ///< another value, or named again after it was lifted
  Lifted,  ///< the first answer without a limit to a request that was sent after it was named
};

/// @brief What one host tells another of an endpoint's limit. Hosts have no common clock, so the
/// time is an age.
struct LimitReport
{
  EndpointKey m_endpoint = 0;
  double m_limit = 0;              ///< requests per second, from all hosts together
  std::int32_t m_namedAgeMillis{}; ///< since an answer named a limit last
  bool m_lifted = false;           ///< a later answer named none
};

using LimitReports = std::vector<LimitReport>;

struct EndpointLimitOptions
{
  /// An endpoint may name another value with each answer. A higher one applies only if no lower one
  /// was named for this long.
  base::Duration m_raiseDelay = std::chrono::seconds(1);
  /// A limit is forgotten if no answer has named it for this long: the issuer of its permits has
  /// raised the rate by then. @see PermitIssuerOptions
  base::Duration m_retention = std::chrono::seconds(30);
  /// Older limits are not reported to other hosts.
  base::Duration m_maxReportAge = std::chrono::seconds(3);
  /// Reports per message; those named last are sent first.
  std::size_t m_maxReports = 256;
  /// Limits kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 16384;
};

/// @brief Limits that endpoints name in their answers, as seen by this host or reported by others.
/// Does no I/O.
///
/// An endpoint that cannot bear its usual load names the requests per second that it accepts from
/// all hosts together, in each answer for as long as the limit applies. Requests to such an
/// endpoint need permits. @see PermitIssuer
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
  /// @brief Records what another host knows. The limit that was named last applies.
  /// @return whether the limit was unknown; a report that is implausible or too old is ignored
  bool OnReport(const LimitReport& aReport, base::TimePoint aNow);
  /// @brief Drops an endpoint's limit.
  void Forget(EndpointKey aEndpoint) { m_entries.erase(aEndpoint); }
  /// @brief Drops limits whose retention has ended.
  void Expire(base::TimePoint aNow);

  [[nodiscard]] bool IsLimited(EndpointKey aEndpoint) const
  {
    return m_entries.contains(aEndpoint);
  }
  /// @brief Returns the endpoint's limit in requests per second, from all hosts together; empty if
  /// none is known.
  [[nodiscard]] std::optional<double> Limit(EndpointKey aEndpoint) const;
  /// @brief Returns what is known of one endpoint, empty if it is not limited.
  [[nodiscard]] std::optional<LimitReport> ReportOf(EndpointKey aEndpoint,
                                                    base::TimePoint aNow) const;
  /// @brief Returns the recently named limits, to send them to other hosts.
  [[nodiscard]] LimitReports Reports(base::TimePoint aNow) const;
  [[nodiscard]] std::size_t Count() const { return m_entries.size(); }

private:
  struct Entry
  {
    double m_limit = 0;
    base::TimePoint m_appliedAt; ///< when the limit or a lower one was named last
    base::TimePoint m_namedAt;   ///< when any limit was named last
    bool m_lifted = false;       ///< a later answer named none
  };

  LimitChange OnNamed(EndpointKey aEndpoint, double aLimit, base::TimePoint aNamedAt);
  [[nodiscard]] static LimitReport ToReport(EndpointKey aEndpoint,
                                            const Entry& aEntry,
                                            base::TimePoint aNow);

  EndpointLimitOptions m_options;
  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
