#pragma once

#include <cstdint> // for uint64_t

namespace ferrytray::control {

/// @brief The owner of a rule that this half's operator has configured.
enum class DesiredOwner : std::uint8_t
{
  Here,
  HandingOver,
  There,
};

/// @brief State of one rule according to this half's configuration and log.
///
/// Epochs alternate between the halves: the half that ended one cannot own the next. Otherwise both
/// operators could claim the same epoch after a hand-over.
struct HalfView
{
  DesiredOwner m_desiredOwner = DesiredOwner::Here;
  std::uint64_t m_epoch = 1;          ///< of the configured owner; the first owner has epoch 1
  std::uint64_t m_lastEndedEpoch = 0; ///< the highest epoch that this half ended
  std::uint64_t m_otherLastEndedEpoch =
    0; ///< the highest epoch that the other half is known to have ended
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
