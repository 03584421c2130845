#include "tier/batch/shutdown_check.h"

#include <algorithm>

namespace pearreach::batch {

bool PeersHoldAllData(const PlacementTable& table, const StoreId& self,
                      const std::function<bool(const StoreId&)>& is_live) {
  return std::all_of(
      table.partitions.begin(), table.partitions.end(), [&](const Partition& partition) {
        const std::vector<StoreId>& replicas = partition.replicas;
        if (std::find(replicas.begin(), replicas.end(), self) == replicas.end()) return true;
        return std::any_of(replicas.begin(), replicas.end(),
                           [&](const StoreId& store) { return store != self && is_live(store); });
      });
}

}  // namespace pearreach::batch
