// Attempts: the send, what the worker says of it, its outcome, and what a served job teaches.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_
#define PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_

#include <algorithm>

#include "dispatch/policy/request_queue.h"

namespace pearreach::dispatch {

constexpr Micros kOutPeriod = 100 * kMs;            // the check while jobs are out
constexpr double kTellMost = 5000, kTellRise = 10;  // a start's word is so long on its way, at most
constexpr double kFirstSpeed = 0.25;  // of the first job where an earlier process's word stands
constexpr double kSlowest = 3.0;      // a worker counts for no slower, nor faster than 1 over it
constexpr double kOutlier = 4.0;      // a job counts for no more than this many expected ones

class Attempts : public RequestQueue {
 protected:
  using RequestQueue::On;

  void SendTo(Request& r, WorkerId id) {
    Dequeue(r);
    Worker& w = workers_[id];
    OpenAttempt(r, id, now_);
    CheckWithin(kOutPeriod);
    CountColdSend(w, r);
    if (w.silent || w.blocked_until > 0) BackOff(w);
    Act(Send{r.id, id});
  }

  // Guards rule 2 across a restart: what may run already is never sent on suspicion.
  void On(const AttemptAdopted& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    Worker& w = WorkerAt(e.worker);
    if (!w.known) SetSilent(w, true);  // not on the list: its slots fill no limit
    const bool out = e.state == AttemptAdopted::State::kInFlight;
    if (out) Dequeue(*r);
    OpenAttempt(*r, e.worker, std::min(e.sent, now_));
    CheckWithin(kOutPeriod);
    Attempt& a = r->attempts.back();
    a.taken = a.late = true;  // when it began is not known here: no word on the limit
    if (e.started) Start(*r, a);
    if (out) return;
    CloseAttempt(*r, a, static_cast<int>(r->attempts.size()) - 1,
                 e.state == AttemptAdopted::State::kNeverRan ? Ran::kNo : Ran::kMaybe);
  }

  void On(const AttemptAccepted& e) {
    if (Request * r; Attempt* a = table_.FindOut(e.request, e.attempt, &r)) a->taken = true;
  }
  void On(const AttemptStarted& e) { Heard(e); }
  void On(const AttemptProgress& e) { Heard(e); }
  void On(const StreamBegan& e) {
    Request* r = Heard(e);
    if (r != nullptr && !r->ended) End(*r, now_ <= AimAt(*r));
  }

  void On(const AttemptEnded& e) {
    Request* r;
    Attempt* a = table_.FindOut(e.request, e.attempt, &r);
    if (a == nullptr) return;
    Report(workers_[a->worker], e.load);
    if (e.outcome == Outcome::kGood) Succeed(*r, *a);
    const bool never_ran = e.outcome == Outcome::kFull || e.outcome == Outcome::kNoConnection ||
                           e.outcome == Outcome::kNotSent;
    CloseAttempt(*r, *a, e.attempt, never_ran ? Ran::kNo : Ran::kMaybe);
    WeighOutcome(e.outcome, *a);
    if (r->ended) return Forget(*r);
    if (e.settled) {
      End(*r, e.outcome == Outcome::kGood && now_ <= AimAt(*r));
      return Abandon(*r);
    }
    if (!r->held)
      Hold(*r);
    else if (!PermitFor(*r).send && r->out == 0)
      Answer(*r, false);
  }

 private:
  // A word of a running attempt; null: of one that is not out.
  template <class Word>
  Request* Heard(const Word& e) {
    Request* r;
    Attempt* a = table_.FindOut(e.request, e.attempt, &r);
    if (a == nullptr) return nullptr;
    Hear(workers_[a->worker], a->sent);
    Start(*r, *a);
    return r;
  }

  void Start(Request& r, Attempt& a) {
    if (a.started >= 0) return;
    MarkStarted(r, a);
    if (a.late) return;
    Worker& w = workers_[a.worker];
    Pool& p = PoolOf(w);
    p.tell = std::min({p.tell + kTellRise, static_cast<double>(now_ - a.sent), kTellMost});
    if (w.busy > w.full_level) w.full_until = 0, w.full_wait = 0;
    NoteWorks(p);
  }

  // What an outcome says of the worker and of its pool's limit.
  void WeighOutcome(Outcome outcome, const Attempt& a) {
    Worker& w = workers_[a.worker];
    const bool good = outcome == Outcome::kGood, full = outcome == Outcome::kFull;
    if (good || outcome == Outcome::kError) CountFailure(w, !good);
    if (good || full) Hear(w, a.sent);
    if (full) MarkFull(w, w.busy);
    if (full || (outcome == Outcome::kTimeout && !a.late)) CountRefusal(PoolOf(w), a.sent);
    const bool lost = outcome == Outcome::kNoConnection, reset = outcome == Outcome::kReset;
    if (outcome != Outcome::kError && !lost && !reset) return;
    w.idle = 0;
    Block(w);  // a worker that fails at once looks idle: it would draw all jobs
    if (lost || (reset && a.started >= 0)) w.died_at = now_;
  }

  // A served job raises the limit and teaches the work of its class and the speed of its kind.
  void Succeed(const Request& r, const Attempt& a) {
    Worker& w = workers_[a.worker];
    Pool& p = PoolOf(w);
    if (!a.late) Grow(p, r.slots);
    if (a.started < 0) return;
    const double expected = Work(r) * p.slowdown;
    const double run = std::min(static_cast<double>(now_ - a.started), kOutlier * expected);
    p.ran += kLearn * (run - p.ran);
    p.worked += kLearn * (Work(r) - p.worked);
    // One of its kind may be slower for good, or for as long as another program takes its cores.
    const double weight = w.recalled ? kFirstSpeed : kLearn * Work(r) / p.worked;
    w.slowness += weight * (run / expected - w.slowness);
    w.slowness = std::clamp(w.slowness, 1 / kSlowest, kSlowest);
    p.slowdown = std::clamp(p.ran / p.worked, 0.1, 10.0);
    ClassState& c = classes_[r.cls];
    c.work += kLearn * (run / p.slowdown - c.work);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_
