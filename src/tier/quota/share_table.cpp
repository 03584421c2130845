#include "tier/quota/share_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pearreach::quota {
namespace {

std::uint64_t HashOf(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t SumOf(const ShardShares& shares) {
  std::uint64_t sum = 0;
  for (const auto& [node, share] : shares) sum += share;
  return sum;
}

// By rendezvous hashing, so that a candidate that comes or goes moves few shares; the best of each
// zone first, then the second best of each.
std::vector<std::string> ChooseAllocators(const std::vector<Candidate>& candidates,
                                          std::size_t shard, std::size_t count) {
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> by_zone;
  for (const Candidate& candidate : candidates)
    by_zone[candidate.zone].emplace_back(HashOf(candidate.name, shard), candidate.name);
  struct Ranked {
    std::size_t rank_in_zone = 0;
    std::uint64_t hash = 0;
    std::string name;
    auto operator<=>(const Ranked&) const = default;
  };
  std::vector<Ranked> ranked;
  for (auto& [zone, hashed] : by_zone) {
    std::sort(hashed.begin(), hashed.end());
    for (std::size_t i = 0; i < hashed.size(); ++i)
      ranked.push_back({i, hashed[i].first, hashed[i].second});
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > count) ranked.resize(count);
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (Ranked& one : ranked) names.push_back(std::move(one.name));
  return names;
}

std::uint32_t ShareIn(const ShardShares& shares, const std::string& node) {
  const auto found = shares.find(node);
  return found == shares.end() ? 0 : found->second;
}

ShardShares WithoutAbsent(const ShardShares& shares, const std::set<std::string>& present) {
  ShardShares kept;
  for (const auto& [node, share] : shares) {
    if (share > 0 && present.contains(node)) kept[node] = share;
  }
  return kept;
}

// Divides what no node has among those that are to have more, in proportion.
ShardShares Grow(const ShardShares& current, const ShardShares& desired) {
  std::uint64_t lacking = 0;
  for (const auto& [node, share] : desired)
    lacking += share - std::min(share, ShareIn(current, node));
  const std::uint64_t free = kWholeShare - SumOf(current);
  const std::uint64_t added = std::min(lacking, free);
  ShardShares grown = current;
  for (const auto& [node, share] : desired) {
    const std::uint64_t lack = share - std::min(share, ShareIn(current, node));
    const std::uint64_t growth = lacking == 0 ? 0 : lack * added / lacking;
    if (growth > 0) grown[node] += static_cast<std::uint32_t>(growth);
  }
  return grown;
}

ShardShares Shrink(const ShardShares& current, const ShardShares& desired) {
  ShardShares shrunk = current;
  std::uint32_t left_to_move = kMaxMovedShare;
  for (const auto& [node, share] : current) {
    const std::uint32_t surplus = share - std::min(share, ShareIn(desired, node));
    const std::uint32_t moved = std::min(surplus, left_to_move);
    left_to_move -= moved;
    shrunk[node] -= moved;
    if (shrunk[node] == 0) shrunk.erase(node);
  }
  return shrunk;
}

}  // namespace

std::string EncodeShareTable(const ShareTable& table) { return codec::Encode(table); }

absl::StatusOr<ShareTable> DecodeShareTable(std::string_view bytes) {
  auto table = codec::Decode<ShareTable>(bytes);
  if (!table.ok()) return table.status();
  const bool fits = table->shards.size() == kShards &&
                    std::all_of(table->shards.begin(), table->shards.end(),
                                [](const auto& shard) { return SumOf(shard) <= kWholeShare; });
  if (!fits) return absl::InvalidArgumentError("shares of a shard exceed the whole");
  return table;
}

std::size_t ShardOf(std::string_view tenant) { return HashOf(tenant, 0) % kShards; }

double ShareOf(const ShareTable& table, std::string_view tenant, const std::string& node) {
  if (table.shards.size() != kShards) return 0;
  return static_cast<double>(ShareIn(table.shards[ShardOf(tenant)], node)) / kWholeShare;
}

ShareTable DesiredShareTable(const std::vector<Candidate>& candidates, std::size_t allocators) {
  ShareTable table;
  table.shards.resize(kShards);
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    const std::vector<std::string> names = ChooseAllocators(candidates, shard, allocators);
    for (const std::string& name : names)
      table.shards[shard][name] = kWholeShare / static_cast<std::uint32_t>(names.size());
  }
  return table;
}

ShardShares NextShardShares(const ShardShares& current, const ShardShares& desired,
                            const std::set<std::string>& present, bool may_grow) {
  ShardShares reachable = WithoutAbsent(current, present);
  if (reachable != current) return reachable;
  const ShardShares grown = Grow(current, desired);
  if (grown != current) return may_grow ? grown : current;
  return Shrink(current, desired);
}

std::optional<ShareTable> NextShareTable(const ShareTable& current, const ShareTable& desired,
                                         const std::set<std::string>& present,
                                         const std::vector<bool>& may_grow) {
  ShareTable next;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    next.shards.push_back(
        NextShardShares(current.shards[shard], desired.shards[shard], present, may_grow[shard]));
  }
  return next == current ? std::nullopt : std::optional(std::move(next));
}

}  // namespace pearreach::quota
