// Attempts: the sends that the module asked for, what workers say of them, and their ends.
#include <algorithm>
#include <cmath>
#include <utility>

#include "node/engine/node.h"

namespace pearreach {
namespace {

using dispatch::Outcome;

}  // namespace

void Node::Send(const dispatch::Send& action) {
  const auto it = records_.find(action.request);
  // An answer given since the module was handed its events: to send now would break rule 1.
  if (it == records_.end() || it->second.answered) return Count("sends_passed_over");
  Record& r = it->second;
  const Micros now = Now();
  const AttemptKey key{action.request, static_cast<int>(r.attempts.size())};
  r.attempts.push_back({action.worker, now, true, false});
  ++r.out;
  Count("attempts");
  if (r.guard == nullptr) return Launch(key);
  r.attempts.back().held = true;
  r.guard->BeforeSend(key.job, NameOf(action.worker), [this, key](std::uint64_t fence) {
    const auto it = records_.find(key.job);
    if (it == records_.end()) return;
    Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    a.held = false;
    if (!a.out) return;  // given up meanwhile: nothing of it has gone out
    if (fence == 0 || it->second.answered) return End(key, Outcome::kNotSent, {});
    it->second.job.fence = fence;
    a.sent = a.heard = Now();
    if (it->second.job.lease > 0) {
      leases_.insert({a.heard + it->second.job.lease, key});
      lease_alarm_.Set(leases_.begin()->first);
    }
    Launch(key);
  });
}

void Node::Launch(AttemptKey key) {
  const Record& r = records_.at(key.job);
  if (witness_ != nullptr)
    witness_->OnSent(NameOf(r.attempts[static_cast<std::size_t>(key.number)].worker));
  workers_.Start(key, r.attempts[static_cast<std::size_t>(key.number)].worker, r.job,
                 r.due - Now());
}

// A word of an attempt renews its lease.
void Node::Hear(Ticket ticket, Attempt& a, AttemptState state) {
  a.heard = Now();
  if (state == AttemptState::kStarted && a.started == 0) a.started = a.heard;
  if (witness_ != nullptr) witness_->OnHeard(NameOf(a.worker));
  const auto it = records_.find(ticket);
  if (it != records_.end() && it->second.guard != nullptr)
    it->second.guard->OnAttempt(ticket, NameOf(a.worker), state);
}

// Attempts that were not heard of for their lease are given up; what that means for the job is
// decided elsewhere.
void Node::RunLeases() {
  const Micros now = Now();
  while (!leases_.empty() && leases_.begin()->first <= now) {
    const AttemptKey key = leases_.begin()->second;
    leases_.erase(leases_.begin());
    const auto it = records_.find(key.job);
    if (it == records_.end()) continue;
    const Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    if (!a.out) continue;
    if (a.heard + it->second.job.lease > now) {
      leases_.insert({a.heard + it->second.job.lease, key});
      continue;
    }
    Count("leases_over");
    if (!a.taken) workers_.GiveUp(key, a.worker, it->second.job.id);
    End(key, Outcome::kTimeout, {});
  }
  if (!leases_.empty()) lease_alarm_.Set(leases_.begin()->first);
}

void Node::Cancel(const dispatch::Cancel& action) {
  const auto it = records_.find(action.request);
  if (it == records_.end()) return;
  Record& r = it->second;
  const auto at = static_cast<std::size_t>(action.attempt);
  if (!Must(at < r.attempts.size(), "cancel_of_nothing") || !r.attempts[at].out) return;
  const AttemptKey key{action.request, action.attempt};
  if (r.attempts[at].held) return End(key, Outcome::kNotSent, {});
  workers_.GiveUp(key, r.attempts[at].worker, r.job.id);
  End(key, Outcome::kCancelled, {});
}

void Node::End(AttemptKey key, Outcome outcome, const dispatch::LoadReport& load) {
  static constexpr const char* kNames[] = {"good",          "error", "full",      "timeout",
                                           "no_connection", "reset", "cancelled", "moot"};
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  Record& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(key.number)];
  if (!a.out) return;
  a.out = false;
  --r.out;
  if (r.guard != nullptr) {
    const bool never = outcome == Outcome::kFull || outcome == Outcome::kNoConnection ||
                       outcome == Outcome::kNotSent;
    const bool said = outcome == Outcome::kGood || outcome == Outcome::kError;
    r.guard->OnAttempt(key.job, NameOf(a.worker),
                       never  ? AttemptState::kNeverRan
                       : said ? AttemptState::kSaidEnd
                              : AttemptState::kMayHaveRun);
  }
  Count((std::string("ended_") + kNames[static_cast<int>(outcome)]).c_str());
  if (load.free_slots || load.in_flight) Count("load_reports");
  // What never went out says nothing of the worker.
  if (witness_ != nullptr && outcome != Outcome::kNotSent)
    witness_->OnEnded(NameOf(a.worker), outcome, r.job.cls, a.started > 0 ? Now() - a.started : 0);
  dispatch::AttemptEnded e;
  e.request = key.job;
  e.attempt = key.number;
  e.worker = a.worker;
  e.outcome = outcome;
  e.latency = Now() - a.sent;
  e.settled = r.answered;
  e.load = load;
  Post(e);
  Forget(key.job);
}

// A worker finds the job itself bad: no other would take it either, and it is no word against the
// worker's health, which a bad client could otherwise spoil.
void Node::Reject(AttemptKey key) {
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  CountFault("rejected_by_worker", it->second.job.id);
  if (!it->second.answered) Reply(key.job, it->second, {Answer::Kind::kRejected, "", 0, false});
  End(key, Outcome::kCancelled, {});
}

// News may come before the 202, come again, or be of a job or an attempt that has ended: it counts
// for an attempt that is out at the worker it comes from, and only once.
void Node::TellNode(const News& news) {
  const auto id = by_id_.find(news.job);
  const auto from = ids_.find(news.from);
  if (id == by_id_.end() || from == ids_.end()) {
    if (!orphan_ || !orphan_(news)) Count("news_passed_over");
    return;
  }
  const Ticket ticket = id->second;
  Record& r = records_.at(ticket);
  int number = -1;
  bool again = false;  // an earlier attempt went to the same worker
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (r.attempts[i].worker != from->second) continue;
    again = again || !r.attempts[i].out;
    if (r.attempts[i].out) number = static_cast<int>(i);
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
  if (again && !a.taken && news.state == News::State::kReturned) return Count("news_passed_over");
  switch (news.state) {
    case News::State::kStarted:
      Hear(ticket, a, AttemptState::kStarted);
      return Post(dispatch::AttemptStarted{ticket, number, a.worker});
    case News::State::kRunning:
      Hear(ticket, a, AttemptState::kProgress);
      return Post(dispatch::AttemptProgress{ticket, number, a.worker, news.share});
    case News::State::kDone:
      workers_.Detach(key);
      if (!r.answered) {
        Count("served");
        Reply(ticket, r, {Answer::Kind::kServed, news.result, 0, false});
      }
      return End(key, Outcome::kGood, news.load);
    case News::State::kFailed:
    case News::State::kReturned:
    case News::State::kLost:
      workers_.Detach(key);
      return End(key,
                 news.state == News::State::kFailed     ? Outcome::kError
                 : news.state == News::State::kReturned ? Outcome::kFull
                                                        : Outcome::kReset,
                 news.load);
  }
}

Micros Node::ClockOf(std::int64_t unix_ms) const {
  return unix_ms <= 0 ? 0 : std::max<Micros>(1, unix_ms * kMs - clock_offset_);
}

}  // namespace pearreach
