// The zones and regions that the replicas of a partition are in, compared with the wanted spread.
#ifndef PEARREACH_SRC_TIER_BATCH_REPLICA_SPREAD_H_
#define PEARREACH_SRC_TIER_BATCH_REPLICA_SPREAD_H_

#include <set>
#include <string>

#include "tier/batch/messages.h"
#include "tier/batch/placement.h"

namespace pearreach::batch {

// A view for the time of one plan. No clock, no I/O.
class ReplicaSpread {
 public:
  // Both outlive this. Stores that leave by `table` do not count.
  ReplicaSpread(const PlacementInput& input, const PlacementTable& table)
      : input_(input), table_(table) {}

  std::string ZoneOf(const StoreId& store) const;
  std::string RegionOf(const std::string& zone) const;
  // Those of the replicas that stay.
  std::set<std::string> ZonesOf(const Partition& partition) const;
  std::set<std::string> RegionsOf(const std::set<std::string>& zones) const;
  // `after` stands in fewer zones or regions than `before`, of those that are wanted.
  bool ReducesSpread(const Partition& before, const Partition& after) const;
  // How much a replica is needed in its zone: 2 for the zones and regions that are wanted, 1 as
  // the only one in its zone.
  int ImportanceOf(const StoreId& store, const Partition& partition) const;
  // The partition's replicas stand in too few zones or regions, and this store's is another one.
  bool IncreasesSpread(const StoreView& store, const Partition& partition) const;

 private:
  bool IsLeaving(const std::string& name) const;

  const PlacementInput& input_;
  const PlacementTable& table_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPLICA_SPREAD_H_
