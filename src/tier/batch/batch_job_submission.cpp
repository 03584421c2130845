#include "tier/batch/batch_job_submission.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tier/batch/disk_capacity.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";
// A question that is not answered within this goes again: several times the way to a store and on
// to its replicas, and a small part of the second that clients wait.
constexpr Micros kQuestionTime = 300 * kMs;

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
      began_(Now()),
      time_(time),
      offers_(offers),
      done_(std::move(done)) {}

BatchJobSubmission::~BatchJobSubmission() { Cancel(); }

void BatchJobSubmission::Start() {
  if (!offers_) return Create();
  const Micros unsent = time_.unsent > 0 ? time_.unsent : time_.overall;
  give_up_timer_ = timers_->After(unsent, [this] {
    give_up_timer_ = 0;
    const auto self = shared_from_this();
    GiveUp();
  });
  if (batch_job_.token_cap > 0)
    AskQuota();
  else
    fits_ = QuotaDecision::kGranted;
  Offer();
}

void BatchJobSubmission::Cancel() {
  done_ = nullptr;
  timers_->Cancel(&give_up_timer_);
  timers_->Cancel(&offer_timer_);
  for (StoreClient::CallId* call : {&offer_call_, &quota_call_, &create_call_})
    stores_->Cancel(std::exchange(*call, 0));
}

CallTime BatchJobSubmission::QuestionTime() const {
  CallTime time;
  time.overall = std::max<Micros>(began_ + time_.overall - Now(), 0);
  time.attempt = kQuestionTime;
  return time;
}

void BatchJobSubmission::Offer() {
  OfferBatchJob offer;
  offer.batch_job_id = batch_job_.batch_job_id;
  offer.disk_bytes = BatchJobBytes(batch_job_);
  offer_call_ = stores_->Offer(
      std::move(offer), QuestionTime(),
      [self = weak_from_this()](const absl::StatusOr<OfferBatchJobResponse>& answer) {
        if (const auto hand_in = self.lock()) hand_in->OnOffer(answer);
      });
}

void BatchJobSubmission::AskQuota() {
  QuotaQuery question{batch_job_.route, batch_job_.batch_job_id, TokensOf(batch_job_),
                      batch_job_.token_cap};
  quota_call_ =
      stores_->AskQuota(std::move(question), QuestionTime(),
                        [self = weak_from_this()](const absl::StatusOr<QuotaResponse>& answer) {
                          if (const auto hand_in = self.lock()) hand_in->OnQuota(answer);
                        });
}

void BatchJobSubmission::OnOffer(const absl::StatusOr<OfferBatchJobResponse>& answer) {
  offer_call_ = 0;
  if (!answer.ok()) return;  // its time is over: GiveUp comes
  offer_ = answer->verdict;
  Decide();
}

// A question that the owner cannot answer for sure is left to the reservation.
void BatchJobSubmission::OnQuota(const absl::StatusOr<QuotaResponse>& answer) {
  quota_call_ = 0;
  if (!answer.ok()) return;
  fits_ = answer->verdict;
  retry_after_ms_ = answer->retry_after_ms;
  Decide();
}

void BatchJobSubmission::Decide() {
  if (create_call_ != 0 || done_ == nullptr) return;
  if (offer_ == OfferVerdict::kKnown) return Create();
  if (offer_ == OfferVerdict::kInsufficientCapacity)
    return Finish(CreateBatchJobResponse{CreateStatus::kInsufficientCapacity, 0});
  if (!fits_.has_value()) return;
  if (!offer_.has_value()) return AwaitOffer();
  if (IsOver()) return RefuseOverQuota();
  Create();
}

// A lot that does not fit is refused also where the stores that would keep it do not answer. They
// are given a moment, since one that was taken before is acknowledged again.
void BatchJobSubmission::AwaitOffer() {
  if (!IsOver() || offer_timer_ != 0) return;
  offer_timer_ = timers_->After(kQuestionTime, [this] {
    offer_timer_ = 0;
    const auto self = shared_from_this();
    if (!offer_.has_value()) RefuseOverQuota();
  });
}

void BatchJobSubmission::Create() {
  timers_->Cancel(&give_up_timer_);
  timers_->Cancel(&offer_timer_);
  stores_->Cancel(std::exchange(quota_call_, 0));
  const Micros spent = Now() - began_;
  CallTime time = time_;
  time.overall = std::max<Micros>(time.overall - spent, 0);
  if (time.unsent > 0) time.unsent = std::max<Micros>(time.unsent - spent, 1);
  create_call_ = stores_->Create(
      std::move(batch_job_), time,
      [self = weak_from_this()](const absl::StatusOr<CreateBatchJobResponse>& answer) {
        const auto hand_in = self.lock();
        if (hand_in == nullptr) return;
        hand_in->create_call_ = 0;
        hand_in->Finish(answer);
      });
}

void BatchJobSubmission::RefuseOverQuota() {
  Finish(CreateBatchJobResponse{CreateStatus::kOverQuota, retry_after_ms_});
}

void BatchJobSubmission::GiveUp() {
  const char* why = fits_.has_value() ? "its stores do not all answer" : "the quota is not known";
  logging::Info(kModule, "lot refused",
                {logging::F("lot", batch_job_.batch_job_id), logging::F("why", why),
                 logging::F("partition", PartitionOf(batch_job_.batch_job_id)),
                 logging::F("waited_ms", (Now() - began_) / kMs)});
  Finish(absl::UnavailableError(why));
}

void BatchJobSubmission::Finish(const absl::StatusOr<CreateBatchJobResponse>& answer) {
  const Done done = std::exchange(done_, nullptr);
  Cancel();
  if (done != nullptr) done(answer);
}

}  // namespace pearreach::batch
