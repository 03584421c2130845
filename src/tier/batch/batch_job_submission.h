// One submission of a batch job at an edge node: asks first whether the job fits its route's quota
// and whether the stores that would hold it respond, and sends its items only then. A submission
// that cannot proceed is therefore rejected for certain, in time for its client to retry, unless a
// store fails in the few milliseconds between the offer and the response.
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

// Owned by the client's exchange through a shared pointer; used on the event loop's thread only.
class BatchJobSubmission : public std::enable_shared_from_this<BatchJobSubmission> {
 public:
  using Done = StoreClient::Done<CreateBatchJobResponse>;

  // `time`: see CallTime. `offers`: false sends the batch job at once. `done` is called exactly
  // once, never from inside Start, unless Cancel comes first; for its errors see
  // StoreClient::Create. UNAVAILABLE: certainly not accepted.
  BatchJobSubmission(Timers* timers, StoreClient* stores, BatchJobSpec batch_job, CallTime time,
                     bool offers, Done done);
  ~BatchJobSubmission();
  BatchJobSubmission(const BatchJobSubmission&) = delete;
  BatchJobSubmission& operator=(const BatchJobSubmission&) = delete;

  void Start();
  // The client has disconnected.
  void Cancel();
  // Ends it now, since this process shuts down: UNAVAILABLE if the batch job has not been sent to a
  // store, DEADLINE_EXCEEDED if it has.
  void Terminate();

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
  Done done_;  // null: ended or cancelled
  StoreClient::CallId offer_call_ = 0, quota_call_ = 0, create_call_ = 0;
  std::optional<OfferVerdict> offer_;
  std::optional<QuotaDecision> quota_decision_;
  std::int64_t retry_after_ms_ = 0;
  Timers::Id timeout_timer_ = 0, offer_timer_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_SUBMISSION_H_
