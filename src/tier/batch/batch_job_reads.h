// Reads of lots at their primary: results by position, held until there are some, and item bodies.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "tier/batch/messages.h"
#include "tier/batch/store_context.h"

namespace pearreach::batch {

class BatchJobReads {
 public:
  explicit BatchJobReads(StoreContext* context) : context_(context) {}

  void OnRead(ReadBatchJob read, rpc::Respond respond);
  void OnBody(const ReadItemBody& read, rpc::Respond respond);
  // More of the lot is visible, or it is there no longer.
  void OnVisible(const std::string& batch_job_id);
  void OnInactive(std::uint32_t partition);

 private:
  struct Parked {
    ReadBatchJob read;
    rpc::Respond respond;
    Timers::Id timer = 0;
  };
  using ParkedReads = std::map<std::uint64_t, Parked>;

  void Park(ReadBatchJob read, rpc::Respond respond);
  void OnWaited(const std::string& batch_job_id, std::uint64_t id);
  void AnswerEmpty(const ReadBatchJob& read, const rpc::Respond& respond);
  void AnswerOutputs(const ReadBatchJob& read, const BatchJob& batch_job,
                     const rpc::Respond& respond);

  StoreContext* const context_;
  std::uint64_t last_ = 0;
  std::unordered_map<std::string, ParkedReads> parked_;  // by lot
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_READS_H_
