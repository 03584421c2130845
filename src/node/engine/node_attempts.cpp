// Attempts: sending them on the Dispatcher's behalf, the workers' updates, and their ends.
#include <algorithm>
#include <cmath>
#include <utility>

#include "node/engine/node.h"

namespace pearreach {
namespace {

using dispatch::Outcome;

}  // namespace

void Node::SendAttempt(const dispatch::Send& action) {
  const auto it = records_.find(action.request);
  // Rule 1: a job that has been answered since the Dispatcher's turn began must not be sent.
  if (it == records_.end() || it->second.answered) return Count("sends_passed_over");
  Record& r = it->second;
  const Micros now = Now();
  const AttemptKey key{action.request, static_cast<int>(r.attempts.size())};
  r.attempts.push_back({action.worker, now, true, false});
  ++r.in_flight;
  Count("attempts");
  if (r.guard == nullptr) return StartAttempt(key);
  r.attempts.back().awaiting_intent = true;
  r.guard->BeforeSend(key.job, WorkerName(action.worker), [this, key](std::uint64_t fence) {
    const auto it = records_.find(key.job);
    if (it == records_.end()) return;
    Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    a.awaiting_intent = false;
    if (!a.in_flight) return;  // cancelled while its intent was written; never sent
    if (fence == 0 || it->second.answered) return EndAttempt(key, Outcome::kNotSent, {});
    it->second.job.fence = fence;
    a.sent_at = a.last_update = Now();
    if (it->second.job.lease > 0) {
      leases_.insert({a.last_update + it->second.job.lease, key});
      lease_alarm_.Set(leases_.begin()->first);
    }
    StartAttempt(key);
  });
}

void Node::StartAttempt(AttemptKey key) {
  const Record& r = records_.at(key.job);
  if (observer_ != nullptr)
    observer_->OnSent(WorkerName(r.attempts[static_cast<std::size_t>(key.number)].worker));
  workers_.StartAttempt(key, r.attempts[static_cast<std::size_t>(key.number)].worker, r.job,
                        r.deadline - Now());
}

// Each update about an attempt renews its lease.
void Node::RecordAttemptUpdate(Ticket ticket, Attempt& a, AttemptState state) {
  a.last_update = Now();
  if (state == AttemptState::kStarted && a.started_at == 0) a.started_at = a.last_update;
  if (observer_ != nullptr) observer_->OnAttemptUpdate(WorkerName(a.worker));
  const auto it = records_.find(ticket);
  if (it != records_.end() && it->second.guard != nullptr)
    it->second.guard->OnAttempt(ticket, WorkerName(a.worker), state);
}

// Ends attempts without an update for the length of their lease as timed out. The Dispatcher and
// the job ledger decide what follows for the job.
void Node::ExpireLeases() {
  const Micros now = Now();
  while (!leases_.empty() && leases_.begin()->first <= now) {
    const AttemptKey key = leases_.begin()->second;
    leases_.erase(leases_.begin());
    const auto it = records_.find(key.job);
    if (it == records_.end()) continue;
    const Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    if (!a.in_flight) continue;
    if (a.last_update + it->second.job.lease > now) {
      leases_.insert({a.last_update + it->second.job.lease, key});
      continue;
    }
    Count("leases_over");
    if (!a.accepted) workers_.CancelAttempt(key, a.worker, it->second.job.id);
    EndAttempt(key, Outcome::kTimeout, {});
  }
  if (!leases_.empty()) lease_alarm_.Set(leases_.begin()->first);
}

void Node::CancelAttempt(const dispatch::Cancel& action) {
  const auto it = records_.find(action.request);
  if (it == records_.end()) return;
  Record& r = it->second;
  const auto at = static_cast<std::size_t>(action.attempt);
  if (!Must(at < r.attempts.size(), "cancel_of_nothing") || !r.attempts[at].in_flight) return;
  const AttemptKey key{action.request, action.attempt};
  if (r.attempts[at].awaiting_intent) return EndAttempt(key, Outcome::kNotSent, {});
  workers_.CancelAttempt(key, r.attempts[at].worker, r.job.id);
  EndAttempt(key, Outcome::kCancelled, {});
}

void Node::EndAttempt(AttemptKey key, Outcome outcome, const dispatch::LoadReport& load) {
  static constexpr const char* kNames[] = {"good",          "error", "full",      "timeout",
                                           "no_connection", "reset", "cancelled", "moot"};
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  Record& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(key.number)];
  if (!a.in_flight) return;
  a.in_flight = false;
  --r.in_flight;
  if (r.guard != nullptr) {
    const bool never_ran = outcome == Outcome::kFull || outcome == Outcome::kNoConnection ||
                           outcome == Outcome::kNotSent;
    const bool reported = outcome == Outcome::kGood || outcome == Outcome::kError;
    r.guard->OnAttempt(key.job, WorkerName(a.worker),
                       never_ran  ? AttemptState::kNeverRan
                       : reported ? AttemptState::kReportedEnd
                                  : AttemptState::kMayHaveRun);
  }
  Count((std::string("ended_") + kNames[static_cast<int>(outcome)]).c_str());
  if (load.free_slots || load.in_flight) Count("load_reports");
  // An attempt that was never sent is no observation of the worker.
  if (observer_ != nullptr && outcome != Outcome::kNotSent)
    observer_->OnEnded(WorkerName(a.worker), outcome, r.job.cls,
                       a.started_at > 0 ? Now() - a.started_at : 0);
  dispatch::AttemptEnded e;
  e.request = key.job;
  e.attempt = key.number;
  e.worker = a.worker;
  e.outcome = outcome;
  e.latency = Now() - a.sent_at;
  e.settled = r.answered;
  e.load = load;
  Post(e);
  MaybeRelease(key.job);
}

// A worker has rejected the job as invalid. Other workers would reject it, too, so it is not sent
// again. It does not count against the worker's health, which faulty clients could otherwise harm.
void Node::RejectJob(AttemptKey key) {
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  CountFault("rejected_by_worker", it->second.job.id);
  if (!it->second.answered)
    AnswerClient(key.job, it->second, {Answer::Kind::kRejected, "", 0, false});
  EndAttempt(key, Outcome::kCancelled, {});
}

// Updates may arrive before the 202, repeatedly, or for a job or an attempt that has ended. An
// update applies once, to the attempt in flight at the worker that sent it.
void Node::ApplyJobUpdate(const News& update) {
  const auto id = tickets_by_job_id_.find(update.job);
  const auto from = worker_ids_.find(update.from);
  if (id == tickets_by_job_id_.end() || from == worker_ids_.end()) {
    if (!unknown_job_handler_ || !unknown_job_handler_(update)) Count("news_passed_over");
    return;
  }
  const Ticket ticket = id->second;
  Record& r = records_.at(ticket);
  int number = -1;
  bool retried_here = false;  // an earlier attempt went to the same worker
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (r.attempts[i].worker != from->second) continue;
    retried_here = retried_here || !r.attempts[i].in_flight;
    if (r.attempts[i].in_flight) number = static_cast<int>(i);
  }
  if (number < 0) return Count("news_passed_over");
  Attempt& a = r.attempts[static_cast<std::size_t>(number)];
  const AttemptKey key{ticket, number};
  // If a fenced job was sent to the same worker again, updates with an older fence are about the
  // earlier attempt. Only `done` still counts, since the job has then taken effect.
  if (update.fence != 0 && update.fence < r.job.fence && update.state != News::State::kDone)
    return Count("news_passed_over");
  // Rule 2: a repeated `returned` for an earlier attempt at this worker must not be taken for the
  // new attempt. The job would be sent elsewhere while the new attempt may run.
  if (retried_here && !a.accepted && update.state == News::State::kReturned)
    return Count("news_passed_over");
  switch (update.state) {
    case News::State::kStarted:
      RecordAttemptUpdate(ticket, a, AttemptState::kStarted);
      return Post(dispatch::AttemptStarted{ticket, number, a.worker});
    case News::State::kRunning:
      RecordAttemptUpdate(ticket, a, AttemptState::kProgress);
      return Post(dispatch::AttemptProgress{ticket, number, a.worker, update.share});
    case News::State::kDone:
      workers_.DetachAttempt(key);
      if (!r.answered) {
        Count("served");
        AnswerClient(ticket, r, {Answer::Kind::kServed, update.result, 0, false});
      }
      return EndAttempt(key, Outcome::kGood, update.load);
    case News::State::kFailed:
    case News::State::kReturned:
    case News::State::kLost:
      workers_.DetachAttempt(key);
      return EndAttempt(key,
                        update.state == News::State::kFailed     ? Outcome::kError
                        : update.state == News::State::kReturned ? Outcome::kFull
                                                                 : Outcome::kReset,
                        update.load);
  }
}

Micros Node::FromUnixMs(std::int64_t unix_ms) const {
  return unix_ms <= 0 ? 0 : std::max<Micros>(1, unix_ms * kMs - clock_offset_);
}

}  // namespace pearreach
