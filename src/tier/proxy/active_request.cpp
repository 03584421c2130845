#include "tier/proxy/active_request.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/worker_request.h"

namespace pearreach::proxy {
namespace {

using dispatch::Outcome;

constexpr int kMorePromises = 4;  // sends beyond the tries, for workers that did not run it
constexpr int kMaxNotSent = 16;   // placements at workers that had just gone
constexpr Micros kUnbounded = 3600 * kSecond;  // for a job without a due time
constexpr Micros kMinLeft = 2 * kMs;           // a send with less left serves nobody
constexpr Micros kDefaultRetryAfter = 200 * kMs;

// A job that has not been offered to a worker by a quarter of its objective is better refused: its
// client may go elsewhere.
// While the limit still grows from its start, the wait for it is short: it pays to hold on longer.
constexpr double kHoldShare = 0.25;
constexpr double kGrowingHoldShare = 0.5;
constexpr Micros kHoldMargin = 5 * kMs;
constexpr Micros kBulkLook = 25 * kMs;   // an item that waits for room looks for it this often
constexpr Micros kBulkHold = 400 * kMs;  // an item goes back then: another node may have room
constexpr Micros kHoldLeast = 20 * kMs;
constexpr Micros kHoldAgain = kSecond;  // one that may have run can't be refused: it may wait

// Silence after which another worker may be asked.
constexpr Micros kStreamSilence = kSecond;
constexpr double kStreamSilenceGaps = 4;  // clients leave after eight at the soonest
constexpr double kFirstEventTargets = 2;
constexpr Micros kPlainSilence = 1500 * kMs;
constexpr Micros kProgressWhilePaused = kSecond;
constexpr double kPlainSilenceTargets = 5;
constexpr Micros kSilenceLook = 50 * kMs;  // between looks whether the budget allows a repeat

// Shared parts that are read anew for less time than the search for their worker may cost are not
// worth it.
constexpr double kMinShared = 1000;
constexpr std::size_t kHomes = 2;  // workers that are tried first for the shared parts of a prompt
constexpr double kHomeFill = 1.0;  // of its slots in use; a worker above it is no home

constexpr double kLargeShare = 0.5;  // a request of this share of a worker's memory may not fit

Micros FromMs(double ms) { return static_cast<Micros>(ms * static_cast<double>(kMs)); }

}  // namespace

ActiveRequest::ActiveRequest(std::uint64_t id, RequestSpec spec, std::shared_ptr<RequestSink> sink,
                             Timers* timers, ServiceLine* line, ActiveRequestHost* host)
    : id_(id),
      spec_(std::move(spec)),
      body_(std::make_shared<const std::string>(std::exchange(spec_.body, {}))),
      sink_(std::move(sink)),
      timers_(timers),
      line_(line),
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
  Ask();
}

void ActiveRequest::Cancel() {
  if (std::exchange(ended_, true)) return;
  timers_->Cancel(&due_timer_);
  timers_->Cancel(&hold_timer_);
  StopWaiting();
  Leave(Outcome::kCancelled);
  if (spec_.bulk) line_->bulk_gate.Withdraw(id_);
  LeaveGate();
}

// ---------------------------------------------------------------- finding a worker

// An item that comes when the room for it is used up by others waits a while, then goes back.
bool ActiveRequest::WaitsForRoom() {
  if (!spec_.bulk || in_gate_ || sends_ > 0 || host_->BulkRoom(spec_.service) > 0) return false;
  if (Now() >= started_ + kBulkHold) {
    EndWithoutAnswer();
    return true;
  }
  ++line_->bulk_waiting;
  waits_for_room_ = true;
  hold_timer_ = timers_->After(kBulkLook, [this] {
    hold_timer_ = 0;
    const auto self = shared_from_this();
    StopWaiting();
    Ask();
  });
  return true;
}

void ActiveRequest::StopWaiting() {
  if (std::exchange(waits_for_room_, false)) --line_->bulk_waiting;
}

// A bulk job waits here until its prompt would delay live requests little enough.
bool ActiveRequest::PassGate() {
  if (!spec_.bulk || in_gate_) return true;
  in_gate_ = line_->bulk_gate.Enter(id_, [this] {
    const auto self = shared_from_this();
    in_gate_ = true;
    Ask();
  });
  return in_gate_;
}

void ActiveRequest::LeaveGate() {
  if (std::exchange(in_gate_, false)) line_->bulk_gate.Leave();
}

void ActiveRequest::Ask() {
  if (WaitsForRoom() || !PassGate()) return;
  Placement placement;
  placement.job_class.rank = spec_.rank;
  placement.job_class.target = spec_.bulk ? 0 : FromMs(spec_.target_ms);
  placement.job_class.streamed = spec_.streamed;
  placement.job_class.bulk = spec_.bulk;
  const Micros now = Now();
  const Micros place_by = PlaceBy(now);
  placement.due = spec_.due;
  placement.homes = Homes();
  placed_ = false;
  placement_ = line_->dispatcher.Arrive(placement, this);
  timers_->Cancel(&hold_timer_);
  hold_timer_ = timers_->After(place_by - now, [this] {
    hold_timer_ = 0;
    const auto self = shared_from_this();
    OnHeldTooLong();
  });
}

// The workers that are likely to keep the shared parts of its prompt, as far as these are worth it
// and the workers are not loaded.
std::vector<dispatch::WorkerId> ActiveRequest::Homes() const {
  std::vector<dispatch::WorkerId> homes;
  const bool worth = spec_.prefix_key != 0 && spec_.shared_tokens >= kMinShared;
  if (!worth || !host_->policy().prefix_homes) return homes;
  const Micros now = Now();
  homes = line_->workers.HomesOf(spec_.prefix_key, kHomes);
  std::erase_if(homes,
                [&](dispatch::WorkerId id) { return line_->workers.Fill(id, now) > kHomeFill; });
  const auto unread = [&](dispatch::WorkerId id) {
    const ServiceWorker& worker = *line_->workers.Find(id);
    const bool first = id == homes.front();
    const bool kept = first || worker.kept.Has(spec_.prefix_key);
    return worker.unread_tokens + (kept ? 0 : spec_.shared_tokens);
  };
  if (homes.size() > 1 && unread(homes[1]) < unread(homes[0])) std::swap(homes[0], homes[1]);
  return homes;
}

void ActiveRequest::NoteSent(ServiceWorker* worker) {
  reading_ = true;
  unread_ = spec_.own_tokens;
  if (spec_.prefix_key != 0 && spec_.shared_tokens >= kMinShared) {
    if (!worker->kept.Has(spec_.prefix_key)) unread_ += spec_.shared_tokens;
    worker->kept.Use(spec_.prefix_key, spec_.shared_tokens, spec_.own_tokens,
                     host_->WorkerTokens(spec_.service));
  }
  worker->unread_tokens += unread_;
}

// Its first event has come, or none will.
void ActiveRequest::NoteRead() {
  if (!std::exchange(reading_, false)) return;
  line_->workers.Find(worker_)->unread_tokens -= unread_;
}

Micros ActiveRequest::PlaceBy(Micros now) const {
  if (spec_.bulk) return std::min(spec_.due, now + kBulkHold);
  if (runs_ > 0) return std::min(spec_.due, now + kHoldAgain);
  const double share = line_->dispatcher.limit_grows() ? kGrowingHoldShare : kHoldShare;
  const Micros hold = std::max(FromMs(share * spec_.target_ms) - kHoldMargin, kHoldLeast);
  // After a start of all nodes no other one knows more workers than this one: waiting serves the
  // client better than a refusal, which would be its last.
  const Micros learned = host_->LearnsWorkersUntil(now);
  return std::min(spec_.due, std::max({started_ + hold, now + kHoldLeast, learned}));
}

// The job itself gives up: at the module only what has missed its objective makes slots dear.
void ActiveRequest::OnHeldTooLong() {
  if (placement_ == 0 || placed_) return;
  retry_after_ = line_->dispatcher.RetryAfter();
  line_->dispatcher.Lapse(std::exchange(placement_, 0));
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
  timers_->Cancel(&hold_timer_);
  worker_ = worker;
  const ServiceWorker& chosen = *line_->workers.Find(worker);
  // Guards drains: the list that the decision rests on may be older than the registry's word.
  const bool ready = chosen.present && host_->IsReady(chosen.record.worker_id);
  if (ready && Now() < spec_.due - kMinLeft) return Send(worker);
  Settle(Outcome::kMoot);
  if (!ready) host_->RefreshWorkers();
  if (++not_sent_ > kMaxNotSent || Now() >= spec_.due - kMinLeft) return EndWithoutAnswer();
  Ask();
}

// ---------------------------------------------------------------- the attempt

void ActiveRequest::Send(dispatch::WorkerId worker) {
  ServiceWorker& chosen = *line_->workers.Find(worker);
  sent_ = Now();
  heard_ = 0;
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
  request.repeatable = spec_.repeatable;
  request.connection_limit = host_->ConnectionLimit(spec_.service);
  if (++sends_ == 1 && !spec_.streamed) line_->silence.NoteSend();
  ++chosen.in_flight;
  NoteSent(&chosen);
  AttemptListener* const listener = this;
  attempt_ = std::make_shared<Attempt>(timers_, chosen.connections, std::move(request), listener);
  if (spec_.repeatable && runs_ + 1 < spec_.attempts) WatchSilence(SilenceLimit());
  const auto attempt = attempt_;  // it may end, and another begin, inside the call
  attempt->Start();
}

// Ends what is under way, whatever it is, without a word to the sink.
void ActiveRequest::Leave(Outcome outcome) {
  timers_->Cancel(&silence_timer_);
  if (attempt_ != nullptr) attempt_->Cancel();
  if (placement_ == 0) return;
  if (placed_) return Settle(outcome);
  line_->dispatcher.Lapse(std::exchange(placement_, 0));
}

// The placement's outcome is known.
void ActiveRequest::Settle(Outcome outcome) {
  LeaveGate();
  timers_->Cancel(&silence_timer_);
  NoteRead();
  if (attempt_ != nullptr) {
    attempt_.reset();
    --line_->workers.Find(worker_)->in_flight;
  }
  if (load_) line_->workers.Tell(worker_, *load_);
  const Micros latency = sent_ == 0 ? 0 : Now() - sent_;
  if (outcome == Outcome::kGood && !spec_.streamed) line_->silence.NoteAnswer(latency);
  line_->dispatcher.Ended(std::exchange(placement_, 0), outcome, latency, load_);
  load_.reset();
}

void ActiveRequest::OnAttemptEnd(AttemptResult result) {
  const auto self = shared_from_this();
  switch (result.end) {
    case AttemptEnd::kNoConnection:
      Settle(result.connections_used_up ? Outcome::kFull : Outcome::kNoConnection);
      return AfterPromise();
    case AttemptEnd::kLost:
      ++runs_;
      Settle(Outcome::kReset);
      return AfterRun();
    case AttemptEnd::kAnswered:
      return OnAnswer(std::move(result));
  }
}

void ActiveRequest::OnAnswer(AttemptResult result) {
  ResponseHead& head = result.head;
  worker_status_ = head.status;
  if (result.passed_on) return OnStreamComplete();
  load_ = ReadWorkerLoad(head);
  if (IsPromise(head)) {
    Settle(NotRunOutcome(head));
    return AfterPromise();
  }
  ++runs_;
  const bool success = head.status / 100 == 2;
  const bool failed = head.status >= 500 || (success && head.Find("X-Seal") == nullptr);
  Settle(head.status == 504 ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kGood);
  const bool stop = spec_.stop_on_500 && head.status == 500;
  if (failed && !stop && MayRunAgain()) return Ask();
  // These would promise what the worker has not promised.
  const bool false_promise = head.status == 503 || head.status == 429 || head.status == 408;
  if (head_passed_ || false_promise || (success && failed)) return EndWithoutAnswer();
  PassOn(std::move(head), result.body);
}

bool ActiveRequest::IsPromise(const ResponseHead& head) const {
  if (head.status == 421) return true;
  const bool may_promise = head.status == 503 || head.status == 429 || head.status == 400;
  return may_promise && head.Find("X-Not-Run") != nullptr;
}

// What a promise tells of the worker: only a plain 503 says that it is full.
Outcome ActiveRequest::NotRunOutcome(const ResponseHead& head) {
  if (head.status == 421) {
    const bool other_version =
        std::any_of(spec_.headers.begin(), spec_.headers.end(),
                    [](const http::Header& h) { return http::SameName(h.name, "Expect-Version"); });
    if (!other_version) {
      line_->dispatcher.OnWorkers(line_->workers.DropWorker(worker_));
      host_->RefreshWorkers();  // which sees to it that the worker is tried again in time
    }
    return Outcome::kMoot;
  }
  if (head.status == 400) return Outcome::kMoot;
  const double room = host_->WorkerTokens(spec_.service);
  const bool too_large = room > 0 && spec_.tokens > kLargeShare * room;
  const bool overdue = Now() >= spec_.due - kMinLeft;
  return overdue || too_large ? Outcome::kMoot : Outcome::kFull;
}

// ---------------------------------------------------------------- going on

bool ActiveRequest::MayRunAgain() const {
  return spec_.repeatable && runs_ < spec_.attempts && sends_ < spec_.attempts + kMorePromises &&
         (!head_passed_ || spec_.resumable) && Now() < spec_.due - kMinLeft;
}

void ActiveRequest::AfterPromise() {
  const bool stream_lost = head_passed_ && !spec_.resumable;
  const bool again = (runs_ == 0 || MayRunAgain()) && !stream_lost &&
                     sends_ < spec_.attempts + kMorePromises && Now() < spec_.due - kMinLeft;
  if (again) return Ask();
  EndWithoutAnswer();
}

void ActiveRequest::AfterRun() {
  if (MayRunAgain()) return Ask();
  EndWithoutAnswer();
}

void ActiveRequest::EndWithoutAnswer() {
  RequestResult result;
  result.worker_status = worker_status_;
  if (head_passed_) {
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
  const bool silent = out && !attempt_->heard();
  if (out) ++runs_;
  Leave(silent ? Outcome::kTimeout : Outcome::kCancelled);
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

Micros ActiveRequest::SilenceLimit() const {
  if (!spec_.streamed) {
    if (host_->policy().learn_silence)
      return line_->silence.Limit(FromMs(spec_.target_ms), spec_.due - sent_);
    return std::max(kPlainSilence, FromMs(kPlainSilenceTargets * spec_.target_ms));
  }
  const Micros between = std::max(kStreamSilence, FromMs(kStreamSilenceGaps * spec_.gap_target_ms));
  if (heard_ != 0) return between;
  return std::max(between, FromMs(kFirstEventTargets * spec_.target_ms));
}

void ActiveRequest::WatchSilence(Micros after) {
  timers_->Cancel(&silence_timer_);
  silence_timer_ = timers_->After(after, [this] {
    silence_timer_ = 0;
    const auto self = shared_from_this();
    OnSilence();
  });
}

// Leaves a silent worker only where another may be asked, with time for it.
void ActiveRequest::OnSilence() {
  const Micros now = Now();
  // This node does not read: the worker is not silent, and other jobs may go there.
  if (paused_) {
    TellProgress();
    return WatchSilence(kProgressWhilePaused);
  }
  const Micros silent_at = std::max(sent_, heard_) + SilenceLimit();
  if (now < silent_at) return WatchSilence(silent_at - now);
  const bool learned = !spec_.streamed && host_->policy().learn_silence;
  // Another worker takes about as long as this one has been given.
  const Micros needed = learned ? SilenceLimit() : FromMs(spec_.target_ms);
  if (now + needed >= spec_.due) return;
  if (attempt_ == nullptr || (!spec_.streamed && attempt_->heard())) return;
  if (learned && !line_->silence.TakeRepeat()) return WatchSilence(kSilenceLook);
  if (attempt_->written()) ++runs_;
  // Silence so soon is no word on the slots of all workers, but on this one.
  Leave(learned ? Outcome::kError : Outcome::kTimeout);
  AfterRun();
}

}  // namespace pearreach::proxy
