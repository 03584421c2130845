// One partition at one store: its batch jobs, its role in the partition's replica set and the order
// of changes. The primary's state is authoritative; a change is committed once it is durable at
// every replica of the partition. Time, disk and messages come from the environment alone.
#ifndef PEARREACH_SRC_TIER_BATCH_REPLICATION_H_
#define PEARREACH_SRC_TIER_BATCH_REPLICATION_H_

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/backup_stream.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/commit_queue.h"
#include "tier/batch/confirmation_queue.h"
#include "tier/batch/filled_joiners.h"
#include "tier/batch/lost_disks.h"
#include "tier/batch/messages.h"
#include "tier/batch/repair_throttle.h"
#include "tier/batch/replication_link.h"
#include "tier/batch/replication_messages.h"
#include "tier/batch/wait_reason.h"
#include "tier/rpc/transport.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

// What a replica uses of its process. Callbacks are never called from inside the call.
class ReplicationEnvironment {
 public:
  virtual ~ReplicationEnvironment() = default;
  virtual Micros Now() const = 0;
  virtual std::uint64_t Random() = 0;
  // How many replicas of the table must hold a change before it is acknowledged, where no disk of
  // the partition is lost.
  virtual std::size_t RequiredReplicas() const { return 1; }
  // Of a disk that the table names as lost.
  virtual LossState StateOfLoss(const StoreId& /*disk*/) const { return LossState::kOver; }
  virtual Timers::Id After(Micros delay, std::function<void()> callback) = 0;
  virtual void Cancel(Timers::Id* id) = 0;
  virtual void Send(const StoreId& to, rpc::MessageType type, std::string body, Micros timeout,
                    rpc::Done done) = 0;
  virtual const storage::TableStore& Disk() const = 0;
  virtual void Commit(std::vector<storage::Write> batch,
                      std::function<void(absl::Status)> done) = 0;
  // As Commit, for a record of the store itself that no change depends on.
  virtual void CommitRecord(storage::Write record, std::function<void(absl::Status)> done) {
    Commit({std::move(record)}, std::move(done));
  }
  // Asks for the newest control state.
  virtual void RefreshTable() = 0;
  // Whether the newest control state has just this epoch of the partition, strictly read.
  virtual void ConfirmEpoch(std::uint32_t partition, std::uint64_t epoch,
                            std::function<void(bool)> done) = 0;
  // This store may serve the partition from now on, or no longer.
  virtual void OnActive(std::uint32_t partition) = 0;
  virtual void OnInactive(std::uint32_t partition) = 0;
  // Calls `send` once the store may send a chunk of a repair.
  virtual void ThrottleRepair(bool /*urgent*/, RepairThrottle::Send send) {
    After(0, [send = std::move(send)] { send(nullptr); });
  }
  // The bytes that this store's disk has for further batch jobs, and what another store reported.
  virtual std::uint64_t AvailableDiskBytes() const {
    return std::numeric_limits<std::uint64_t>::max();
  }
  virtual void SetPeerAvailableBytes(const StoreId& /*store*/, std::uint64_t /*bytes*/) {}
  // A replica that a change would wait for has not answered.
  virtual void OnUnresponsive(const StoreId& /*peer*/) {}
  // A joiner has all of the partition, under its present epoch.
  virtual void OnFilled(std::uint32_t partition) = 0;
  // Whether this store's disk is known to hold all that it ever held, as far as these replicas
  // know, or other stores in place of one that is away.
  virtual bool IsDiskChecked(const std::vector<StoreId>& /*replicas*/) const { return true; }
};

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class PartitionReplica final : public LinkOwner {
 public:
  using ChangeDone = std::function<void(absl::Status)>;

  PartitionReplica(std::uint32_t partition, StoreId self, ReplicationEnvironment* environment);
  ~PartitionReplica() override;
  PartitionReplica(const PartitionReplica&) = delete;
  PartitionReplica& operator=(const PartitionReplica&) = delete;

  // The partition's newest table; older ones are passed over.
  void SetTable(const Partition& table);
  bool is_primary() const { return primary_; }
  bool is_active() const { return active_; }
  std::uint64_t epoch() const { return table_.epoch; }
  const Partition& table() const { return table_; }
  // As the primary: too few replicas are there for a change to be acknowledged.
  bool WaitsForReplica() const {
    return primary_ && (!HasRequiredReplicas() || AnyReplicaUnreachable());
  }
  // As the primary: why no change would be acknowledged now.
  WaitReason CurrentWaitReason() const;
  // As the primary: changes are acknowledged on fewer replicas, as disks of the partition are lost.
  bool AcknowledgesOnFewerReplicas() const;

  BatchJobTable& batch_jobs() { return batch_jobs_; }
  const BatchJobTable& batch_jobs() const { return batch_jobs_; }

  // REQUIRES: is_active(), else `done` gets FAILED_PRECONDITION. The change is in batch_jobs() at
  // once, counts once `done` is called with OK, and is in doubt (UNAVAILABLE) where this store
  // loses the primary role before that.
  void Submit(Operation operation, ChangeDone done);
  // To be called when ReplicationEnvironment::IsDiskChecked or StateOfLoss may have changed.
  void OnEnvironmentChanged();
  // Calls back whether no other store can have taken over by now, to within kConfirmSpan.
  void Confirm(std::function<void(bool)> done);
  // Calls back whether a change would be acknowledged: there are enough replicas, and all that it
  // would wait for have answered within `span` before now or do so within `timeout`. REQUIRES:
  // is_active().
  void ConfirmAllRequired(Micros span, Micros timeout, std::function<void(bool)> done);
  // Joiners that hold all of the partition and may be reported: they stay required until the epoch
  // changes, also by a process that starts again on this disk.
  std::vector<StoreId> FilledJoiners() const;

  // From the primary; nothing is answered before it is durable.
  void OnReplicate(const Replicate& message, const rpc::Respond& respond);
  void OnRepairDigest(const RepairDigest& message, const rpc::Respond& respond);

 private:
  struct Pending {
    std::uint64_t sequence = 0;
    std::shared_ptr<const Operation> operation;
    bool committed = false;
    ChangeDone done;
  };

  // LinkOwner
  ReplicaScope Scope(const StoreId& to) const override;
  void CommitBarrier(CommitQueue::Done done) override { commits_.Commit({}, std::move(done)); }
  std::uint64_t last_sequence() const override { return last_sequence_; }
  const BatchJobTable& link_batch_jobs() const override { return batch_jobs_; }
  void OnLinkAdvanced() override;
  bool RepairIsUrgent() const override;
  void UpdateRequired(ReplicaLink* link) const;
  bool IsFilled(const ReplicaLink& link) const;
  // Puts filled joiners on record, then tells the environment of them.
  void RecordFilledJoiners();
  void OnFilledJoinersRecorded(std::uint64_t term, const FilledJoinersRecord& record,
                               const absl::Status& status);

  void BecomePrimary();
  void StepDown();
  void UpdateLinks();
  void CheckActive();
  void ConfirmEpoch();
  void Activate();
  void Advance();
  void Complete(const Pending& pending);
  void OnCommitted(std::uint64_t term, std::uint64_t sequence, const absl::Status& status);
  void FailPending();
  void OnDiskFailure(const absl::Status& status);
  void AwaitConfirmation(Confirmation confirmation);
  void ArmConfirmTimer();
  void ReportUnresponsive(Micros since);
  void CheckConfirmations();
  bool MustConfirm(const ReplicaLink& link, bool all_required) const {
    return all_required ? link.required : link.is_replica;
  }
  bool ConfirmedSince(Micros since, bool all_required) const;
  std::size_t MissingReplicas() const;
  std::size_t CountLosses(LossState state) const;
  bool HasRequiredReplicas() const { return MissingReplicas() <= CountLosses(LossState::kCounts); }
  bool MayTakeOver(const StoreId& peer, const ReplicaLink& link) const;
  bool AnyReplicaUnreachable() const;
  ReplicaVerdict CheckScope(const ReplicaScope& scope, bool starts_attempt);
  ReplicaVerdict CheckReplicate(const Replicate& message);

  const std::uint32_t partition_;
  const StoreId self_;
  ReplicationEnvironment* const environment_;
  BatchJobTable batch_jobs_;
  CommitQueue commits_;
  Partition table_;
  bool primary_ = false, active_ = false;
  bool barrier_done_ = false;           // all that was taken as a backup is on disk
  FilledJoinersRecord filled_joiners_;  // as on disk
  bool recording_filled_joiners_ = false;
  // The control state has shown this epoch to be the newest, at the time of the request.
  bool epoch_confirmed_ = false, confirming_epoch_ = false;
  Micros epoch_confirmed_at_ = 0;
  std::uint64_t term_ = 0;  // counts the times that this store became or ceased to be primary
  std::uint64_t last_sequence_ = 0;
  std::deque<Pending> pending_;
  std::map<StoreId, std::shared_ptr<ReplicaLink>> links_;
  ConfirmationQueue confirmations_;
  Timers::Id confirm_timer_ = 0;
  BackupStream backup_stream_;  // as a backup
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPLICATION_H_
