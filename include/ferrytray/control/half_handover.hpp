#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string

namespace ferrytray::control {

/// @brief Which half owns the work of a rule, as one half sees it.
enum class HalfPhase : std::uint8_t
{
  Here,        ///< this half serves
  HandingOver, ///< this half refuses new work and finishes what runs
  There,       ///< recorded: the other half may serve
  Awaiting,    ///< this half should serve, but the other's record has not arrived
};

/// @brief One half's side of a hand-over. Nothing is shared but the recorded hand-over.
///
/// Of both halves, at most one is in Here at an epoch: the giver records There only when every
/// gate has refused new work and drained, and the taker serves only once it holds that record.
class HalfHandover
{
public:
  /// @param aOwnsNow whether this half serves at the first epoch
  explicit HalfHandover(bool aOwnsNow)
    : m_phase(aOwnsNow ? HalfPhase::Here : HalfPhase::There)
  {
  }

  /// @brief The operator asks to hand over. Only the owner can.
  /// @return false when this half does not serve
  bool Give();
  /// @brief Every gate of this half must report its open work at this epoch.
  void SetGates(std::set<std::string> aGates) { m_gates = std::move(aGates); }
  /// @brief A gate has the hand-over in force and this much open work.
  void OnGateReport(const std::string& aGate, std::uint64_t aEpoch, std::uint64_t aOpenWork);
  /// @brief Whether the record may be appended to this half's log now.
  [[nodiscard]] bool MayRecord() const;
  /// @brief The record was read back from this half's log.
  void OnRecorded(std::uint64_t aEpoch);

  /// @brief The operator of the taking half asks for the work.
  void Take();
  /// @brief The other half's record arrived and stands in this half's log.
  void OnOtherRecorded(std::uint64_t aEpoch);

  [[nodiscard]] bool MayServe() const { return m_phase == HalfPhase::Here; }
  [[nodiscard]] HalfPhase Phase() const { return m_phase; }
  /// @brief Counts hand-overs; a record names the epoch that it ends.
  [[nodiscard]] std::uint64_t Epoch() const { return m_epoch; }

private:
  HalfPhase m_phase;
  std::uint64_t m_epoch = 1;
  std::set<std::string> m_gates;
  std::set<std::string> m_drained;
};

} // namespace ferrytray::control
