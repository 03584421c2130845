// Reads of batch jobs: outputs, with long polling, and item bodies.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "tier/batch/messages.h"
#include "tier/batch/store_context.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class BatchJobReads {
 public:
  explicit BatchJobReads(StoreContext* context) : context_(context) {}

  void OnRead(ReadBatchJob read, rpc::Respond respond);
  void OnBody(const ReadItemBody& read, const rpc::Respond& respond);
  // More of the batch job is visible, or it is there no longer.
  void OnVisible(const std::string& batch_job_id);
  void OnInactive(std::uint32_t partition);

 private:
  struct PendingRead {
    ReadBatchJob read;
    rpc::Respond respond;
    Timers::Id timer = 0;
  };
  using PendingReads = std::map<std::uint64_t, PendingRead>;

  void AddPendingRead(ReadBatchJob read, rpc::Respond respond);
  void OnReadTimeout(const std::string& batch_job_id, std::uint64_t id);
  void RespondWithoutOutputs(const ReadBatchJob& read, const rpc::Respond& respond);
  void RespondWithOutputs(const ReadBatchJob& read, const BatchJob& batch_job,
                          const rpc::Respond& respond);

  StoreContext* const context_;
  std::uint64_t last_read_id_ = 0;
  std::unordered_map<std::string, PendingReads> pending_reads_;  // by batch job
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_
