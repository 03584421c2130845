// Finds out whether this store's disk was rolled back to an earlier state: the stores that hold
// partitions together report to one another how far their disks have been used
// (control/disk_use.h), and keep what they hear on their own disks. A process that starts asks all
// of them; as long as one that holds a partition with this store has not responded, the partition
// is not served here. Owned by StoreServer. Not thread-safe: all calls and callbacks run on the
// event loop.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_DISK_GUARD_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_DISK_GUARD_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/control/disk_use.h"
#include "tier/rpc/transport.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

class StoreDiskGuard {
 public:
  using Send = std::function<void(const StoreId& to, std::string body, rpc::Done done)>;

  // `instance`: a random id of this process. `send` calls kStoreDiskReport of another store and
  // completes with its response. The store must commit a batch soon, which records the start.
  StoreDiskGuard(StoreId self, const storage::TableStore& disk, std::uint64_t instance, Send send);

  // `checked`: another store has responded. `rolled_back`: called once, the disk must not be used.
  void SetListeners(std::function<void()> checked, std::function<void()> rolled_back);

  // Adds the records to a batch that is to be committed, but not to one that only erases: a full
  // disk takes nothing else. Returns what OnSynced must be called with once the batch is synced;
  // empty where nothing was added.
  control::DiskUse Stamp(std::vector<storage::Write>* batch);
  void OnSynced(const control::DiskUse& use);

  // The stores that hold partitions together with this one. Asks those that have not responded.
  void SetPeers(std::set<StoreId> peers);
  // To be called periodically: reports what was written since, and asks again.
  void Tick();
  void OnReport(const StoreDiskReport& report, const rpc::Respond& respond);

  // All other ones of these replicas have responded to this process. One that is away counts as
  // soon as any other store has that knew of this disk before.
  bool IsChecked(const std::vector<StoreId>& replicas,
                 const std::function<bool(const StoreId&)>& is_away) const;

 private:
  void Report(const StoreId& peer);
  void OnResponse(const StoreId& peer, const control::DiskUse& sent,
                  const absl::StatusOr<std::string>& response);

  const StoreId self_;
  const Send send_;
  const control::DiskUse found_;
  control::DiskUse use_, synced_;  // `synced_`: nothing before the first batch of this process
  control::PeerDisks known_disks_;
  bool known_disks_changed_ = false;
  std::set<StoreId> peers_, checked_, in_flight_;
  std::map<StoreId, control::DiskUse> reported_;
  bool is_rolled_back_ = false;
  bool known_by_other_ = false;  // a store that responded knew of this disk
  std::function<void()> on_checked_, on_rolled_back_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for late responses
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_DISK_GUARD_H_
