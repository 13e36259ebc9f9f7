#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint8_t
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp"              // for Duration, TimePoint
#include "ferrytray/limits/endpoint_limits.hpp" // for EndpointKey

namespace ferrytray::limits {

struct EndpointBackoffOptions
{
  /// Longer backoffs are shortened to this. An endpoint that is out of service for longer is
  /// expected to leave the directory.
  base::Duration m_maxDelay = std::chrono::hours(1);
  /// Window of open requests when a backoff has ended. Each answer that requests no further backoff
  /// adds one.
  std::uint32_t m_initialWindow = 2;
  /// The slow start ends with a window of this size.
  std::uint32_t m_fullWindow = 16;
  /// Maximum duration of the slow start.
  base::Duration m_maxRampTime = std::chrono::seconds(5);
  /// Endpoints kept at a time; further ones are dropped to bound memory.
  std::size_t m_maxEntries = 16384;
};

/// @brief How an answer changed what is known of an endpoint's backoff.
enum class BackoffChange : std::uint8_t
{
  None,     ///< no backoff is requested, or one that ends earlier than the known one
  Begun,    ///< the endpoint may get no requests until the delay has passed
  Extended, ///< the same, while it has been in backoff already
};

/// @brief Backoffs that endpoints request from this host in their refusals (Retry-After). Does no
/// I/O.
///
/// An endpoint gets no request of this host until the latest of the times that it has named. After
/// that it has a window of open requests which grows with its answers (slow start), since all hosts
/// that it refused at the same time return at the same time. With a full window, other endpoints
/// are preferred.
class EndpointBackoffs
{
public:
  explicit EndpointBackoffs(EndpointBackoffOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief The endpoint refused a request and requests a backoff.
  /// @param aDelay from now; not negative
  BackoffChange OnRefused(EndpointKey aEndpoint, base::Duration aDelay, base::TimePoint aNow);
  /// @brief The endpoint answered a request without requesting a backoff.
  /// @param aSentAt when the answered request was sent
  void OnAnswered(EndpointKey aEndpoint, base::TimePoint aSentAt);
  /// @brief Whether the endpoint's backoff has ended recently and its window is used up.
  /// @param aOpenRequests of this host at the endpoint
  [[nodiscard]] bool IsWindowFull(EndpointKey aEndpoint,
                                  std::uint32_t aOpenRequests,
                                  base::TimePoint aNow) const;
  /// @brief Returns when the endpoint's backoff ends; empty if it is not in backoff.
  [[nodiscard]] std::optional<base::TimePoint> EndsAt(EndpointKey aEndpoint,
                                                      base::TimePoint aNow) const;
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }
  /// @brief Returns the number of endpoints in backoff.
  [[nodiscard]] std::size_t Count(base::TimePoint aNow) const;
  /// @brief Drops endpoints whose slow start is over.
  void Expire(base::TimePoint aNow);

private:
  struct Entry
  {
    base::TimePoint m_until{};
    std::uint32_t m_window = 0; ///< of open requests, after m_until
  };

  EndpointBackoffOptions m_options;
  std::unordered_map<EndpointKey, Entry> m_entries;
};

} // namespace ferrytray::limits
