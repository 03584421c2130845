// Digests of a table of workers: two nodes compare them and need not exchange the records they both
// have.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_DIGESTS_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_DIGESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "tier/registry/worker_table.h"

namespace pearreach::registry {

// Per shard of the table a sum of the hashes of its records, so that the order of changes does not
// matter. Owned by a WorkerState; not thread-safe.
class WorkerDigests {
 public:
  // A hash of what nodes exchange of a record, the same on every node.
  static std::uint64_t RecordHash(const WorkerRecord& record);

  // REQUIRES: a record is removed as it was added.
  void Add(const WorkerRecord& record) { ShardOf(record) += RecordHash(record); }
  void Remove(const WorkerRecord& record) { ShardOf(record) -= RecordHash(record); }

  std::uint64_t Total() const;
  std::vector<std::uint64_t> Shards() const { return {shards_.begin(), shards_.end()}; }

 private:
  std::uint64_t& ShardOf(const WorkerRecord& record) {
    return shards_[WorkerTable::ShardOf(record.worker_id)];
  }

  std::array<std::uint64_t, WorkerTable::kShards> shards_{};
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_DIGESTS_H_
