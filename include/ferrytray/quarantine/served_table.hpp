#pragma once

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <vector>  // for vector

#include "ferrytray/quarantine/content_key.hpp" // for ContentKey

namespace ferrytray::quarantine {

/// @brief Fixed-size hash table of content that was answered completely. Performs no I/O.
///
/// Newer content overwrites the one in its slot, so a lookup may miss content that was answered but
/// does not report any that never was.
class ServedTable
{
public:
  explicit ServedTable(std::size_t aSlotCount)
    : m_slots(aSlotCount, 0)
  {
  }

  void Add(const ContentKey& aContent) { m_slots[SlotOf(aContent)] = aContent.m_high; }
  [[nodiscard]] bool Contains(const ContentKey& aContent) const
  {
    return m_slots[SlotOf(aContent)] == aContent.m_high;
  }

private:
  [[nodiscard]] std::size_t SlotOf(const ContentKey& aContent) const
  {
    return aContent.m_low % m_slots.size();
  }

  std::vector<std::uint64_t> m_slots;
};

} // namespace ferrytray::quarantine
