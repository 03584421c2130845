// Creates, cancels and expires batch jobs.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_CHANGES_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_CHANGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/memory/memory_budget.h"
#include "tier/batch/batch_job_items.h"
#include "tier/batch/batch_job_reads.h"
#include "tier/batch/messages.h"
#include "tier/batch/store_context.h"
#include "tier/batch/store_quota.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class BatchJobChanges {
 public:
  BatchJobChanges(StoreContext* context, BatchJobItems* items, BatchJobReads* reads,
                  QuotaService* quota)
      : context_(context), items_(items), reads_(reads), quota_(quota) {}

  void OnOffer(const OfferBatchJob& offer, const rpc::Respond& respond);
  void OnCreate(CreateBatchJob create, rpc::Respond respond);
  void OnCancel(const CancelBatchJob& cancel, const rpc::Respond& respond);
  // Gives up items and forgets batch jobs whose time is over, in the partitions that are active
  // here. Where the disk is short of room, batch jobs are forgotten as soon as they may be.
  void Sweep(bool is_nearly_full);

 private:
  struct Creation {
    std::uint64_t fingerprint = 0;
    std::vector<rpc::Respond> waiting;  // calls for the same batch job
    memory::MemoryCharge charge;
  };

  // Reserves the tokens of a batch job under its route's cap, if there is one, then submits it.
  void ReserveQuota(const std::shared_ptr<const BatchJobSpec>& batch_job);
  void SubmitCreate(const std::shared_ptr<const BatchJobSpec>& batch_job);
  void Finish(const std::string& batch_job_id, const absl::StatusOr<CreateStatus>& outcome);
  void SweepPartition(PartitionReplica* replica, bool is_nearly_full);

  StoreContext* const context_;
  BatchJobItems* const items_;
  BatchJobReads* const reads_;
  QuotaService* const quota_;
  std::map<std::string, Creation> creating_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_CHANGES_H_
