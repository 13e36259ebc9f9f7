#pragma once

#include <cstdint> // for uint64_t

namespace ferrytray::control {

/// @brief Which half should serve what a rule covers, as configured by this half's operator.
///
/// The system consists of two halves with separate operators and logs. A rule assigns a fleet or a
/// client account to one of them.
enum class DesiredOwner : std::uint8_t
{
  Here,        ///< this half
  HandingOver, ///< the other half, after this half's gates have drained
  There,       ///< the other half
};

/// @brief State of one rule according to this half's configuration and log.
///
/// Epochs alternate between the halves: the half that ended one cannot own the next. Otherwise both
/// operators could claim the same epoch after a hand-over.
struct HalfView
{
  DesiredOwner m_desiredOwner = DesiredOwner::Here;
  std::uint64_t m_epoch = 1;          ///< configured; 1 for the first owner, one more per hand-over
  std::uint64_t m_lastEndedEpoch = 0; ///< the highest epoch that this half ended
  /// The highest epoch that the other half is known to have ended.
  std::uint64_t m_otherLastEndedEpoch = 0;
};

/// @brief Whether the configured epoch belongs to this half and has begun.
constexpr bool HasEpochBegun(const HalfView& aView)
{
  return aView.m_epoch == 1 || aView.m_otherLastEndedEpoch + 1 == aView.m_epoch;
}

/// @brief Whether this half may serve the requests that the rule covers.
///
/// Configuring an epoch that has already ended has no effect.
constexpr bool MayServe(const HalfView& aView)
{
  const bool ended = aView.m_lastEndedEpoch >= aView.m_epoch;
  return aView.m_desiredOwner == DesiredOwner::Here && HasEpochBegun(aView) && !ended;
}

/// @brief Whether the end of this half's epoch may be recorded.
/// @param aEveryGateDrained whether every listed gate refuses new requests and has none open
constexpr bool MayRecordEpochEnd(const HalfView& aView, bool aEveryGateDrained)
{
  const bool ended = aView.m_lastEndedEpoch >= aView.m_epoch;
  return aView.m_desiredOwner == DesiredOwner::HandingOver && HasEpochBegun(aView) && !ended &&
         aEveryGateDrained;
}

/// @brief Whether this half has to query the other for the record of its hand-over.
constexpr bool MustQueryOtherHalf(const HalfView& aView)
{
  return aView.m_desiredOwner == DesiredOwner::Here && aView.m_epoch > 1 &&
         aView.m_otherLastEndedEpoch + 1 < aView.m_epoch;
}

} // namespace ferrytray::control
