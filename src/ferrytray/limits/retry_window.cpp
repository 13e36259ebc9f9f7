#include "ferrytray/limits/retry_window.hpp"

#include <algorithm> // for max, min
#include <limits>    // for numeric_limits

namespace ferrytray::limits {

std::int64_t RetryWindow::SlotNumberAt(base::TimePoint aNow) const
{
  return aNow.time_since_epoch() / (m_options.m_window / kSlotsPerWindow);
}

RetryWindow::Slot& RetryWindow::SlotOf(Service& aService, std::int64_t aNumber)
{
  Slot& slot = aService.m_slots[static_cast<std::size_t>(aNumber) % aService.m_slots.size()];
  if (slot.m_number != aNumber) {
    slot = { aNumber, 0, 0 };
  }
  return slot;
}

RetryWindow::Slot RetryWindow::Counts(const Service& aService, std::int64_t aNumber)
{
  if (aNumber < 0) {
    return {};
  }
  const Slot& slot = aService.m_slots[static_cast<std::size_t>(aNumber) % aService.m_slots.size()];
  return slot.m_number == aNumber ? slot : Slot{ aNumber, 0, 0 };
}

void RetryWindow::SetHostCount(std::size_t aHosts)
{
  const auto hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  m_hostAllowance = std::min(m_options.m_maxHostAllowance, m_options.m_slack / hosts);
}

void RetryWindow::OnRequest(const std::string& aService, base::TimePoint aNow)
{
  const std::int64_t number = SlotNumberAt(aNow);
  const auto [found, isNew] = m_services.try_emplace(aService);
  if (isNew) {
    found->second.m_firstSlot = number;
  }
  SlotOf(found->second, number).m_requests += 1;
}

bool RetryWindow::TryRetry(const std::string& aService, base::TimePoint aNow)
{
  if (Remaining(aService, aNow) < 1) {
    return false;
  }
  SlotOf(m_services.at(aService), SlotNumberAt(aNow)).m_retries += 1;
  return true;
}

double RetryWindow::Remaining(const std::string& aService, base::TimePoint aNow) const
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return 0;
  }
  const Service& service = found->second;
  const std::int64_t newest = SlotNumberAt(aNow);
  double inWindow = 0; // requests in whole slots of the window
  double before = 0;   // requests in whole slots of the window before
  double retries = 0;
  for (std::int64_t number = newest - 1; number > newest - kSlotsPerWindow; --number) {
    before += Counts(service, number).m_requests;
  }
  double remaining = std::numeric_limits<double>::max();
  // For each slot, the windows that begin in it. Retries in that slot may be in the window,
  // requests may not. The oldest of these windows begin in the slot in which one window ago lies.
  for (std::int64_t first = newest; first >= newest - kSlotsPerWindow; --first) {
    const Slot slot = Counts(service, first);
    retries += slot.m_retries;
    const double allowance = first > service.m_firstSlot ? m_hostAllowance : 0;
    const double earned =
      m_options.m_ratio * m_options.m_usedFraction * (inWindow + before) / 2 + allowance;
    remaining = std::min(remaining, earned - retries);
    inWindow += slot.m_requests;
    before += Counts(service, first - kSlotsPerWindow).m_requests;
    before -= Counts(service, first - 1).m_requests;
  }
  return remaining;
}

} // namespace ferrytray::limits
