// Attempts: the sends that the module asked for, what workers say of them, and their ends.
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
  // An answer given since the module was handed its events: to send now would break rule 1.
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
    if (!a.in_flight) return;  // given up meanwhile: nothing of it has gone out
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

// A word of an attempt renews its lease.
void Node::RecordAttemptUpdate(Ticket ticket, Attempt& a, AttemptState state) {
  a.last_update = Now();
  if (state == AttemptState::kStarted && a.started_at == 0) a.started_at = a.last_update;
  if (observer_ != nullptr) observer_->OnAttemptUpdate(WorkerName(a.worker));
  const auto it = records_.find(ticket);
  if (it != records_.end() && it->second.guard != nullptr)
    it->second.guard->OnAttempt(ticket, WorkerName(a.worker), state);
}

// Attempts that were not heard of for their lease are given up; what that means for the job is
// decided elsewhere.
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
    const bool never = outcome == Outcome::kFull || outcome == Outcome::kNoConnection ||
                       outcome == Outcome::kNotSent;
    const bool said = outcome == Outcome::kGood || outcome == Outcome::kError;
    r.guard->OnAttempt(key.job, WorkerName(a.worker),
                       never  ? AttemptState::kNeverRan
                       : said ? AttemptState::kReportedEnd
                              : AttemptState::kMayHaveRun);
  }
  Count((std::string("ended_") + kNames[static_cast<int>(outcome)]).c_str());
  if (load.free_slots || load.in_flight) Count("load_reports");
  // What never went out says nothing of the worker.
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

// A worker finds the job itself bad: no other would take it either, and it is no word against the
// worker's health, which a bad client could otherwise spoil.
void Node::RejectJob(AttemptKey key) {
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  CountFault("rejected_by_worker", it->second.job.id);
  if (!it->second.answered)
    AnswerClient(key.job, it->second, {Answer::Kind::kRejected, "", 0, false});
  EndAttempt(key, Outcome::kCancelled, {});
}

// News may come before the 202, come again, or be of a job or an attempt that has ended: it counts
// for an attempt that is out at the worker it comes from, and only once.
void Node::ApplyJobUpdate(const News& news) {
  const auto id = tickets_by_job_id_.find(news.job);
  const auto from = worker_ids_.find(news.from);
  if (id == tickets_by_job_id_.end() || from == worker_ids_.end()) {
    if (!unknown_job_handler_ || !unknown_job_handler_(news)) Count("news_passed_over");
    return;
  }
  const Ticket ticket = id->second;
  Record& r = records_.at(ticket);
  int number = -1;
  bool again = false;  // an earlier attempt went to the same worker
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (r.attempts[i].worker != from->second) continue;
    again = again || !r.attempts[i].in_flight;
    if (r.attempts[i].in_flight) number = static_cast<int>(i);
  }
  if (number < 0) return Count("news_passed_over");
  Attempt& a = r.attempts[static_cast<std::size_t>(number)];
  const AttemptKey key{ticket, number};
  // Guards a job given out again to the same worker: what it says of the attempt that was fenced
  // off is no word of the new one, unless that the job has taken effect.
  if (news.fence != 0 && news.fence < r.job.fence && news.state != News::State::kDone)
    return Count("news_passed_over");
  // Guards rule 2: where this worker had an attempt before, its 'returned' said again must not be
  // read as a word of the new one, which would then be sent elsewhere though it may run.
  if (again && !a.accepted && news.state == News::State::kReturned)
    return Count("news_passed_over");
  switch (news.state) {
    case News::State::kStarted:
      RecordAttemptUpdate(ticket, a, AttemptState::kStarted);
      return Post(dispatch::AttemptStarted{ticket, number, a.worker});
    case News::State::kRunning:
      RecordAttemptUpdate(ticket, a, AttemptState::kProgress);
      return Post(dispatch::AttemptProgress{ticket, number, a.worker, news.share});
    case News::State::kDone:
      workers_.DetachAttempt(key);
      if (!r.answered) {
        Count("served");
        AnswerClient(ticket, r, {Answer::Kind::kServed, news.result, 0, false});
      }
      return EndAttempt(key, Outcome::kGood, news.load);
    case News::State::kFailed:
    case News::State::kReturned:
    case News::State::kLost:
      workers_.DetachAttempt(key);
      return EndAttempt(key,
                        news.state == News::State::kFailed     ? Outcome::kError
                        : news.state == News::State::kReturned ? Outcome::kFull
                                                               : Outcome::kReset,
                        news.load);
  }
}

Micros Node::FromUnixMs(std::int64_t unix_ms) const {
  return unix_ms <= 0 ? 0 : std::max<Micros>(1, unix_ms * kMs - clock_offset_);
}

}  // namespace pearreach
