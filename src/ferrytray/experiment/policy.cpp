#include "ferrytray/experiment/model.hpp"

#include <array> // for array

namespace ferrytray::experiment {

std::string NameOf(const Policy& aPolicy)
{
  static const std::array<const char*, std::variant_size_v<Policy>> kNames{
    "ferrytray", "round-robin", "least-load", "affinity-hash", "always-recompute", "always-restore"
  };
  return kNames.at(aPolicy.index());
}

std::string NameOf(Fault aFault)
{
  static const std::array<const char*, 7> kNames{ "none",          "slow-worker",    "store-dead",
                                                  "link-at-tenth", "three-swapping", "zone-gone",
                                                  "blind-reports" };
  return kNames.at(static_cast<std::size_t>(aFault));
}

} // namespace ferrytray::experiment
