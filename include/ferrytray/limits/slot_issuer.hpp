#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint64_t
#include <map>           // for map
#include <optional>      // for optional
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"              // for Duration, TimePoint
#include "ferrytray/limits/endpoint_limits.hpp" // for EndpointKey

namespace ferrytray::limits {

/// @brief A host's report of its open requests at an endpoint, and its request for further slots.
struct SlotRequest
{
  EndpointKey m_endpoint = 0;
  std::string m_host;
  std::uint64_t m_sequence = 0;   ///< grows with each request of the host
  std::uint32_t m_slots = 1;      ///< requests that the endpoint runs at the same time
  std::uint32_t m_open = 0;       ///< open requests of the host at the endpoint
  std::uint32_t m_wanted = 0;     ///< further slots; 0: only a report
  std::uint32_t m_rejections = 0; ///< by the endpoint since the host's last report
};

/// @brief Reply to a SlotRequest.
struct SlotDecision
{
  std::uint32_t m_granted = 0;
  base::Duration m_retryAfter{}; ///< if fewer slots are granted than wanted: when to ask again
};

struct SlotIssuerOptions
{
  /// A host's report counts for this long; hosts with open requests renew it earlier.
  base::Duration m_reportLifetime = std::chrono::milliseconds(2500);
  /// After the first request for an endpoint only half of its slots are granted for this long,
  /// since some hosts have not reported their open requests yet.
  base::Duration m_learnTime = std::chrono::milliseconds(600);
  /// A rejection shows that the endpoint takes fewer requests than it has slots: one slot is held
  /// back for this long.
  base::Duration m_rejectionTime = std::chrono::milliseconds(4000);
  /// Expected time between two releases of a slot until some were seen.
  base::Duration m_releaseInterval = std::chrono::milliseconds(20);
  /// Denied hosts that may ask again for each slot that is released.
  double m_retriesPerRelease = 2;
  base::Duration m_minRetryDelay = std::chrono::milliseconds(4);
  base::Duration m_maxRetryDelay = std::chrono::milliseconds(5000);
  base::Duration m_retention = std::chrono::seconds(30); ///< after the last request
  /// Endpoints kept at a time; slots of further ones are denied to bound memory.
  std::size_t m_maxEntries = 16384;
};

/// @brief Issues the slots of brittle endpoints, for all hosts that send to them. Does no I/O.
///
/// A brittle endpoint must hardly ever reject a request, so the requests of all hosts together must
/// not exceed its slots. One host per endpoint counts them. Hosts report their open requests with
/// each message, as a number and not as changes, so that a lost message is made up for by the next
/// one, and another issuer takes over within m_learnTime.
class SlotIssuer
{
public:
  explicit SlotIssuer(SlotIssuerOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  SlotDecision Request(const SlotRequest& aRequest, base::TimePoint aNow);
  /// @brief Drops endpoints whose retention has ended.
  void Expire(base::TimePoint aNow);
  [[nodiscard]] std::size_t Count() const { return m_entries.size(); }
  /// @brief Returns the open requests of all hosts at an endpoint, granted ones included.
  [[nodiscard]] std::uint32_t Open(EndpointKey aEndpoint, base::TimePoint aNow) const;

private:
  struct Report
  {
    std::uint64_t m_sequence = 0;
    std::uint32_t m_open = 0;
    base::TimePoint m_at;
  };
  struct Entry
  {
    std::map<std::string, Report> m_reports; ///< by host
    base::TimePoint m_createdAt;
    base::TimePoint m_requestedAt;
    base::TimePoint m_nextRetry; ///< for the next host that is denied
    std::optional<base::TimePoint> m_releasedAt;
    base::Duration m_releaseInterval; ///< while all slots are taken; moving average
    std::uint32_t m_heldBack = 0;     ///< slots that are not granted because of rejections
    base::TimePoint m_heldBackUntil{};
  };

  void Apply(Entry& aEntry, const SlotRequest& aRequest, base::TimePoint aNow) const;
  /// @param aOpen open requests before the release
  static void OnReleased(Entry& aEntry,
                         std::uint32_t aCount,
                         std::uint32_t aOpen,
                         std::uint32_t aSlots,
                         base::TimePoint aNow);
  [[nodiscard]] std::uint32_t Capacity(const Entry& aEntry,
                                       std::uint32_t aSlots,
                                       base::TimePoint aNow) const;
  [[nodiscard]] std::uint32_t OpenAt(const Entry& aEntry, base::TimePoint aNow) const;
  [[nodiscard]] base::Duration RetryDelay(Entry& aEntry, base::TimePoint aNow) const;

  SlotIssuerOptions m_options;
  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
