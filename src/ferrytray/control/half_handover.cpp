#include "ferrytray/control/half_handover.hpp"

#include <algorithm> // for includes

namespace ferrytray::control {

bool HalfHandover::Give()
{
  if (m_phase != HalfPhase::Here) {
    return false;
  }
  m_phase = HalfPhase::HandingOver;
  m_drained.clear();
  return true;
}

void HalfHandover::OnGateReport(const std::string& aGate,
                                std::uint64_t aEpoch,
                                std::uint64_t aOpenWork)
{
  if (m_phase != HalfPhase::HandingOver || aEpoch != m_epoch) {
    return;
  }
  if (aOpenWork == 0) {
    m_drained.insert(aGate);
  }
}

bool HalfHandover::MayRecord() const
{
  const bool allDrained =
    std::includes(m_drained.begin(), m_drained.end(), m_gates.begin(), m_gates.end());
  return m_phase == HalfPhase::HandingOver && allDrained;
}

void HalfHandover::OnRecorded(std::uint64_t aEpoch)
{
  if (m_phase == HalfPhase::HandingOver && aEpoch == m_epoch) {
    m_phase = HalfPhase::There;
    ++m_epoch;
  }
}

void HalfHandover::Take()
{
  if (m_phase == HalfPhase::There) {
    m_phase = HalfPhase::Awaiting;
  }
}

void HalfHandover::OnOtherRecorded(std::uint64_t aEpoch)
{
  // A record of an epoch gone by is a repeat: the work came here and left again since.
  if (m_phase == HalfPhase::Awaiting && aEpoch >= m_epoch) {
    m_phase = HalfPhase::Here;
    m_epoch = aEpoch + 1;
  }
}

} // namespace ferrytray::control
