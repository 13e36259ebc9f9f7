#include "ferrytray/peers/start_delay.hpp"

#include <algorithm> // for min

#include "ferrytray/base/digest.hpp" // for Hash64

namespace ferrytray::peers {

namespace {

// 1 ms for a host with a whole core and 1,000 Mbit/s.
constexpr std::int64_t kDelayTimesCapacity = 100'000; // ms

// Hosts that start together do so within some 300 ms, and registering takes some 10 ms each.
constexpr base::Duration kMaxDelay = std::chrono::milliseconds(400);

// Hosts with less capacity read the topic over several times their own delay.
constexpr std::uint64_t kSpreadPercent = 200;

} // namespace

base::Duration StartDelay(std::uint32_t aCapacity, std::string_view aName)
{
  if (aCapacity == 0) {
    return {};
  }
  const base::Duration delay =
    std::min<base::Duration>(std::chrono::milliseconds(kDelayTimesCapacity / aCapacity), kMaxDelay);
  constexpr int kWholePercent = 100;
  const auto spread = static_cast<int>(base::Hash64("start", aName) % kSpreadPercent);
  return delay + delay * spread / kWholePercent;
}

} // namespace ferrytray::peers
