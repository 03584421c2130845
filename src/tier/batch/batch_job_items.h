// Leases items of open batch jobs to edge nodes and records their results.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_ITEMS_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_ITEMS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "tier/batch/leases.h"
#include "tier/batch/messages.h"
#include "tier/batch/store_context.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class BatchJobItems {
 public:
  // `changed` is called when something of a batch job has become visible, `counted` when its
  // waiting tokens may have changed.
  using BatchJobListener = std::function<void(const std::string& batch_job_id)>;
  BatchJobItems(StoreContext* context, BatchJobListener changed, BatchJobListener counted);

  void OnPullItems(PullItems pull, rpc::Respond respond);
  void OnResult(const ItemResult& result, const rpc::Respond& respond);
  void OnRenew(const RenewLeases& renew, const rpc::Respond& respond);

  void OnAccepted(const std::string& batch_job_id);  // a new batch job: its items wait from now on
  void OnEnded(const std::string& batch_job_id);
  void OnActive(std::uint32_t partition);
  void OnInactive(std::uint32_t partition);
  // Voids the leases of nodes that are not there any more.
  void DropNodes(const std::function<bool(const std::string& node)>& is_gone);
  // Gives up all items of the batch job that have no result: their time is over.
  void Abandon(PartitionReplica* replica, const std::string& batch_job_id);

 private:
  struct PendingPull {
    PullItems pull;
    rpc::Respond respond;
    Timers::Id timer = 0;
    std::uint64_t id = 0;
  };

  void AddBatchJob(const std::string& batch_job_id, const BatchJob& batch_job,
                   Micros reserved_until);
  bool HasRecordedEnd(const std::string& batch_job_id);
  PullItemsResponse LeaseItems(const PullItems& pull);
  // NOT_FOUND: the batch job is gone; other errors: the item's record can't be read.
  absl::StatusOr<LeasedItem> ReadLeasedItem(const ItemLease& lease);
  std::map<std::string, int> LimitToFairShare(const std::map<std::string, int>& capacity) const;
  void AddPendingPull(PullItems pull, rpc::Respond respond);
  void EndPendingPull(const std::string& node);
  void OnPullTimeout(std::uint64_t id);
  void ServePendingPulls();
  void RecordPuller(const std::string& node);
  void ScheduleExpiry();
  void OnExpiry();
  void Append(PartitionReplica* replica, const BatchJob& batch_job, const ItemResult& result,
              std::uint32_t item, const rpc::Respond& respond);
  void CountFailure(PartitionReplica* replica, const BatchJob& batch_job, const ItemResult& result,
                    std::uint32_t item, const rpc::Respond& respond);
  void Submit(PartitionReplica* replica, Operation operation, const rpc::Respond& respond);

  StoreContext* const context_;
  const BatchJobListener changed_, counted_;
  LeaseTable leases_;
  std::list<PendingPull> pending_pulls_;  // in order of arrival
  std::uint64_t last_pending_pull_ = 0;
  std::map<std::string, Micros> pullers_;  // nodes and when they last pulled
  Timers::Id expiry_timer_ = 0;
  Micros expiry_at_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_ITEMS_H_
