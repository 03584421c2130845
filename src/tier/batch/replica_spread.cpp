#include "tier/batch/replica_spread.h"

#include <algorithm>

namespace pearreach::batch {

bool ReplicaSpread::IsLeaving(const std::string& name) const {
  const auto is_named = [&](const std::vector<std::string>& list) {
    return std::find(list.begin(), list.end(), name) != list.end();
  };
  return is_named(table_.retiring) || is_named(table_.retired);
}

std::string ReplicaSpread::ZoneOf(const StoreId& store) const {
  const auto found = input_.stores.find(store.name);
  return found == input_.stores.end() ? std::string() : found->second.zone;
}

std::string ReplicaSpread::RegionOf(const std::string& zone) const {
  const auto found = input_.spread.region_of.find(zone);
  return found == input_.spread.region_of.end() ? std::string() : found->second;
}

std::set<std::string> ReplicaSpread::ZonesOf(const Partition& partition) const {
  std::set<std::string> zones;
  for (const StoreId& store : partition.replicas) {
    if (!IsLeaving(store.name)) zones.insert(ZoneOf(store));
  }
  return zones;
}

std::set<std::string> ReplicaSpread::RegionsOf(const std::set<std::string>& zones) const {
  std::set<std::string> regions;
  for (const std::string& zone : zones) regions.insert(RegionOf(zone));
  return regions;
}

bool ReplicaSpread::ReducesSpread(const Partition& before, const Partition& after) const {
  const std::set<std::string> had = ZonesOf(before), has = ZonesOf(after);
  return has.size() < std::min(had.size(), input_.spread.zones) ||
         RegionsOf(has).size() < std::min(RegionsOf(had).size(), input_.spread.regions);
}

int ReplicaSpread::ImportanceOf(const StoreId& store, const Partition& partition) const {
  Partition rest = partition;
  std::erase(rest.replicas, store);
  if (ReducesSpread(partition, rest)) return 2;
  return ZonesOf(rest).count(ZoneOf(store)) > 0 ? 0 : 1;
}

bool ReplicaSpread::IncreasesSpread(const StoreView& store, const Partition& partition) const {
  const std::set<std::string> zones = ZonesOf(partition), regions = RegionsOf(zones);
  const bool new_zone = zones.count(store.zone) == 0;
  const bool new_region = regions.count(RegionOf(store.zone)) == 0;
  return (zones.size() < input_.spread.zones && new_zone) ||
         (regions.size() < input_.spread.regions && new_region);
}

}  // namespace pearreach::batch
