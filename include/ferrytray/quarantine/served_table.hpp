#pragma once

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <vector>  // for vector

#include "ferrytray/quarantine/content_key.hpp" // for ContentKey

namespace ferrytray::quarantine {

/// @brief Fixed-size hash table of recently completed requests. Performs no I/O.
///
/// A newer request overwrites the one in its slot, so a lookup may miss a completed request but
/// does not report one that never completed.
class ServedTable
{
public:
  explicit ServedTable(std::size_t aSlotCount)
    : m_slots(aSlotCount, 0)
  {
  }

  void Add(const ContentKey& aRequest) { m_slots[SlotOf(aRequest)] = aRequest.m_high; }
  [[nodiscard]] bool Contains(const ContentKey& aRequest) const
  {
    return m_slots[SlotOf(aRequest)] == aRequest.m_high;
  }

private:
  [[nodiscard]] std::size_t SlotOf(const ContentKey& aRequest) const
  {
    return aRequest.m_low % m_slots.size();
  }

  std::vector<std::uint64_t> m_slots;
};

} // namespace ferrytray::quarantine
