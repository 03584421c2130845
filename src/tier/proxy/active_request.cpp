#include "tier/proxy/active_request.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/attempt_timeout.h"
#include "tier/proxy/worker_request.h"

namespace pearreach::proxy {
namespace {

using dispatch::Outcome;

constexpr Micros kNoDeadline = 3600 * kSecond;  // for requests without a deadline
constexpr Micros kDefaultRetryAfter = 200 * kMs;
constexpr Micros kPausedProgressPeriod = kSecond;
// Period at which an overdue attempt checks whether the retry budget allows a retry.
constexpr Micros kRetryBudgetCheckPeriod = 50 * kMs;

// Shorter shared prefixes are ignored: processing them again takes less time than waiting for the
// worker that has them cached may cost.
constexpr double kMinSharedTokens = 1000;
// Number of workers that are preferred for a shared prompt prefix.
constexpr std::size_t kMaxPreferredWorkers = 2;
// A worker whose fraction of slots in use is above this is not preferred.
constexpr double kMaxPreferredUtilization = 1.0;

// A request that needs more than this fraction of a worker's token capacity may not fit.
constexpr double kLargeRequestFraction = 0.5;

Micros FromMs(double ms) { return static_cast<Micros>(ms * static_cast<double>(kMs)); }

}  // namespace

ActiveRequest::ActiveRequest(std::uint64_t id, RequestSpec spec, std::shared_ptr<RequestSink> sink,
                             Timers* timers, ServicePool* pool, ActiveRequestHost* host)
    : id_(id),
      spec_(std::move(spec)),
      body_(std::make_shared<const std::string>(std::exchange(spec_.body, {}))),
      sink_(std::move(sink)),
      timers_(timers),
      pool_(pool),
      host_(host),
      has_deadline_(spec_.deadline != 0),
      admission_(id, &spec_, timers, pool, host,
                 [this] {
                   const auto self = shared_from_this();
                   RequestPlacement();
                 }),
      retries_(spec_.attempts, spec_.idempotent, spec_.resumable),
      last_event_id_(spec_.last_event_id) {
  if (!has_deadline_) spec_.deadline = Now() + kNoDeadline;
}

ActiveRequest::~ActiveRequest() { Cancel(); }

void ActiveRequest::Start() {
  deadline_timer_ = timers_->After(TimeLeft(), [this] {
    deadline_timer_ = 0;
    const auto self = shared_from_this();
    OnDeadline();
  });
  RequestPlacement();
}

void ActiveRequest::Cancel() {
  if (std::exchange(ended_, true)) return;
  timers_->Cancel(&deadline_timer_);
  timers_->Cancel(&queue_timer_);
  AbandonAttempt(Outcome::kCancelled);
  admission_.Withdraw();
}

// ---------------------------------------------------------------- finding a worker

void ActiveRequest::RequestPlacement() {
  const auto verdict = admission_.Admit(retries_.sends() > 0);
  if (verdict == RequestAdmission::Verdict::kWaiting) return;
  if (verdict == RequestAdmission::Verdict::kNoCapacity) return EndWithoutResponse();
  Placement placement;
  placement.traffic_class.rank = spec_.rank;
  placement.traffic_class.target = spec_.bulk ? 0 : FromMs(spec_.target_ms);
  placement.traffic_class.streamed = spec_.streamed;
  placement.traffic_class.bulk = spec_.bulk;
  const Micros now = Now();
  const Micros placement_deadline = admission_.PlacementDeadline(now, retries_.runs() > 0);
  placement.deadline = spec_.deadline;
  placement.preferred = PreferredWorkers();
  placed_ = false;
  placement_ = pool_->dispatcher.Enqueue(placement, this);
  timers_->Cancel(&queue_timer_);
  queue_timer_ = timers_->After(placement_deadline - now, [this] {
    queue_timer_ = 0;
    const auto self = shared_from_this();
    OnQueueTimeout();
  });
}

// Returns the workers that are likely to have the prompt's shared prefix cached, best first,
// without overloaded workers. Empty if the prefix is too short to matter or the policy disables
// this.
std::vector<dispatch::WorkerId> ActiveRequest::PreferredWorkers() const {
  std::vector<dispatch::WorkerId> preferred;
  const bool is_cacheable = spec_.prefix_key != 0 && spec_.shared_tokens >= kMinSharedTokens;
  if (!is_cacheable || !host_->policy().prefix_homes) return preferred;
  const Micros now = Now();
  preferred = pool_->workers.PreferredWorkersOf(spec_.prefix_key, kMaxPreferredWorkers);
  std::erase_if(preferred, [&](dispatch::WorkerId id) {
    return pool_->workers.Utilization(id, now) > kMaxPreferredUtilization;
  });
  const auto prefill_tokens = [&](dispatch::WorkerId id) {
    const ServiceWorker& worker = *pool_->workers.Find(id);
    const bool is_first = id == preferred.front();
    const bool is_cached = is_first || worker.prefix_cache.Has(spec_.prefix_key);
    return worker.prefill_tokens + (is_cached ? 0 : spec_.shared_tokens);
  };
  if (preferred.size() > 1 && prefill_tokens(preferred[1]) < prefill_tokens(preferred[0]))
    std::swap(preferred[0], preferred[1]);
  return preferred;
}

void ActiveRequest::RecordPrefill(ServiceWorker* worker) {
  in_prefill_ = true;
  prefill_tokens_ = spec_.own_tokens;
  if (spec_.prefix_key != 0 && spec_.shared_tokens >= kMinSharedTokens) {
    if (!worker->prefix_cache.Has(spec_.prefix_key)) prefill_tokens_ += spec_.shared_tokens;
    worker->prefix_cache.Use(spec_.prefix_key, spec_.shared_tokens, spec_.own_tokens,
                             host_->WorkerTokens(spec_.service));
  }
  worker->prefill_tokens += prefill_tokens_;
}

// Called when the first event has arrived or the attempt has ended.
void ActiveRequest::EndPrefill() {
  if (!std::exchange(in_prefill_, false)) return;
  pool_->workers.Find(worker_)->prefill_tokens -= prefill_tokens_;
}

// The dispatcher raises the price of slots only for requests that have missed their latency target.
// This timeout is shorter, so the request withdraws itself.
void ActiveRequest::OnQueueTimeout() {
  if (placement_ == 0 || placed_) return;
  retry_after_ = pool_->dispatcher.RetryAfter();
  pool_->dispatcher.Withdraw(std::exchange(placement_, 0));
  EndWithoutResponse();
}

void ActiveRequest::OnRefused(PlacementId, Micros retry_after) {
  const auto self = shared_from_this();
  placement_ = 0;
  retry_after_ = retry_after;
  EndWithoutResponse();
}

void ActiveRequest::OnPlaced(PlacementId, dispatch::WorkerId worker) {
  const auto self = shared_from_this();
  placed_ = true;
  timers_->Cancel(&queue_timer_);
  worker_ = worker;
  const ServiceWorker& chosen = *pool_->workers.Find(worker);
  // Guards against sending to a draining worker: the dispatcher's list of workers may be older than
  // the worker table.
  const bool ready = chosen.present && host_->IsReady(chosen.record.worker_id);
  const bool may_send = sink_->MaySend();
  if (ready && may_send && TimeLeft() > kMinTimeLeft) return Send(worker);
  EndPlacement(Outcome::kNotSent);
  if (!ready) host_->RefreshWorkers();
  if (!may_send) return EndWithoutResponse();
  if (!retries_.OnWorkerGone() || TimeLeft() <= kMinTimeLeft) return EndWithoutResponse();
  RequestPlacement();
}

// ---------------------------------------------------------------- the attempt

void ActiveRequest::Send(dispatch::WorkerId worker) {
  ServiceWorker& chosen = *pool_->workers.Find(worker);
  sent_at_ = Now();
  last_event_at_ = 0;
  load_.reset();
  paused_ = false;
  events_.Clear();
  SendDetails details;
  details.worker_id = chosen.record.worker_id;
  details.time_left = has_deadline_ ? spec_.deadline - sent_at_ : 0;
  details.last_event_id = last_event_id_;
  AttemptRequest request;
  request.head = WriteWorkerHead(spec_, details, body_->size());
  request.body = body_;
  request.attempt_id = spec_.attempt_id;
  request.bodiless = spec_.method == "HEAD";
  request.streamed = spec_.streamed;
  request.idempotent = spec_.idempotent;
  request.connection_limit = host_->ConnectionLimit(spec_.service);
  retries_.OnSend();
  if (retries_.sends() == 1 && !spec_.streamed) pool_->response_timeout.RecordSend();
  ++chosen.in_flight;
  RecordPrefill(&chosen);
  AttemptListener* const listener = this;
  attempt_ = std::make_shared<Attempt>(timers_, chosen.connections, std::move(request), listener);
  if (retries_.MayLeaveWorker()) ArmTimeout(ResponseTimeLimit());
  const auto attempt = attempt_;  // the attempt may end and a new one may start inside the call
  attempt->Start();
}

// Ends the current attempt or placement; the sink is not called.
void ActiveRequest::AbandonAttempt(Outcome outcome) {
  timers_->Cancel(&timeout_timer_);
  if (attempt_ != nullptr) attempt_->Cancel();
  if (placement_ == 0) return;
  if (placed_) return EndPlacement(outcome);
  pool_->dispatcher.Withdraw(std::exchange(placement_, 0));
}

// Reports the outcome of the placement and releases everything that belongs to it.
void ActiveRequest::EndPlacement(Outcome outcome) {
  admission_.LeaveGate();
  timers_->Cancel(&timeout_timer_);
  EndPrefill();
  if (attempt_ != nullptr) {
    attempt_.reset();
    --pool_->workers.Find(worker_)->in_flight;
  }
  if (load_) pool_->workers.RecordLoad(worker_, *load_);
  const Micros latency = sent_at_ == 0 ? 0 : Now() - sent_at_;
  if (outcome == Outcome::kGood && !spec_.streamed) pool_->response_timeout.RecordLatency(latency);
  pool_->dispatcher.OnEnded(std::exchange(placement_, 0), outcome, latency, load_);
  load_.reset();
}

void ActiveRequest::OnAttemptEnd(AttemptResult result) {
  const auto self = shared_from_this();
  switch (result.end) {
    case AttemptEnd::kNoConnection:
      EndPlacement(result.connections_used_up ? Outcome::kFull : Outcome::kNoConnection);
      return RetryAfterNotRun();
    case AttemptEnd::kLost:
      retries_.OnMayHaveRun();
      EndPlacement(Outcome::kReset);
      return RetryAfterRun();
    case AttemptEnd::kAnswered:
      return OnResponse(std::move(result));
  }
}

void ActiveRequest::OnResponse(AttemptResult result) {
  ResponseHead& head = result.head;
  worker_status_ = head.status;
  if (result.forwarded) return OnStreamEnd(result.ended_by_close);
  load_ = ReadWorkerLoad(head);
  if (GuaranteesNotRun(head)) {
    EndPlacement(NotRunOutcome(head));
    return RetryAfterNotRun();
  }
  retries_.OnMayHaveRun();
  const bool success = head.status / 100 == 2;
  const bool failed = head.status >= 500 || (success && head.Find("X-Seal") == nullptr);
  EndPlacement(head.status == 504 ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kGood);
  const bool stop = spec_.stop_on_500 && head.status == 500;
  if (failed && !stop && retries_.MayRetryAfterRun(TimeLeft())) return RequestPlacement();
  // To the client, these statuses guarantee that the request has not run. The worker did not
  // guarantee this.
  const bool would_guarantee_not_run =
      head.status == 503 || head.status == 429 || head.status == 408;
  const bool cannot_forward =
      retries_.head_forwarded() || would_guarantee_not_run || (success && failed);
  if (cannot_forward) return EndWithoutResponse();
  ForwardResponse(std::move(head), result.body);
}

// Outcome for the dispatcher after a response that guarantees that the request has not run. A 503
// or 429 means that the worker is full, unless the request is overdue or too large for it.
Outcome ActiveRequest::NotRunOutcome(const ResponseHead& head) {
  if (head.status == 421) {
    const bool other_version =
        std::any_of(spec_.headers.begin(), spec_.headers.end(),
                    [](const http::Header& h) { return http::SameName(h.name, "Expect-Version"); });
    if (!other_version) {
      pool_->dispatcher.OnWorkers(pool_->workers.DropWorker(worker_));
      host_->RefreshWorkers();  // schedules the time at which the worker is tried again
    }
    return Outcome::kNotSent;
  }
  if (head.status == 400) return Outcome::kNotSent;
  const double worker_tokens = host_->WorkerTokens(spec_.service);
  const bool too_large =
      worker_tokens > 0 && spec_.total_tokens > kLargeRequestFraction * worker_tokens;
  const bool overdue = TimeLeft() <= kMinTimeLeft;
  return overdue || too_large ? Outcome::kNotSent : Outcome::kFull;
}

// ---------------------------------------------------------------- retries and the end

void ActiveRequest::RetryAfterNotRun() {
  if (retries_.MayRetryAfterNotRun(TimeLeft())) return RequestPlacement();
  EndWithoutResponse();
}

void ActiveRequest::RetryAfterRun() {
  if (retries_.MayRetryAfterRun(TimeLeft())) return RequestPlacement();
  EndWithoutResponse();
}

void ActiveRequest::EndWithoutResponse() {
  RequestResult result;
  result.worker_status = worker_status_;
  if (retries_.head_forwarded()) {
    result.end = RequestEnd::kBroken;
  } else if (retries_.runs() == 0) {
    result.end = RequestEnd::kNotRun;
    result.retry_after = retry_after_ > 0 ? retry_after_ : kDefaultRetryAfter;
  } else {
    result.end = Now() >= spec_.deadline ? RequestEnd::kTimeout : RequestEnd::kFailed;
  }
  End(result);
}

void ActiveRequest::OnDeadline() {
  EndAttemptAndRequest(AwaitsResponse() ? Outcome::kTimeout : Outcome::kCancelled);
}

void ActiveRequest::Terminate() {
  const auto self = shared_from_this();
  EndAttemptAndRequest(Outcome::kCancelled);
}

// Whether the worker has been sent the request and has not begun to respond.
bool ActiveRequest::AwaitsResponse() const {
  return attempt_ != nullptr && attempt_->written() && !attempt_->response_begun();
}

void ActiveRequest::EndAttemptAndRequest(Outcome outcome) {
  if (attempt_ != nullptr && attempt_->written()) retries_.OnMayHaveRun();
  AbandonAttempt(outcome);
  EndWithoutResponse();
}

void ActiveRequest::End(RequestResult result) {
  if (ended_) return;
  Cancel();
  host_->Forget(id_);
  const std::shared_ptr<RequestSink> sink = std::move(sink_);
  sink->OnEnd(result);
}

// ---------------------------------------------------------------- time-outs

Micros ActiveRequest::ResponseTimeLimit() const {
  if (spec_.streamed) return NextEventTimeout(spec_, last_event_at_ != 0);
  const bool learned = host_->policy().learn_silence;
  return PlainResponseTimeout(spec_, spec_.deadline - sent_at_,
                              learned ? &pool_->response_timeout : nullptr);
}

void ActiveRequest::ArmTimeout(Micros after) {
  timers_->Cancel(&timeout_timer_);
  timeout_timer_ = timers_->After(after, [this] {
    timeout_timer_ = 0;
    const auto self = shared_from_this();
    OnTimeout();
  });
}

// Abandons an unresponsive worker only if another one may be tried and there is time for it.
void ActiveRequest::OnTimeout() {
  const Micros now = Now();
  // Reading is paused by this node, so the worker is not unresponsive and other requests may go to
  // it.
  if (paused_) {
    ReportProgress();
    return ArmTimeout(kPausedProgressPeriod);
  }
  const Micros timed_out_at = std::max(sent_at_, last_event_at_) + ResponseTimeLimit();
  if (now < timed_out_at) return ArmTimeout(timed_out_at - now);
  const bool learned = !spec_.streamed && host_->policy().learn_silence;
  // Another worker is assumed to take about as long as the time given to this one.
  const Micros next_attempt_time = learned ? ResponseTimeLimit() : FromMs(spec_.target_ms);
  if (now + next_attempt_time >= spec_.deadline) return;
  if (attempt_ == nullptr || (!spec_.streamed && attempt_->response_begun())) return;
  if (learned && !pool_->response_timeout.TakeRetry()) return ArmTimeout(kRetryBudgetCheckPeriod);
  if (attempt_->written()) retries_.OnMayHaveRun();
  // A learned timeout is short: it is a sign about this worker only, not about the slots of all
  // workers.
  AbandonAttempt(learned ? Outcome::kError : Outcome::kTimeout);
  RetryAfterRun();
}

}  // namespace pearreach::proxy
