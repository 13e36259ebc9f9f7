#include "ferrytray/limits/retry_window.hpp"

namespace ferrytray::limits {

std::int64_t RetryWindow::SlotNumberAt(base::TimePoint aNow) const
{
  const base::Duration slot = m_options.m_window / static_cast<std::int64_t>(kSlots);
  return aNow.time_since_epoch() / slot;
}

RetryWindow::Slot& RetryWindow::SlotAt(Slots& aSlots, base::TimePoint aNow) const
{
  const std::int64_t number = SlotNumberAt(aNow);
  Slot& slot = aSlots[static_cast<std::size_t>(number) % kSlots];
  if (slot.m_slotNumber != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

void RetryWindow::OnFirstSend(const std::string& aService, base::TimePoint aNow)
{
  SlotAt(m_services[aService], aNow).m_firstSends += 1;
}

bool RetryWindow::TryRetry(const std::string& aService, base::TimePoint aNow)
{
  if (Remaining(aService, aNow) < 1) {
    return false;
  }
  SlotAt(m_services[aService], aNow).m_retries += 1;
  return true;
}

double RetryWindow::Remaining(const std::string& aService, base::TimePoint aNow)
{
  Slots& slots = m_services[aService];
  const Slot& current = SlotAt(slots, aNow);
  double firstSends = 0;
  double retries = 0;
  for (const Slot& slot : slots) {
    if (slot.m_slotNumber > current.m_slotNumber - static_cast<std::int64_t>(kSlots)) {
      firstSends += slot.m_firstSends;
      retries += slot.m_retries;
    }
  }
  const double allowed =
    m_options.m_minRetries + m_options.m_ratio * m_options.m_hostRatioFraction * firstSends;
  return allowed - retries;
}

} // namespace ferrytray::limits
