#pragma once

#include <cstdint>       // for uint32_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"              // for TimePoint
#include "ferrytray/limits/endpoint_limits.hpp" // for EndpointKey

namespace ferrytray::limits {

/// @brief Permits that a host holds for limited endpoints, and endpoints for which it was denied
/// one. Does no I/O. @see PermitIssuer
class PermitTable
{
public:
  /// @brief Adds permits, and ends a denial.
  /// @param aUntil when they expire
  void OnGranted(EndpointKey aEndpoint, std::uint32_t aCount, base::TimePoint aUntil);
  /// @brief No permit may be requested for the endpoint before a time.
  void OnDenied(EndpointKey aEndpoint, base::TimePoint aUntil);
  /// @brief Takes one of the held permits if there is one.
  bool TryTake(EndpointKey aEndpoint, base::TimePoint aNow);
  void Forget(EndpointKey aEndpoint) { m_entries.erase(aEndpoint); }
  /// @brief Drops expired permits and denials.
  void Expire(base::TimePoint aNow);

  /// @brief Returns until when the endpoint gets no requests of this host; empty if a permit is
  /// held or may be requested.
  [[nodiscard]] std::optional<base::TimePoint> DeniedUntil(EndpointKey aEndpoint,
                                                           base::TimePoint aNow) const;
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    std::uint32_t m_permits = 0;
    base::TimePoint m_permitsUntil{};
    base::TimePoint m_deniedUntil{};
  };

  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
