// Whether a lot finds room on the disks of all replicas of its partition, from the sizes: what is
// in use, what open lots may still add, and what must stay free to repair the loss of a store.
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

// What a lot takes on disk at most, with its results (bytes, whole pages where these count).
std::uint64_t BatchJobBytes(const BatchJobSpec& batch_job);
// What the results that are still to come may add.
std::uint64_t PendingResultBytes(const BatchJob& batch_job);

class DiskCapacity {
 public:
  // `replicas`: wanted of each partition. Once a store of `stores` is lost, the others take over
  // what it held, as long as enough of them are left.
  void SetStores(std::size_t stores, std::size_t replicas);
  // Of all open lots on this disk, told anew from time to time.
  void SetPendingResultBytes(std::uint64_t bytes);
  // For further lots on this disk; `space` as it is now.
  std::uint64_t AvailableBytes(const storage::Space& space) const;
  // As another store told it last.
  void SetPeerAvailableBytes(const StoreId& store, std::uint64_t capacity) {
    peers_[store] = capacity;
  }
  // A holder of the partition that lacks the room, if one does; one never heard of does not.
  std::optional<StoreId> FindStoreWithoutCapacity(const Partition& table, const StoreId& self,
                                                  const storage::Space& space,
                                                  std::uint64_t bytes) const;
  // Sets the bytes aside on this disk and at the other holders until they tell anew.
  void Reserve(const Partition& table, const StoreId& self, std::uint64_t bytes);
  bool IsNearlyFull(const storage::Space& space) const;  // less than a quarter of the room is left

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
