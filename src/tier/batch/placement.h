// Which stores hold which partitions of batch jobs: from the table in force and what is known of
// the stores, the next table. Pure: no clock, no transport.
#ifndef PEARREACH_SRC_TIER_BATCH_PLACEMENT_H_
#define PEARREACH_SRC_TIER_BATCH_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"

namespace pearreach::batch {

enum class StoreCondition : std::uint8_t {
  kLive,
  kUncertain,  // briefly unheard: keeps what it has, gets nothing new
  kGone,       // dead, or it has left
};

struct StoreView {
  StoreId id;  // with its present disk
  std::string zone;
  StoreCondition condition = StoreCondition::kLive;
};

// A joining store has reported that it holds all of a partition of this epoch.
struct FilledReport {
  StoreId store;
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;
  auto operator<=>(const FilledReport&) const = default;
};

// How many replicas a partition wants, and in how many zones and regions they stand at least, as
// far as there are live stores in so many.
struct PlacementSpread {
  std::size_t replicas = 2, zones = 1, regions = 1;
  std::map<std::string, std::string> region_of = {};  // by zone
};

struct PlacementInput {
  std::map<std::string, StoreView> stores;  // by name; what is missing here counts as kUncertain
  std::set<FilledReport> filled;
  PlacementSpread spread;
  bool allow_first = true;  // the set of live stores has settled: a first table may be made
  bool allow_moves = true;  // false: a store that went away is given time to return
};

// The table that should follow; none: the one in force stays. Every replica holds all that was
// acknowledged, also one that is gone: its disk may come back, and be the last one that does. So a
// gone replica stays in the table until `spread.replicas` others hold everything; until then
// changes wait for it or for the store that is filled in its place. Only a replica whose disk is
// known to be lost leaves at once, unless it is the last one. Each change of a partition raises its
// epoch.
std::optional<PlacementTable> NextPlacement(const PlacementTable* current,
                                            const PlacementInput& input);

// Every partition has its number of replicas and none is joining.
bool IsSettled(const PlacementTable& table, std::size_t replicas);
// The stores that hold partitions by an encoded table; empty if it cannot be read.
std::set<StoreId> StoresIn(std::string_view encoded_table);
// The table names the machine as the holder of a partition.
bool NamesStore(const PlacementTable& table, const std::string& name);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_PLACEMENT_H_
