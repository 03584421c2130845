// Which nodes may grant requests of which tenants, and how much of each limit: a value of the
// control state. Tenants fall into shards by their names; a shard is divided over a few allocators,
// each of which grants from its share of the limit without asking the others.
//
// The shares of a shard never sum to more than kWholeShare. A share that is taken from an allocator
// goes to others only kShareGrowthDelay later, when no allocator acts by a table from before: so
// the bound holds whichever of the tables an allocator knows (NextShareTable).
#ifndef PEARREACH_SRC_TIER_QUOTA_SHARE_TABLE_H_
#define PEARREACH_SRC_TIER_QUOTA_SHARE_TABLE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tier/codec/archive.h"

namespace pearreach::quota {

// Key of the control state.
inline constexpr char kShareTableKey[] = "quota_shares";

inline constexpr std::size_t kShards = 16;
inline constexpr std::uint32_t kWholeShare = 5040;  // divides evenly among up to ten allocators

// Of a shard, what is taken from nodes that can grant at one time.
inline constexpr std::uint32_t kMaxMovedShare = kWholeShare / 4;

// By node name; a node without a share has no entry.
using ShardShares = std::map<std::string, std::uint32_t>;

struct ShareTable {
  std::vector<ShardShares> shards;  // kShards
  bool operator==(const ShareTable&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& shards;
  }
};

std::string EncodeShareTable(const ShareTable& table);
// INVALID_ARGUMENT: not a table whose shards each sum to kWholeShare at most.
absl::StatusOr<ShareTable> DecodeShareTable(std::string_view bytes);

// The shard of a tenant, the same on every node.
std::size_t ShardOf(std::string_view tenant);
// Of a limit, in [0, 1].
double ShareOf(const ShareTable& table, std::string_view tenant, const std::string& node);

struct Candidate {
  std::string name, zone;
};

// Each shard over up to `allocators` of the candidates, in as many zones as there are; equal
// shares.
ShareTable DesiredShareTable(const std::vector<Candidate>& candidates, std::size_t allocators);

// What a shard may become on the way to `desired`: shares that only shrink, or, if `may_grow`, that
// only grow. `present`: nodes that can grant; the others lose their shares at once. What a present
// node is to give up waits until there is nothing left to grow into, and is kMaxMovedShare at most:
// however often `desired` changes, most of the limit stays with nodes that grant it.
ShardShares NextShardShares(const ShardShares& current, const ShardShares& desired,
                            const std::set<std::string>& present, bool may_grow);

// The table that may replace `current` on the way to `desired`; none: they are equal, or the next
// step must wait. `may_grow`: of each shard, whether it has been in force for kShareGrowthDelay.
std::optional<ShareTable> NextShareTable(const ShareTable& current, const ShareTable& desired,
                                         const std::set<std::string>& present,
                                         const std::vector<bool>& may_grow);

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_SHARE_TABLE_H_
