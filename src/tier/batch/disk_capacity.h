// Whether a batch job fits on the disks of all replicas of its partition: from the bytes in use,
// the bytes that results of open batch jobs may still add, and the reserve for the repair after the
// loss of a store.
#ifndef PEARREACH_SRC_TIER_BATCH_DISK_CAPACITY_H_
#define PEARREACH_SRC_TIER_BATCH_DISK_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "tier/batch/batch_job_state.h"
#include "tier/batch/messages.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

// The most bytes that a batch job takes on disk with its results (whole pages where these count).
std::uint64_t BatchJobBytes(const BatchJobSpec& batch_job);
// The bytes that the results still missing may add.
std::uint64_t PendingResultBytes(const BatchJob& batch_job);

// Owned by StoreServer. All sizes are bytes. Not thread-safe.
class DiskCapacity {
 public:
  // `replicas`: wanted of each partition. Once a store of `stores` is lost, the others take over
  // what it held, as long as enough of them are left.
  void SetStores(std::size_t stores, std::size_t replicas);
  // Sums PendingResultBytes over all open batch jobs on this disk; the caller updates it regularly.
  void SetPendingResultBytes(std::uint64_t bytes);
  // The bytes left for further batch jobs on this disk; `space` as it is now.
  std::uint64_t AvailableBytes(const storage::Space& space) const;
  // What another store reported last.
  void SetPeerAvailableBytes(const StoreId& store, std::uint64_t capacity) {
    peers_[store] = capacity;
  }
  // A replica or joiner of the partition that has less than `bytes` left; none if all have enough.
  // A store that has not reported yet counts as having enough.
  std::optional<StoreId> FindStoreWithoutCapacity(const Partition& table, const StoreId& self,
                                                  const storage::Space& space,
                                                  std::uint64_t bytes) const;
  // Reserves the bytes on this disk and at the other replicas until they report again.
  void Reserve(const Partition& table, const StoreId& self, std::uint64_t bytes);
  bool IsNearlyFull(const storage::Space& space) const;  // less than a quarter of the limit is left

 private:
  std::uint64_t Limit(const storage::Space& space) const;

  std::size_t stores_ = 0, replicas_ = 1;
  std::uint64_t pending_result_bytes_ = 0;
  std::uint64_t admitted_ = 0,
                admitted_before_ = 0;  // since the last SetPendingResultBytes, and the one before
  std::map<StoreId, std::uint64_t> peers_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_DISK_CAPACITY_H_
