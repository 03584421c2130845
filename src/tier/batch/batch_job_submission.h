// One hand-in of a lot at an edge node: asks first whether the lot fits its route's quota and
// whether the stores that would keep it answer, and sends its items only then. A hand-in that
// cannot go on is therefore refused for sure, in time for its client to come again, except where a
// store is lost in the few milliseconds between the offer and the answer.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_SUBMISSION_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_SUBMISSION_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/quota.h"
#include "tier/batch/store_client.h"

namespace pearreach::batch {

class BatchJobSubmission : public std::enable_shared_from_this<BatchJobSubmission> {
 public:
  using Done = StoreClient::Done<CreateBatchJobResponse>;

  // `time`: see StoreClient::Create. `offers`: false sends the lot without a question. `done` is
  // called exactly once, never from inside Start, unless Cancel comes first. UNAVAILABLE: surely
  // not taken.
  BatchJobSubmission(Timers* timers, StoreClient* stores, BatchJobSpec batch_job, CallTime time,
                     bool offers, Done done);
  ~BatchJobSubmission();
  BatchJobSubmission(const BatchJobSubmission&) = delete;
  BatchJobSubmission& operator=(const BatchJobSubmission&) = delete;

  void Start();
  // The client has left.
  void Cancel();

 private:
  void Offer();
  void RequestQuota();
  void OnOffer(const absl::StatusOr<OfferBatchJobResponse>& response);
  void OnQuota(const absl::StatusOr<QuotaResponse>& response);
  void Decide();
  void AwaitOffer();
  void Create();
  void FailOnTimeout();
  void RejectOverQuota();
  void Finish(const absl::StatusOr<CreateBatchJobResponse>& response);
  bool IsOverQuota() const {
    return quota_decision_.has_value() && *quota_decision_ == QuotaDecision::kOver;
  }
  CallTime PreCheckTime() const;

  Timers* const timers_;
  StoreClient* const stores_;
  BatchJobSpec batch_job_;
  const Micros started_at_;
  const CallTime time_;
  const bool offers_;
  Done done_;  // null: it has ended
  StoreClient::CallId offer_call_ = 0, quota_call_ = 0, create_call_ = 0;
  std::optional<OfferVerdict> offer_;
  std::optional<QuotaDecision> quota_decision_;
  std::int64_t retry_after_ms_ = 0;
  Timers::Id timeout_timer_ = 0, offer_timer_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_SUBMISSION_H_
