#pragma once

#include <cstdint>       // for int32_t, uint64_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::limits {

/// @brief Hash of a service's name.
using ServiceKey = std::uint64_t;

/// @brief A report of a brittle service to another host. Hosts have no common clock, so it has an
/// age.
struct BrittleReport
{
  ServiceKey m_service = 0;
  std::int32_t m_namedAgeMillis = 0; ///< since an endpoint announced it last
};

using BrittleReports = std::vector<BrittleReport>;

struct BrittleServicesOptions
{
  /// A service counts as brittle for this long after an endpoint announced it. Endpoints that have
  /// failed need some seconds until they answer again.
  base::Duration m_retention = std::chrono::seconds(10);
  /// The same after an answer did not announce it any more; other endpoints may still be brittle.
  base::Duration m_retentionAfterEnd = std::chrono::seconds(2);
  /// Older announcements are not reported to other hosts.
  base::Duration m_maxReportAge = std::chrono::seconds(3);
};

/// @brief Services whose endpoints announce that they fail if they have to reject too many requests
/// within a second. Does no I/O.
///
/// Such an endpoint gets a request only into a free slot. All endpoints of the service count, also
/// those that have not answered yet. @see SlotIssuer
class BrittleServices
{
public:
  explicit BrittleServices(BrittleServicesOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Records an answer of an endpoint of the service.
  /// @param aBrittle whether the answer announces it
  /// @param aSentAt when the answered request was sent
  /// @return whether the service was not known as brittle, and is now
  bool OnAnswer(ServiceKey aService, bool aBrittle, base::TimePoint aSentAt, base::TimePoint aNow);
  /// @brief Records what another host knows; an implausible age is ignored.
  void OnReport(const BrittleReport& aReport, base::TimePoint aNow);
  [[nodiscard]] bool IsBrittle(ServiceKey aService, base::TimePoint aNow) const;
  [[nodiscard]] BrittleReports Reports(base::TimePoint aNow) const;
  void Expire(base::TimePoint aNow);
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    base::TimePoint m_namedAt;
    std::optional<base::TimePoint> m_endedAt; ///< first later answer without the announcement
  };

  [[nodiscard]] base::TimePoint EndOf(const Entry& aEntry) const;

  BrittleServicesOptions m_options;
  std::unordered_map<ServiceKey, Entry> m_entries;
};

} // namespace ferrytray::limits
