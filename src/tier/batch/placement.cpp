#include "tier/batch/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "tier/batch/replica_spread.h"
#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

// Partitions that are moved for balance alone within one table.
constexpr int kMovesAtOnce = 2;
// Partitions whose replicas are spread over more zones within one table.
constexpr int kSpreadAtOnce = 8;
// Differences in the number of partitions (or of primaries) that are left as they are.
constexpr int kToleratedSkew = 3;

bool ContainsName(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

bool NamesIn(const std::vector<StoreId>& list, const std::string& name) {
  return std::any_of(list.begin(), list.end(),
                     [&](const StoreId& store) { return store.name == name; });
}

// FNV-1a: the order of preference of equally loaded stores for a partition.
std::uint64_t Preference(std::uint32_t partition, const StoreId& store) {
  constexpr std::uint64_t kOffset = 14695981039346656037ull, kPrime = 1099511628211ull;
  std::uint64_t hash = (kOffset ^ partition) * kPrime;
  for (const char c : store.name) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash ^ (hash >> 32);
}

class Planner {
 public:
  Planner(PlacementTable table, const PlacementInput& input)
      : table_(std::move(table)), input_(input) {
    CountLoad();
  }

  void MakeFirst();
  void Plan();
  bool changed() const { return changed_; }
  PlacementTable Take() { return std::move(table_); }

 private:
  void CountLoad();
  StoreCondition ConditionOf(const StoreId& store) const;
  bool DiskIsLost(const StoreId& store) const;
  bool IsUsable(const StoreView& store) const;
  bool IsLeaving(const std::string& name) const;
  ReplicaSpread Spread() const { return ReplicaSpread(input_, table_); }
  void IncreaseSpread();
  std::map<std::string, int> Shared(const Partition& partition) const;
  const StoreView* Choose(std::uint32_t index, const Partition& partition) const;
  bool DropLostDisks(Partition* partition);
  bool ForgetLostDisks(Partition* partition);
  bool DropJoining(Partition* partition);
  bool Promote(std::uint32_t index, Partition* partition);
  bool DropSurplus(Partition* partition);
  bool AddJoining(std::uint32_t index, Partition* partition);
  bool LeadByLive(Partition* partition);
  bool Trim(std::uint32_t index, Partition* partition);
  void FinishRetiring();
  void Rebalance();
  bool RebalancePrimary();
  bool RebalanceReplica();
  bool IsAvailable(const StoreId& store) const;
  std::size_t CountAvailableReplicas(const Partition& partition) const;
  std::size_t SurplusReplica(const Partition& partition) const;

  PlacementTable table_;
  const PlacementInput& input_;
  std::map<std::string, int> load_, primaries_;  // by store name
  bool changed_ = false;
};

void Planner::CountLoad() {
  load_.clear();
  primaries_.clear();
  for (const Partition& partition : table_.partitions) {
    for (const StoreId& store : partition.replicas) ++load_[store.name];
    for (const StoreId& store : partition.joining) ++load_[store.name];
    if (!partition.replicas.empty()) ++primaries_[partition.replicas.front().name];
  }
}

StoreCondition Planner::ConditionOf(const StoreId& store) const {
  const auto found = input_.stores.find(store.name);
  if (found == input_.stores.end()) return StoreCondition::kUncertain;
  if (found->second.id.disk_id != store.disk_id) return StoreCondition::kGone;
  return found->second.condition;
}

// Another disk stands at the store's place: the one named here does not come back.
bool Planner::DiskIsLost(const StoreId& store) const {
  const auto found = input_.stores.find(store.name);
  return found != input_.stores.end() && found->second.id.disk_id != store.disk_id;
}

bool Planner::IsLeaving(const std::string& name) const {
  return ContainsName(table_.retiring, name) || ContainsName(table_.retired, name);
}

bool Planner::IsUsable(const StoreView& store) const {
  return store.condition == StoreCondition::kLive && !IsLeaving(store.id.name);
}

// In how many partitions each store stands beside a replica of this one: the loss of a store is
// made good from many others where these are mixed.
std::map<std::string, int> Planner::Shared(const Partition& partition) const {
  std::map<std::string, int> shared;
  for (const Partition& other : table_.partitions) {
    const bool meets =
        std::any_of(other.replicas.begin(), other.replicas.end(),
                    [&](const StoreId& store) { return NamesIn(partition.replicas, store.name); });
    if (!meets) continue;
    for (const StoreId& store : other.replicas) ++shared[store.name];
    for (const StoreId& store : other.joining) ++shared[store.name];
  }
  return shared;
}

// The best store that the partition does not have yet: of a zone of its own, then the one with the
// least load and the fewest partitions in common with those that it has.
const StoreView* Planner::Choose(std::uint32_t index, const Partition& partition) const {
  const std::set<std::string> zones = Spread().ZonesOf(partition),
                              regions = Spread().RegionsOf(zones);
  std::map<std::string, int> shared = Shared(partition);
  const StoreView* best = nullptr;
  std::tuple<bool, bool, int, std::uint64_t> best_rank;
  for (const auto& [name, store] : input_.stores) {
    if (!IsUsable(store) || NamesIn(partition.replicas, name)) continue;
    if (NamesIn(partition.joining, name)) continue;
    const auto load = load_.find(name);
    const int cost = (load == load_.end() ? 0 : load->second) + shared[name];
    const bool same_region =
        regions.size() < input_.spread.regions && regions.count(Spread().RegionOf(store.zone)) > 0;
    const std::tuple<bool, bool, int, std::uint64_t> rank = {
        same_region, zones.count(store.zone) > 0, cost, Preference(index, store.id)};
    if (best != nullptr && rank >= best_rank) continue;
    best = &store;
    best_rank = rank;
  }
  return best;
}

void Planner::MakeFirst() {
  table_.partitions.assign(kPartitions, {});
  for (std::uint32_t index = 0; index < kPartitions; ++index) {
    Partition& partition = table_.partitions[index];
    partition.epoch = 1;
    while (partition.replicas.size() < input_.spread.replicas) {
      const StoreView* store = Choose(index, partition);
      if (store == nullptr) break;
      partition.replicas.push_back(store->id);
      ++load_[store->id.name];
    }
    const auto fewest = std::min_element(partition.replicas.begin(), partition.replicas.end(),
                                         [&](const StoreId& a, const StoreId& b) {
                                           return primaries_[a.name] < primaries_[b.name];
                                         });
    if (fewest == partition.replicas.end()) continue;
    std::iter_swap(partition.replicas.begin(), fewest);
    ++primaries_[partition.replicas.front().name];
  }
  changed_ = true;
}

// Removes disks that are lost, as long as another replica stays, and keeps on record that the
// partition is short of them for that reason.
bool Planner::DropLostDisks(Partition* partition) {
  auto& replicas = partition->replicas;
  const std::size_t before = replicas.size();
  for (auto at = replicas.begin(); at != replicas.end();) {
    const bool drop = replicas.size() > 1 && DiskIsLost(*at);
    if (drop) partition->lost.push_back(*at);
    at = drop ? replicas.erase(at) : at + 1;
  }
  return replicas.size() != before;
}

// The losses are made good.
bool Planner::ForgetLostDisks(Partition* partition) {
  const bool is_complete = partition->replicas.size() >= input_.spread.replicas;
  if (!is_complete || partition->lost.empty()) return false;
  partition->lost.clear();
  return true;
}

bool Planner::DropJoining(Partition* partition) {
  const std::size_t before = partition->joining.size();
  std::erase_if(partition->joining, [&](const StoreId& store) {
    return ConditionOf(store) == StoreCondition::kGone || IsLeaving(store.name);
  });
  return partition->joining.size() != before;
}

bool Planner::Promote(std::uint32_t index, Partition* partition) {
  bool promoted = false;
  for (auto at = partition->joining.begin(); at != partition->joining.end();) {
    const bool is_filled = input_.filled.count({*at, index, partition->epoch}) > 0;
    if (!is_filled || ConditionOf(*at) != StoreCondition::kLive) {
      ++at;
      continue;
    }
    partition->replicas.push_back(*at);
    at = partition->joining.erase(at);
    promoted = true;
  }
  return promoted;
}

// The replica is there, or briefly unheard, and stays.
bool Planner::IsAvailable(const StoreId& store) const {
  return !IsLeaving(store.name) && ConditionOf(store) != StoreCondition::kGone;
}

std::size_t Planner::CountAvailableReplicas(const Partition& partition) const {
  return static_cast<std::size_t>(
      std::count_if(partition.replicas.begin(), partition.replicas.end(),
                    [&](const StoreId& store) { return IsAvailable(store); }));
}

// The position of the replica that is given up first: an unheard one, then one of two in one zone
// rather than the only one in its zone, then the one whose store has most.
std::size_t Planner::SurplusReplica(const Partition& partition) const {
  const auto rank = [&](const StoreId& store) {
    const auto load = load_.find(store.name);
    return std::tuple(ConditionOf(store) != StoreCondition::kLive,
                      -Spread().ImportanceOf(store, partition),
                      load == load_.end() ? 0 : load->second);
  };
  const auto surplus =
      std::max_element(partition.replicas.begin(), partition.replicas.end(),
                       [&](const StoreId& a, const StoreId& b) { return rank(a) < rank(b); });
  return static_cast<std::size_t>(surplus - partition.replicas.begin());
}

// Removes gone and retiring replicas once enough others hold everything, and one that is too many.
bool Planner::DropSurplus(Partition* partition) {
  auto& replicas = partition->replicas;
  if (CountAvailableReplicas(*partition) < input_.spread.replicas) return false;
  const std::size_t before = replicas.size();
  std::erase_if(replicas, [&](const StoreId& store) { return !IsAvailable(store); });
  if (replicas.size() > input_.spread.replicas) {
    const auto surplus = replicas.begin() + static_cast<std::ptrdiff_t>(SurplusReplica(*partition));
    --load_[surplus->name];
    replicas.erase(surplus);
  }
  return replicas.size() != before;
}

bool Planner::AddJoining(std::uint32_t index, Partition* partition) {
  if (!partition->joining.empty()) return false;
  if (CountAvailableReplicas(*partition) >= input_.spread.replicas) return false;
  const StoreView* store = Choose(index, *partition);
  if (store == nullptr) return false;
  partition->joining.push_back(store->id);
  ++load_[store->id.name];
  return true;
}

// A live replica leads where the first one is gone.
bool Planner::LeadByLive(Partition* partition) {
  auto& replicas = partition->replicas;
  if (replicas.empty() || ConditionOf(replicas.front()) != StoreCondition::kGone) return false;
  const auto live = std::find_if(replicas.begin(), replicas.end(), [&](const StoreId& store) {
    return ConditionOf(store) == StoreCondition::kLive;
  });
  if (live == replicas.end()) return false;
  std::iter_swap(replicas.begin(), live);
  return true;
}

void Planner::FinishRetiring() {
  for (auto at = table_.retiring.begin(); at != table_.retiring.end();) {
    if (NamesStore(table_, *at)) {
      ++at;
      continue;
    }
    if (!ContainsName(table_.retired, *at)) table_.retired.push_back(*at);
    at = table_.retiring.erase(at);
    changed_ = true;
  }
}

// Hands the role of the primary from the store with most to a replica at one with few.
bool Planner::RebalancePrimary() {
  Partition* best = nullptr;
  std::size_t to = 0;
  int best_gain = kToleratedSkew;
  for (Partition& partition : table_.partitions) {
    const int here = primaries_[partition.replicas.front().name];
    for (std::size_t at = 1; at < partition.replicas.size(); ++at) {
      if (ConditionOf(partition.replicas[at]) != StoreCondition::kLive) continue;
      const int gain = here - primaries_[partition.replicas[at].name];
      if (gain <= best_gain) continue;
      best = &partition;
      to = at;
      best_gain = gain;
    }
  }
  if (best == nullptr) return false;
  --primaries_[best->replicas.front().name];
  std::swap(best->replicas.front(), best->replicas[to]);
  ++primaries_[best->replicas.front().name];
  ++best->epoch;
  return true;
}

// Lets the store with the fewest partitions join one of the store with the most.
bool Planner::RebalanceReplica() {
  const StoreView* fewest = nullptr;
  for (const auto& [name, store] : input_.stores) {
    if (!IsUsable(store)) continue;
    if (fewest == nullptr || load_[name] < load_[fewest->id.name]) fewest = &store;
  }
  if (fewest == nullptr) return false;
  Partition* best = nullptr;
  int best_gain = kToleratedSkew;
  for (Partition& partition : table_.partitions) {
    if (!partition.joining.empty() || NamesIn(partition.replicas, fewest->id.name)) continue;
    const StoreId* max_count = nullptr;  // would be given up for it
    bool keeps_zones = true;
    for (const StoreId& store : partition.replicas) {
      if (max_count == nullptr || load_[store.name] > load_[max_count->name]) max_count = &store;
    }
    for (const StoreId& store : partition.replicas) {
      if (&store != max_count && Spread().ZoneOf(store) == fewest->zone) keeps_zones = false;
    }
    Partition moved = partition;
    std::replace(moved.replicas.begin(), moved.replicas.end(), *max_count, fewest->id);
    if (Spread().ReducesSpread(partition, moved)) keeps_zones = false;
    const int gain = load_[max_count->name] - load_[fewest->id.name];
    if (!keeps_zones || gain <= best_gain) continue;
    best = &partition;
    best_gain = gain;
  }
  if (best == nullptr) return false;
  best->joining.push_back(fewest->id);
  ++load_[fewest->id.name];
  ++best->epoch;
  return true;
}

// Lets stores of further zones join partitions whose replicas stand in too few.
void Planner::IncreaseSpread() {
  int moves = 0;
  for (std::uint32_t index = 0; index < table_.partitions.size(); ++index) {
    Partition& partition = table_.partitions[index];
    const StoreView* store = Choose(index, partition);
    if (store == nullptr || !Spread().IncreasesSpread(*store, partition)) continue;
    partition.joining.push_back(store->id);
    ++load_[store->id.name];
    ++partition.epoch;
    changed_ = true;
    if (++moves == kSpreadAtOnce) break;
  }
}

void Planner::Rebalance() {
  for (int moves = 0; moves < kMovesAtOnce; ++moves) {
    if (!RebalanceReplica()) break;
    changed_ = true;
  }
  if (changed_) return;
  for (int moves = 0; moves < kMovesAtOnce; ++moves) {
    if (!RebalancePrimary()) break;
    changed_ = true;
  }
}

// All that needs no choice of a store: removals, and joining stores that have become replicas.
bool Planner::Trim(std::uint32_t index, Partition* partition) {
  bool changed = DropLostDisks(partition);
  changed |= DropJoining(partition);
  changed |= Promote(index, partition);
  changed |= DropSurplus(partition);
  changed |= ForgetLostDisks(partition);
  changed |= LeadByLive(partition);
  return changed;
}

void Planner::Plan() {
  std::vector<bool> changed(table_.partitions.size(), false);
  for (std::uint32_t index = 0; index < table_.partitions.size(); ++index) {
    changed[index] = Trim(index, &table_.partitions[index]);
  }
  CountLoad();
  for (std::uint32_t index = 0; index < table_.partitions.size(); ++index) {
    Partition& partition = table_.partitions[index];
    if (AddJoining(index, &partition)) changed[index] = true;
    if (!changed[index]) continue;
    ++partition.epoch;
    changed_ = true;
  }
  FinishRetiring();
  if (changed_ || !input_.allow_moves || !IsSettled(table_, input_.spread.replicas)) return;
  CountLoad();
  IncreaseSpread();
  if (!changed_) Rebalance();
}

}  // namespace

std::optional<PlacementTable> NextPlacement(const PlacementTable* current,
                                            const PlacementInput& input) {
  if (current != nullptr) {
    Planner planner(*current, input);
    planner.Plan();
    if (!planner.changed()) return std::nullopt;
    PlacementTable next = planner.Take();
    next.epoch = current->epoch + 1;
    return next;
  }
  const auto live = std::count_if(input.stores.begin(), input.stores.end(), [](const auto& entry) {
    return entry.second.condition == StoreCondition::kLive;
  });
  if (!input.allow_first || static_cast<std::size_t>(live) < input.spread.replicas)
    return std::nullopt;
  Planner planner({}, input);
  planner.MakeFirst();
  PlacementTable first = planner.Take();
  first.epoch = 1;
  return first;
}

bool IsSettled(const PlacementTable& table, std::size_t replicas) {
  return std::all_of(table.partitions.begin(), table.partitions.end(), [&](const Partition& part) {
    return part.joining.empty() && part.replicas.size() == replicas;
  });
}

std::set<StoreId> StoresIn(std::string_view encoded_table) {
  std::set<StoreId> stores;
  const auto table = codec::Decode<PlacementTable>(encoded_table);
  if (!table.ok()) return stores;
  for (const Partition& partition : table->partitions)
    stores.insert(partition.replicas.begin(), partition.replicas.end());
  return stores;
}

bool NamesStore(const PlacementTable& table, const std::string& name) {
  return std::any_of(table.partitions.begin(), table.partitions.end(), [&](const Partition& part) {
    return NamesIn(part.replicas, name) || NamesIn(part.joining, name);
  });
}

}  // namespace pearreach::batch
