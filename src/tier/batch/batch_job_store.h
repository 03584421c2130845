// A store process: the partitions that the placement table assigns to it, and the handlers for the
// calls of edge nodes and other stores.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STORE_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "common/memory/memory_budget.h"
#include "tier/batch/batch_job_changes.h"
#include "tier/batch/batch_job_items.h"
#include "tier/batch/batch_job_reads.h"
#include "tier/batch/disk_capacity.h"
#include "tier/batch/lost_disks.h"
#include "tier/batch/messages.h"
#include "tier/batch/repair_throttle.h"
#include "tier/batch/replica_shortage_log.h"
#include "tier/batch/replication.h"
#include "tier/batch/store_context.h"
#include "tier/batch/store_disk_guard.h"
#include "tier/batch/store_quota.h"
#include "tier/batch/unresponsive_store_reporter.h"
#include "tier/control/control_client.h"
#include "tier/rpc/transport.h"
#include "tier/settings/node_settings.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

// Owns the replicas of all partitions and the components that serve them. Owned by the process
// (tier/server). Not thread-safe: all calls and callbacks run on the event loop.
class StoreServer final : private StoreContext {
 public:
  // Registers its handlers with the mesh and reads its batch jobs from disk. All that is given must
  // live as long; the disk's pending writes must be done with, or dropped, before this goes. Batch
  // jobs that are being created are charged to `memory`; null: without limit.
  StoreServer(Timers* timers, rpc::Transport* transport, storage::TableStore* disk,
              control::ControlClient* control, StoreId self, const settings::Bounds& bounds,
              const settings::Tolerance& tolerance, double link_mbps = 0,
              const std::shared_ptr<memory::MemoryBudget>& memory = nullptr);
  ~StoreServer() override;
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  // `listener` is called once if this store's disk turns out to be rolled back: its contents must
  // be removed, and the process must restart with an empty disk.
  void OnDiskRolledBack(std::function<void()> listener) { disk_rolled_back_ = std::move(listener); }
  int active_partitions() const;
  // Nothing is lost if this store ends now and never comes back.
  bool MayShutDown() const;

 private:
  using Handler = rpc::Handler;

  // ReplicationEnvironment and StoreContext
  Micros Now() const override;
  std::uint64_t Random() override { return random_(); }
  std::size_t RequiredReplicas() const override { return replicas_wanted_; }
  LossState StateOfLoss(const StoreId& disk) const override {
    return lost_disks_.StateOf(disk, Now());
  }
  Timers::Id After(Micros delay, std::function<void()> callback) override;
  void Cancel(Timers::Id* id) override { timers_->Cancel(id); }
  void Send(const StoreId& to, rpc::MessageType type, std::string body, Micros timeout,
            rpc::Done done) override;
  const storage::TableStore& Disk() const override { return *disk_; }
  void Commit(std::vector<storage::Write> batch, std::function<void(absl::Status)> done) override;
  void RefreshTable() override;
  void ConfirmEpoch(std::uint32_t partition, std::uint64_t epoch,
                    std::function<void(bool)> done) override;
  void OnActive(std::uint32_t partition) override;
  void OnInactive(std::uint32_t partition) override;
  void OnFilled(std::uint32_t partition) override;
  bool IsDiskChecked(const std::vector<StoreId>& replicas) const override {
    return disk_guard_.IsChecked(replicas,
                                 [this](const StoreId& store) { return AddressOf(store).empty(); });
  }
  void OnUnresponsive(const StoreId& peer) override {
    unresponsive_store_reporter_.Report(peer, Now());
  }
  const StoreId& Self() const override { return self_; }
  const PlacementTable& Placement() const override { return placement_; }
  PartitionReplica& Replica(std::uint32_t partition) override { return *replicas_[partition]; }
  std::int64_t WallMs() const override;

  template <class Message>
  void Register(rpc::MessageType type, std::function<void(Message, rpc::Respond)> handle);
  void RegisterHandlers();
  void RegisterBatchJobHandlers();
  void RegisterItemHandlers();
  void RegisterReplicationHandlers();
  void RegisterQuotaHandlers();
  void SendLocal(rpc::MessageType type, std::string body, rpc::Done done);
  std::string AddressOf(const StoreId& store) const;
  void RecordStart();
  void AdoptTable(const control::ControlSnapshot& snapshot);
  void UpdatePeers();
  void LinearizableRead();
  void ReportFilled();
  void ThrottleRepair(bool urgent, RepairThrottle::Send send) override;
  std::uint64_t AvailableDiskBytes() const override {
    return disk_capacity_.AvailableBytes(disk_->space());
  }
  void SetPeerAvailableBytes(const StoreId& store, std::uint64_t bytes) override {
    disk_capacity_.SetPeerAvailableBytes(store, bytes);
  }
  bool HasDiskCapacity(const Partition& table, std::uint64_t bytes) override;
  bool ReserveDiskCapacity(const Partition& table, std::uint64_t bytes) override;
  bool HasMemory() const override { return memory_->HasRoom(); }
  std::optional<memory::MemoryCharge> AdmitCreation(std::size_t bytes) override;
  void UpdateDiskCapacity();
  void OnEnvironmentChanged();
  void Tick();

  Timers* const timers_;
  rpc::Transport* const transport_;
  storage::TableStore* const disk_;
  control::ControlClient* const control_;
  const std::shared_ptr<memory::MemoryBudget> memory_;
  const StoreId self_;
  std::mt19937_64 random_;
  std::int64_t wall_at_start_ms_ = 0;
  Micros start_ = 0;
  const std::size_t replicas_wanted_;
  const double sync_s_, link_mbps_;
  StoreDiskGuard disk_guard_;
  std::function<void()> disk_rolled_back_;
  DiskCapacity disk_capacity_;
  Micros insufficient_capacity_logged_at_ = 0;
  LostDisks lost_disks_;
  ReplicaShortageLog replica_shortage_log_;
  RepairThrottle repair_throttle_;
  UnresponsiveStoreReporter unresponsive_store_reporter_;
  PlacementTable placement_;
  std::uint64_t stores_revision_ = 0;
  std::map<rpc::MessageType, Handler> handlers_;
  BatchJobReads reads_;
  QuotaService quota_;
  BatchJobItems items_;
  BatchJobChanges changes_;
  std::vector<std::unique_ptr<PartitionReplica>> replicas_;  // by partition
  bool reading_ = false;                                     // a strict read is under way
  std::vector<std::function<void(bool ok)>> next_read_;      // wait for one that starts from now on
  Timers::Id refresh_timer_ = 0, filled_timer_ = 0, tick_timer_ = 0;
  int ticks_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for callbacks from outside
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STORE_H_
