#include "tier/batch/store_call_retrier.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kModule[] = "batch";

// How long one store may take over a call that it need not hold open.
constexpr Micros kDefaultAttemptTimeout = 1 * kSecond;
// Between two attempts of a call: time for a new placement to come.
constexpr Micros kRetryDelay = 100 * kMs;

// Whether a store that responded so has certainly not executed the call.
bool IsRejection(const absl::Status& status) { return absl::IsFailedPrecondition(status); }

bool IsRetryable(const absl::Status& status) {
  return absl::IsFailedPrecondition(status) || absl::IsUnavailable(status) ||
         absl::IsDeadlineExceeded(status);
}

}  // namespace

struct StoreCallRetrier::PendingCall {
  rpc::MessageType type;
  std::string batch_job_id;
  Micros started_at = 0, deadline = 0, unsent_deadline = 0;
  Micros attempt_timeout = 0;
  Encoder encode;
  Finished finished;
  bool awaits_retry = false;       // until its next attempt
  bool may_have_executed = false;  // a store may have executed it without saying so
  // Epochs of the partition under which the last attempt was made, and the last one whose outcome
  // is not known.
  std::uint64_t attempted_epoch = 0, uncertain_epoch = 0;
  std::uint64_t attempts = 0;  // numbers the attempt whose response counts
  std::string last_error;      // of a store, for the log
  StoreId last_store;
  Timers::Id timer = 0;
};

StoreCallRetrier::StoreCallRetrier(Timers* timers, rpc::Transport* transport,
                                   control::ControlClient* control, PlacementView* placement,
                                   StorePath* path)
    : timers_(timers),
      placement_(placement),
      path_(path),
      unresponsive_stores_(transport, control) {
  control->OnChange(callbacks_.Bind([this] {
    if (placement_->IsOutdated()) RetryMovedCalls();
  }));
}

StoreCallRetrier::~StoreCallRetrier() {
  for (auto& [id, call] : calls_) timers_->Cancel(&call->timer);
}

// Calls that wait for their next attempt go to the partition's new primary at once.
void StoreCallRetrier::RetryMovedCalls() {
  const auto table = placement_->Table();
  if (table == nullptr) return;
  std::vector<CallId> moved;
  for (const auto& [id, call] : calls_) {
    const std::uint64_t epoch = table->partitions[PartitionOf(call->batch_job_id)].epoch;
    if (call->awaits_retry && call->attempted_epoch != epoch) moved.push_back(id);
  }
  for (const CallId id : moved) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    timers_->Cancel(&found->second->timer);
    found->second->awaits_retry = false;
    Attempt(id);
  }
}

StoreCallRetrier::CallId StoreCallRetrier::Start(rpc::MessageType type, std::string batch_job_id,
                                                 CallTime time, Encoder encode, Finished finished) {
  const CallId id = ++last_id_;
  auto call = std::make_unique<PendingCall>();
  const Micros now = Now();
  call->type = type;
  call->batch_job_id = std::move(batch_job_id);
  call->started_at = now;
  call->deadline = now + time.overall;
  call->unsent_deadline = now + (time.unsent > 0 ? time.unsent : time.overall);
  call->attempt_timeout = time.attempt > 0 ? time.attempt : kDefaultAttemptTimeout;
  call->encode = std::move(encode);
  call->finished = std::move(finished);
  calls_[id] = std::move(call);
  Attempt(id);
  return id;
}

void StoreCallRetrier::Attempt(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  PendingCall* call = found->second.get();
  call->timer = 0;
  call->awaits_retry = false;
  const StoreId* primary = placement_->PrimaryOf(call->batch_job_id);
  const bool reachable = primary != nullptr && !path_->AddressOf(*primary).empty();
  const Micros left = call->deadline - Now();
  if (!reachable || left <= 0) {
    RetryLater(id, call);
    return;
  }
  const std::uint64_t number = ++call->attempts;
  call->last_store = *primary;
  const auto table = placement_->Table();
  const AttemptContext context{table->epoch,
                               table->partitions[PartitionOf(call->batch_job_id)].epoch, left};
  call->attempted_epoch = context.partition_epoch;
  path_->Call(call->last_store, call->type, call->encode(context),
              std::min(left, call->attempt_timeout),
              callbacks_.Bind([this, id, number](absl::StatusOr<std::string> response) {
                const auto pending = calls_.find(id);
                if (pending == calls_.end() || pending->second->attempts != number) return;
                OnResponse(id, std::move(response));
              }));
}

void StoreCallRetrier::OnResponse(CallId id, absl::StatusOr<std::string> response) {
  PendingCall* call = calls_.at(id).get();
  if (response.ok() || !IsRetryable(response.status())) {
    // An active primary of a later epoch has responded: what was sent under an earlier one has been
    // executed and shows in its response, or it never will be.
    if (call->may_have_executed && call->attempted_epoch > call->uncertain_epoch)
      call->may_have_executed = false;
    Finish(id, std::move(response));
    return;
  }
  if (!IsRejection(response.status())) {
    call->may_have_executed = true;
    call->uncertain_epoch = call->attempted_epoch;
  }
  call->last_error = std::string(response.status().message());
  // A store may hold calls with a longer timeout open, so that no response says nothing about it.
  const bool is_short = call->attempt_timeout < kDefaultAttemptTimeout;
  if (is_short && absl::IsDeadlineExceeded(response.status()))
    unresponsive_stores_.Report(call->last_store, Now());
  RetryLater(id, call);
}

void StoreCallRetrier::RetryLater(CallId id, PendingCall* call) {
  const Micros until = call->may_have_executed ? call->deadline : call->unsent_deadline;
  const Micros left = until - Now();
  if (left <= kRetryDelay) {
    // From the timer in any case: `finished` is never called from inside Start.
    call->timer = timers_->After(std::max<Micros>(left, 0),
                                 [this, id] { FailOnTimeout(id, *calls_.at(id)); });
    return;
  }
  call->awaits_retry = true;
  call->timer = timers_->After(kRetryDelay, [this, id] { Attempt(id); });
}

// The client must submit such a batch job again as a whole: the log shows what it waited for.
void StoreCallRetrier::LogUnresolvedSubmission(const PendingCall& call,
                                               std::string_view reason) const {
  if (call.type != rpc::MessageType::kBatchJobCreate) return;
  const StoreId* primary = placement_->LastPrimaryOf(call.batch_job_id);
  logging::Warning(
      kModule, "batch job submission unresolved",
      {logging::F("batch_job_id", call.batch_job_id), logging::F("why", reason),
       logging::F("partition", PartitionOf(call.batch_job_id)),
       logging::F("primary", primary == nullptr ? std::string("none") : primary->name),
       logging::F("last_store", call.last_store.name), logging::F("attempts", call.attempts),
       logging::F("may_have_executed", call.may_have_executed),
       logging::F("waited_ms", (Now() - call.started_at) / kMs),
       logging::F("last_error", call.last_error)});
}

void StoreCallRetrier::FailOnTimeout(CallId id, const PendingCall& call) {
  if (call.may_have_executed) {
    LogUnresolvedSubmission(call, "deadline exceeded");
    Finish(id, absl::DeadlineExceededError(
                   "no store responded before the deadline, the call may have been executed: " +
                   call.last_error));
    return;
  }
  Finish(id, absl::UnavailableError("no store could execute the call: " + call.last_error));
}

void StoreCallRetrier::Finish(CallId id, absl::StatusOr<std::string> response) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<PendingCall> call = std::move(found->second);
  calls_.erase(found);
  call->finished(std::move(response), call->may_have_executed);
}

void StoreCallRetrier::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  LogUnresolvedSubmission(*found->second, "client disconnected");
  timers_->Cancel(&found->second->timer);
  calls_.erase(found);
}

}  // namespace pearreach::batch
