#include "tier/batch/batch_job_submission.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tier/batch/disk_capacity.h"
#include "tier/batch/item_tenant.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";
// An offer or a quota query without a response is sent again after this: several times the way to a
// store and on to its replicas, and a small part of the second that clients wait.
constexpr Micros kPreCheckTimeout = 300 * kMs;

double TokensOf(const BatchJobSpec& batch_job) {
  double tokens = 0;
  for (const ItemSpec& item : batch_job.items) tokens += item.tokens;
  return tokens;
}

}  // namespace

BatchJobSubmission::BatchJobSubmission(Timers* timers, StoreClient* stores, BatchJobSpec batch_job,
                                       CallTime time, bool offers, Done done)
    : timers_(timers),
      stores_(stores),
      batch_job_(std::move(batch_job)),
      started_at_(Now()),
      time_(time),
      offers_(offers),
      done_(std::move(done)) {}

BatchJobSubmission::~BatchJobSubmission() { Cancel(); }

void BatchJobSubmission::Start() {
  if (!offers_) return Create();
  const Micros unsent = time_.unsent > 0 ? time_.unsent : time_.overall;
  timeout_timer_ = timers_->After(unsent, [this] {
    timeout_timer_ = 0;
    const auto self = shared_from_this();
    FailOnTimeout();
  });
  if (batch_job_.token_cap > 0)
    RequestQuota();
  else
    quota_decision_ = QuotaDecision::kGranted;
  Offer();
}

void BatchJobSubmission::Cancel() {
  done_ = nullptr;
  timers_->Cancel(&timeout_timer_);
  timers_->Cancel(&offer_timer_);
  for (StoreClient::CallId* call : {&offer_call_, &quota_call_, &create_call_})
    stores_->Cancel(std::exchange(*call, 0));
}

void BatchJobSubmission::Terminate() {
  const auto self = shared_from_this();
  constexpr char kWhy[] = "this node shuts down";
  Finish(create_call_ == 0 ? absl::UnavailableError(kWhy) : absl::DeadlineExceededError(kWhy));
}

CallTime BatchJobSubmission::PreCheckTime() const {
  CallTime time;
  time.overall = std::max<Micros>(started_at_ + time_.overall - Now(), 0);
  time.attempt = kPreCheckTimeout;
  return time;
}

void BatchJobSubmission::Offer() {
  OfferBatchJob offer;
  offer.batch_job_id = batch_job_.batch_job_id;
  offer.disk_bytes = BatchJobBytes(batch_job_);
  offer_call_ = stores_->Offer(
      std::move(offer), PreCheckTime(),
      [self = weak_from_this()](const absl::StatusOr<OfferBatchJobResponse>& response) {
        if (const auto submission = self.lock()) submission->OnOffer(response);
      });
}

void BatchJobSubmission::RequestQuota() {
  QuotaQuery query{QuotaKey(batch_job_), batch_job_.batch_job_id, TokensOf(batch_job_),
                   batch_job_.token_cap};
  quota_call_ = stores_->RequestQuota(
      std::move(query), PreCheckTime(),
      [self = weak_from_this()](const absl::StatusOr<QuotaResponse>& response) {
        if (const auto submission = self.lock()) submission->OnQuota(response);
      });
}

void BatchJobSubmission::OnOffer(const absl::StatusOr<OfferBatchJobResponse>& response) {
  offer_call_ = 0;
  if (!response.ok()) return;  // its time is over: FailOnTimeout follows
  offer_ = response->verdict;
  Decide();
}

// What the owner cannot decide for certain is left to the reservation at the store.
void BatchJobSubmission::OnQuota(const absl::StatusOr<QuotaResponse>& response) {
  quota_call_ = 0;
  if (!response.ok()) return;
  quota_decision_ = response->verdict;
  retry_after_ms_ = response->retry_after_ms;
  Decide();
}

void BatchJobSubmission::Decide() {
  if (create_call_ != 0 || done_ == nullptr) return;
  if (offer_ == OfferVerdict::kKnown) return Create();
  if (offer_ == OfferVerdict::kInsufficientCapacity)
    return Finish(CreateBatchJobResponse{CreateStatus::kInsufficientCapacity, 0});
  if (!quota_decision_.has_value()) return;
  if (!offer_.has_value()) return AwaitOffer();
  if (IsOverQuota()) return RejectOverQuota();
  Create();
}

// A batch job that exceeds its quota is rejected even if the stores that would hold it do not
// respond. They get a moment, since a job that was accepted before is acknowledged again.
void BatchJobSubmission::AwaitOffer() {
  if (!IsOverQuota() || offer_timer_ != 0) return;
  offer_timer_ = timers_->After(kPreCheckTimeout, [this] {
    offer_timer_ = 0;
    const auto self = shared_from_this();
    if (!offer_.has_value()) RejectOverQuota();
  });
}

void BatchJobSubmission::Create() {
  timers_->Cancel(&timeout_timer_);
  timers_->Cancel(&offer_timer_);
  stores_->Cancel(std::exchange(quota_call_, 0));
  const Micros spent = Now() - started_at_;
  CallTime time = time_;
  time.overall = std::max<Micros>(time.overall - spent, 0);
  if (time.unsent > 0) time.unsent = std::max<Micros>(time.unsent - spent, 1);
  create_call_ = stores_->Create(
      std::move(batch_job_), time,
      [self = weak_from_this()](const absl::StatusOr<CreateBatchJobResponse>& response) {
        const auto submission = self.lock();
        if (submission == nullptr) return;
        submission->create_call_ = 0;
        submission->Finish(response);
      });
}

void BatchJobSubmission::RejectOverQuota() {
  Finish(CreateBatchJobResponse{CreateStatus::kOverQuota, retry_after_ms_});
}

void BatchJobSubmission::FailOnTimeout() {
  const char* why = quota_decision_.has_value() ? "not all replica stores respond"
                                                : "the quota owner does not respond";
  logging::Info(kModule, "batch job rejected",
                {logging::F("batch_job_id", batch_job_.batch_job_id), logging::F("why", why),
                 logging::F("partition", PartitionOf(batch_job_.batch_job_id)),
                 logging::F("waited_ms", (Now() - started_at_) / kMs)});
  Finish(absl::UnavailableError(why));
}

void BatchJobSubmission::Finish(const absl::StatusOr<CreateBatchJobResponse>& response) {
  const Done done = std::exchange(done_, nullptr);
  Cancel();
  if (done != nullptr) done(response);
}

}  // namespace pearreach::batch
