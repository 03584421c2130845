#include "tier/proxy/active_request.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/worker_request.h"

namespace pearreach::proxy {
namespace {

using dispatch::Outcome;

constexpr int kExtraSends = 4;   // sends beyond the tries, for workers that did not run it
constexpr int kMaxNotSent = 16;  // placements at workers that had just gone
constexpr Micros kUnbounded = 3600 * kSecond;  // for a job without a due time
constexpr Micros kMinLeft = 2 * kMs;           // a send with less left serves nobody
constexpr Micros kDefaultRetryAfter = 200 * kMs;

// A job that has not been offered to a worker by a quarter of its objective is better refused: its
// client may go elsewhere.
// While the limit still grows from its start, the wait for it is short: it pays to hold on longer.
constexpr double kQueueTargetFraction = 0.25;
constexpr double kGrowingQueueTargetFraction = 0.5;
constexpr Micros kQueueMargin = 5 * kMs;
constexpr Micros kBulkCheckPeriod =
    25 * kMs;                                 // an item that waits for room looks for it this often
constexpr Micros kBulkQueueTime = 400 * kMs;  // an item goes back then: another node may have room
constexpr Micros kMinQueueTime = 20 * kMs;
constexpr Micros kRetryQueueTime = kSecond;  // one that may have run can't be refused: it may wait

// Silence after which another worker may be asked.
constexpr Micros kMinStreamTimeout = kSecond;
constexpr double kStreamTimeoutGaps = 4;  // clients leave after eight at the soonest
constexpr double kFirstEventTimeoutTargets = 2;
constexpr Micros kMinPlainTimeout = 1500 * kMs;
constexpr Micros kProgressWhilePaused = kSecond;
constexpr double kPlainTimeoutTargets = 5;
constexpr Micros kRetryBudgetCheckPeriod =
    50 * kMs;  // between looks whether the budget allows a repeat

// Shared parts that are read anew for less time than the search for their worker may cost are not
// worth it.
constexpr double kMinSharedTokens = 1000;
constexpr std::size_t kPreferredWorkers =
    2;  // workers that are tried first for the shared parts of a prompt
constexpr double kMaxPreferredFill = 1.0;  // of its slots in use; a worker above it is no home

constexpr double kLargeRequestFraction =
    0.5;  // a request of this share of a worker's memory may not fit

Micros FromMs(double ms) { return static_cast<Micros>(ms * static_cast<double>(kMs)); }

}  // namespace

ActiveRequest::ActiveRequest(std::uint64_t id, RequestSpec spec, std::shared_ptr<RequestSink> sink,
                             Timers* timers, ServicePool* line, ActiveRequestHost* host)
    : id_(id),
      spec_(std::move(spec)),
      body_(std::make_shared<const std::string>(std::exchange(spec_.body, {}))),
      sink_(std::move(sink)),
      timers_(timers),
      pool_(line),
      host_(host),
      started_(Now()),
      has_due_(spec_.due != 0),
      last_event_id_(spec_.last_event_id) {
  if (!has_due_) spec_.due = started_ + kUnbounded;
}

ActiveRequest::~ActiveRequest() { Cancel(); }

void ActiveRequest::Start() {
  due_timer_ = timers_->After(spec_.due - started_, [this] {
    due_timer_ = 0;
    const auto self = shared_from_this();
    OnDue();
  });
  RequestPlacement();
}

void ActiveRequest::Cancel() {
  if (std::exchange(ended_, true)) return;
  timers_->Cancel(&due_timer_);
  timers_->Cancel(&queue_timer_);
  StopAwaitingBulkCapacity();
  AbandonAttempt(Outcome::kCancelled);
  if (spec_.bulk) pool_->bulk_gate.Withdraw(id_);
  ReleaseBulkGate();
}

// ---------------------------------------------------------------- finding a worker

// An item that comes when the room for it is used up by others waits a while, then goes back.
bool ActiveRequest::AwaitBulkCapacity() {
  if (!spec_.bulk || in_bulk_gate_ || sends_ > 0 || host_->BulkCapacity(spec_.service) > 0)
    return false;
  if (Now() >= started_ + kBulkQueueTime) {
    EndWithoutAnswer();
    return true;
  }
  ++pool_->bulk_waiting;
  awaits_bulk_capacity_ = true;
  queue_timer_ = timers_->After(kBulkCheckPeriod, [this] {
    queue_timer_ = 0;
    const auto self = shared_from_this();
    StopAwaitingBulkCapacity();
    RequestPlacement();
  });
  return true;
}

void ActiveRequest::StopAwaitingBulkCapacity() {
  if (std::exchange(awaits_bulk_capacity_, false)) --pool_->bulk_waiting;
}

// A bulk job waits here until its prompt would delay live requests little enough.
bool ActiveRequest::EnterBulkGate() {
  if (!spec_.bulk || in_bulk_gate_) return true;
  in_bulk_gate_ = pool_->bulk_gate.Enter(id_, [this] {
    const auto self = shared_from_this();
    in_bulk_gate_ = true;
    RequestPlacement();
  });
  return in_bulk_gate_;
}

void ActiveRequest::ReleaseBulkGate() {
  if (std::exchange(in_bulk_gate_, false)) pool_->bulk_gate.Release();
}

void ActiveRequest::RequestPlacement() {
  if (AwaitBulkCapacity() || !EnterBulkGate()) return;
  Placement placement;
  placement.traffic_class.rank = spec_.rank;
  placement.traffic_class.target = spec_.bulk ? 0 : FromMs(spec_.target_ms);
  placement.traffic_class.streamed = spec_.streamed;
  placement.traffic_class.bulk = spec_.bulk;
  const Micros now = Now();
  const Micros placement_deadline = PlacementDeadline(now);
  placement.due = spec_.due;
  placement.preferred = PreferredWorkers();
  placed_ = false;
  placement_ = pool_->dispatcher.Enqueue(placement, this);
  timers_->Cancel(&queue_timer_);
  queue_timer_ = timers_->After(placement_deadline - now, [this] {
    queue_timer_ = 0;
    const auto self = shared_from_this();
    OnQueuedTooLong();
  });
}

// The workers that are likely to keep the shared parts of its prompt, as far as these are worth it
// and the workers are not loaded.
std::vector<dispatch::WorkerId> ActiveRequest::PreferredWorkers() const {
  std::vector<dispatch::WorkerId> preferred;
  const bool is_cacheable = spec_.prefix_key != 0 && spec_.shared_tokens >= kMinSharedTokens;
  if (!is_cacheable || !host_->policy().prefix_homes) return preferred;
  const Micros now = Now();
  preferred = pool_->workers.PreferredWorkersOf(spec_.prefix_key, kPreferredWorkers);
  std::erase_if(preferred, [&](dispatch::WorkerId id) {
    return pool_->workers.Fill(id, now) > kMaxPreferredFill;
  });
  const auto unread = [&](dispatch::WorkerId id) {
    const ServiceWorker& worker = *pool_->workers.Find(id);
    const bool first = id == preferred.front();
    const bool prefix_cache = first || worker.prefix_cache.Has(spec_.prefix_key);
    return worker.prefill_tokens + (prefix_cache ? 0 : spec_.shared_tokens);
  };
  if (preferred.size() > 1 && unread(preferred[1]) < unread(preferred[0]))
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

// Its first event has come, or none will.
void ActiveRequest::EndPrefill() {
  if (!std::exchange(in_prefill_, false)) return;
  pool_->workers.Find(worker_)->prefill_tokens -= prefill_tokens_;
}

Micros ActiveRequest::PlacementDeadline(Micros now) const {
  if (spec_.bulk) return std::min(spec_.due, now + kBulkQueueTime);
  if (runs_ > 0) return std::min(spec_.due, now + kRetryQueueTime);
  const double share =
      pool_->dispatcher.limit_grows() ? kGrowingQueueTargetFraction : kQueueTargetFraction;
  const Micros hold = std::max(FromMs(share * spec_.target_ms) - kQueueMargin, kMinQueueTime);
  // After a start of all nodes no other one knows more workers than this one: waiting serves the
  // client better than a refusal, which would be its last.
  const Micros learned = host_->WarmUpDeadline(now);
  return std::min(spec_.due, std::max({started_ + hold, now + kMinQueueTime, learned}));
}

// The job itself gives up: at the module only what has missed its objective makes slots dear.
void ActiveRequest::OnQueuedTooLong() {
  if (placement_ == 0 || placed_) return;
  retry_after_ = pool_->dispatcher.RetryAfter();
  pool_->dispatcher.Withdraw(std::exchange(placement_, 0));
  EndWithoutAnswer();
}

void ActiveRequest::OnRefused(PlacementId, Micros retry_after) {
  const auto self = shared_from_this();
  placement_ = 0;
  retry_after_ = retry_after;
  EndWithoutAnswer();
}

void ActiveRequest::OnPlaced(PlacementId, dispatch::WorkerId worker) {
  const auto self = shared_from_this();
  placed_ = true;
  timers_->Cancel(&queue_timer_);
  worker_ = worker;
  const ServiceWorker& chosen = *pool_->workers.Find(worker);
  // Guards drains: the list that the decision rests on may be older than the registry's word.
  const bool ready = chosen.present && host_->IsReady(chosen.record.worker_id);
  if (ready && Now() < spec_.due - kMinLeft) return Send(worker);
  EndPlacement(Outcome::kMoot);
  if (!ready) host_->RefreshWorkers();
  if (++not_sent_ > kMaxNotSent || Now() >= spec_.due - kMinLeft) return EndWithoutAnswer();
  RequestPlacement();
}

// ---------------------------------------------------------------- the attempt

void ActiveRequest::Send(dispatch::WorkerId worker) {
  ServiceWorker& chosen = *pool_->workers.Find(worker);
  sent_ = Now();
  last_event_at_ = 0;
  load_.reset();
  paused_ = false;
  events_.Clear();
  SendDetails details;
  details.worker_id = chosen.record.worker_id;
  details.left = has_due_ ? spec_.due - sent_ : 0;
  details.last_event_id = last_event_id_;
  AttemptRequest request;
  request.head = WriteWorkerHead(spec_, details, body_->size());
  request.body = body_;
  request.attempt_id = spec_.attempt_id;
  request.bodiless = spec_.method == "HEAD";
  request.streamed = spec_.streamed;
  request.idempotent = spec_.idempotent;
  request.connection_limit = host_->ConnectionLimit(spec_.service);
  if (++sends_ == 1 && !spec_.streamed) pool_->response_timeout.RecordSend();
  ++chosen.in_flight;
  RecordPrefill(&chosen);
  AttemptListener* const listener = this;
  attempt_ = std::make_shared<Attempt>(timers_, chosen.connections, std::move(request), listener);
  if (spec_.idempotent && runs_ + 1 < spec_.attempts) ArmTimeout(NextEventTimeout());
  const auto attempt = attempt_;  // it may end, and another begin, inside the call
  attempt->Start();
}

// Ends what is under way, whatever it is, without a word to the sink.
void ActiveRequest::AbandonAttempt(Outcome outcome) {
  timers_->Cancel(&timeout_timer_);
  if (attempt_ != nullptr) attempt_->Cancel();
  if (placement_ == 0) return;
  if (placed_) return EndPlacement(outcome);
  pool_->dispatcher.Withdraw(std::exchange(placement_, 0));
}

// The placement's outcome is known.
void ActiveRequest::EndPlacement(Outcome outcome) {
  ReleaseBulkGate();
  timers_->Cancel(&timeout_timer_);
  EndPrefill();
  if (attempt_ != nullptr) {
    attempt_.reset();
    --pool_->workers.Find(worker_)->in_flight;
  }
  if (load_) pool_->workers.RecordLoad(worker_, *load_);
  const Micros latency = sent_ == 0 ? 0 : Now() - sent_;
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
      ++runs_;
      EndPlacement(Outcome::kReset);
      return RetryAfterRun();
    case AttemptEnd::kAnswered:
      return OnAnswer(std::move(result));
  }
}

void ActiveRequest::OnAnswer(AttemptResult result) {
  ResponseHead& head = result.head;
  worker_status_ = head.status;
  if (result.forwarded) return OnStreamComplete();
  load_ = ReadWorkerLoad(head);
  if (GuaranteesNotRun(head)) {
    EndPlacement(NotRunOutcome(head));
    return RetryAfterNotRun();
  }
  ++runs_;
  const bool success = head.status / 100 == 2;
  const bool failed = head.status >= 500 || (success && head.Find("X-Seal") == nullptr);
  EndPlacement(head.status == 504 ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kGood);
  const bool stop = spec_.stop_on_500 && head.status == 500;
  if (failed && !stop && MayRunAgain()) return RequestPlacement();
  // These would promise what the worker has not promised.
  const bool would_guarantee_not_run =
      head.status == 503 || head.status == 429 || head.status == 408;
  if (head_forwarded_ || would_guarantee_not_run || (success && failed)) return EndWithoutAnswer();
  ForwardResponse(std::move(head), result.body);
}

bool ActiveRequest::GuaranteesNotRun(const ResponseHead& head) const {
  if (head.status == 421) return true;
  const bool may_guarantee_not_run = head.status == 503 || head.status == 429 || head.status == 400;
  return may_guarantee_not_run && head.Find("X-Not-Run") != nullptr;
}

// What a promise tells of the worker: only a plain 503 says that it is full.
Outcome ActiveRequest::NotRunOutcome(const ResponseHead& head) {
  if (head.status == 421) {
    const bool other_version =
        std::any_of(spec_.headers.begin(), spec_.headers.end(),
                    [](const http::Header& h) { return http::SameName(h.name, "Expect-Version"); });
    if (!other_version) {
      pool_->dispatcher.OnWorkers(pool_->workers.DropWorker(worker_));
      host_->RefreshWorkers();  // which sees to it that the worker is tried again in time
    }
    return Outcome::kMoot;
  }
  if (head.status == 400) return Outcome::kMoot;
  const double worker_tokens = host_->WorkerTokens(spec_.service);
  const bool too_large = worker_tokens > 0 && spec_.tokens > kLargeRequestFraction * worker_tokens;
  const bool overdue = Now() >= spec_.due - kMinLeft;
  return overdue || too_large ? Outcome::kMoot : Outcome::kFull;
}

// ---------------------------------------------------------------- going on

bool ActiveRequest::MayRunAgain() const {
  return spec_.idempotent && runs_ < spec_.attempts && sends_ < spec_.attempts + kExtraSends &&
         (!head_forwarded_ || spec_.resumable) && Now() < spec_.due - kMinLeft;
}

void ActiveRequest::RetryAfterNotRun() {
  const bool stream_lost = head_forwarded_ && !spec_.resumable;
  const bool again = (runs_ == 0 || MayRunAgain()) && !stream_lost &&
                     sends_ < spec_.attempts + kExtraSends && Now() < spec_.due - kMinLeft;
  if (again) return RequestPlacement();
  EndWithoutAnswer();
}

void ActiveRequest::RetryAfterRun() {
  if (MayRunAgain()) return RequestPlacement();
  EndWithoutAnswer();
}

void ActiveRequest::EndWithoutAnswer() {
  RequestResult result;
  result.worker_status = worker_status_;
  if (head_forwarded_) {
    result.end = RequestEnd::kBroken;
  } else if (runs_ == 0) {
    result.end = RequestEnd::kNotRun;
    result.retry_after = retry_after_ > 0 ? retry_after_ : kDefaultRetryAfter;
  } else {
    result.end = Now() >= spec_.due ? RequestEnd::kTimeout : RequestEnd::kFailed;
  }
  End(result);
}

void ActiveRequest::OnDue() {
  const bool out = attempt_ != nullptr && attempt_->written();
  const bool unanswered = out && !attempt_->response_begun();
  if (out) ++runs_;
  AbandonAttempt(unanswered ? Outcome::kTimeout : Outcome::kCancelled);
  EndWithoutAnswer();
}

void ActiveRequest::End(RequestResult result) {
  if (ended_) return;
  Cancel();
  host_->Forget(id_);
  const std::shared_ptr<RequestSink> sink = std::move(sink_);
  sink->OnEnd(result);
}

// ---------------------------------------------------------------- silence

Micros ActiveRequest::NextEventTimeout() const {
  if (!spec_.streamed) {
    if (host_->policy().learn_silence)
      return pool_->response_timeout.Limit(FromMs(spec_.target_ms), spec_.due - sent_);
    return std::max(kMinPlainTimeout, FromMs(kPlainTimeoutTargets * spec_.target_ms));
  }
  const Micros between =
      std::max(kMinStreamTimeout, FromMs(kStreamTimeoutGaps * spec_.gap_target_ms));
  if (last_event_at_ != 0) return between;
  return std::max(between, FromMs(kFirstEventTimeoutTargets * spec_.target_ms));
}

void ActiveRequest::ArmTimeout(Micros after) {
  timers_->Cancel(&timeout_timer_);
  timeout_timer_ = timers_->After(after, [this] {
    timeout_timer_ = 0;
    const auto self = shared_from_this();
    OnTimeout();
  });
}

// Leaves a silent worker only where another may be asked, with time for it.
void ActiveRequest::OnTimeout() {
  const Micros now = Now();
  // This node does not read: the worker is not silent, and other jobs may go there.
  if (paused_) {
    ReportProgress();
    return ArmTimeout(kProgressWhilePaused);
  }
  const Micros timed_out_at = std::max(sent_, last_event_at_) + NextEventTimeout();
  if (now < timed_out_at) return ArmTimeout(timed_out_at - now);
  const bool learned = !spec_.streamed && host_->policy().learn_silence;
  // Another worker takes about as long as this one has been given.
  const Micros needed = learned ? NextEventTimeout() : FromMs(spec_.target_ms);
  if (now + needed >= spec_.due) return;
  if (attempt_ == nullptr || (!spec_.streamed && attempt_->response_begun())) return;
  if (learned && !pool_->response_timeout.TakeRetry()) return ArmTimeout(kRetryBudgetCheckPeriod);
  if (attempt_->written()) ++runs_;
  // Silence so soon is no word on the slots of all workers, but on this one.
  AbandonAttempt(learned ? Outcome::kError : Outcome::kTimeout);
  RetryAfterRun();
}

}  // namespace pearreach::proxy
