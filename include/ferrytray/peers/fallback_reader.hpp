#pragma once

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/time.hpp"    // for Duration, TimePoint
#include "ferrytray/peers/roster.hpp" // for Peer

namespace ferrytray::peers {

struct FallbackOptions
{
  /// Between two questions while nobody could help: when the log is away for all, each host would
  /// otherwise ask at each tick.
  base::Duration m_retryInterval = std::chrono::milliseconds(600);
  /// A host that helped is asked on for so long after the log last failed here, so that records do
  /// not stop while this host tries the log again.
  base::Duration m_holdTime = std::chrono::seconds(4);
};

/// @brief Whom a host asks for the log's records when neither it nor the reader that it follows has
/// contact with the log: a log that turns some hosts away serves others. Pure.
///
/// One at a time, since hosts count outages of the log each for itself.
class FallbackReader
{
public:
  explicit FallbackReader(FallbackOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @param aReaders in an order that stays the same
  /// @param aSource the reader that is followed anyway, or empty
  /// @param aLogLost whether this host has no contact with the log now
  [[nodiscard]] std::optional<Peer> Pick(std::span<const Peer> aReaders,
                                         std::string_view aSource,
                                         bool aLogLost,
                                         base::TimePoint aNow);
  /// @brief It was asked and had records from the log, or not.
  void OnAnswer(std::string_view aName, bool aUsable);
  /// @brief Whether a host is relied on: the reader that is followed cannot end it by having none.
  [[nodiscard]] bool IsActive() const { return m_active; }
  [[nodiscard]] const std::string& Name() const { return m_name; }

private:
  FallbackOptions m_options;
  std::string m_name; ///< asked last
  bool m_active = false;
  std::size_t m_nextIndex = 0;
  std::optional<base::TimePoint> m_logLostAt;
  std::optional<base::TimePoint> m_askedAt;
};

} // namespace ferrytray::peers
