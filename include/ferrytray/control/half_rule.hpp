#pragma once

#include <cstdint> // for uint64_t

namespace ferrytray::control {

/// @brief What this half's operator wants of a rule.
enum class DesiredOwner : std::uint8_t
{
  Here,
  HandingOver,
  There,
};

/// @brief One rule as this half's configuration and log show it.
///
/// Epochs alternate between the halves: who ended one cannot own the next. Without that, both
/// operators could take the same epoch after a hand-over.
struct HalfView
{
  DesiredOwner m_desiredOwner = DesiredOwner::Here;
  std::uint64_t m_epoch = 1;          ///< of the wish; the first owner has epoch 1
  std::uint64_t m_lastEndedEpoch = 0; ///< the highest epoch that this half ended
  std::uint64_t m_otherLastEndedEpoch =
    0; ///< the highest epoch that the other half is known to have ended
};

/// @brief Whether the epoch of the wish is this half's and has begun.
constexpr bool HasEpochBegun(const HalfView& aView)
{
  return aView.m_epoch == 1 || aView.m_otherLastEndedEpoch + 1 == aView.m_epoch;
}

/// @brief Whether this half serves what the rule covers.
///
/// A file that wishes for an ended epoch again changes nothing.
constexpr bool MayServe(const HalfView& aView)
{
  const bool ended = aView.m_lastEndedEpoch >= aView.m_epoch;
  return aView.m_desiredOwner == DesiredOwner::Here && HasEpochBegun(aView) && !ended;
}

/// @brief Whether the end of the epoch may be recorded now.
/// @param aEveryGateDrained every listed gate refuses new work and has none open
constexpr bool MayRecordEpochEnd(const HalfView& aView, bool aEveryGateDrained)
{
  const bool ended = aView.m_lastEndedEpoch >= aView.m_epoch;
  return aView.m_desiredOwner == DesiredOwner::HandingOver && HasEpochBegun(aView) && !ended &&
         aEveryGateDrained;
}

/// @brief Whether this half has to ask the other for the record of its hand-over.
constexpr bool MustQueryOtherHalf(const HalfView& aView)
{
  return aView.m_desiredOwner == DesiredOwner::Here && aView.m_epoch > 1 &&
         aView.m_otherLastEndedEpoch + 1 < aView.m_epoch;
}

} // namespace ferrytray::control
