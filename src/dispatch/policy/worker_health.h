// Evidence of workers' health: which are silent, failing, full or left out by what several nodes
// have seen, when each may be tried again, how much a fresh one may be sent before it is warm, and
// the check of the attempts that are out at one.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_
#define PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_

#include <algorithm>
#include <cmath>

#include "dispatch/policy/slot_limit.h"

namespace pearreach::dispatch {

constexpr Micros kStartGrace = 100 * kMs;   // a start later than this (or a connect) is a refusal
constexpr Micros kMissedLast = 1000 * kMs;  // a job not taken by then never will be
constexpr double kSilentPeriods = 2.5;      // progress periods without a word: silent
constexpr Micros kSilentDefault = 5000 * kMs;  // the same where no progress is told
constexpr Micros kTrialFirst = 250 * kMs;      // first trial or probe of a worker out of the sample
constexpr Micros kTrialLast = 4000 * kMs;      // the wait doubles up to this
constexpr double kFailureLearn = 0.2;          // weight of one job that a worker served or failed
constexpr double kFirstFailure = 0.7;    // of the first one where an earlier process's word stands
constexpr double kSick = 0.3;            // a worker that fails more than this share is on trial
constexpr Micros kFullFirst = 40 * kMs;  // a full worker's rest, for each balancer: the
constexpr Micros kFullLast = 500 * kMs;  // nodes' trials add up; it doubles up to this
constexpr double kTakenLearn = 0.1;      // weight of a report of the slots in use at a worker
constexpr Micros kTakenMemory = 1000 * kMs;  // what was told fades over this
constexpr double kColdSafety = 0.5;          // share of the rule's budget that is used
constexpr double kColdUnhinted = 2.0;        // a job without a hint counts for this many mean jobs

class WorkerHealth : public SlotLimit {
 protected:
  // Takes a worker's slots out of, or back into, its pool's count: slots that make no progress
  // would otherwise fill the limit and stop the pool.
  void SetSilent(Worker& w, bool silent) {
    if (w.silent == silent) return;
    w.silent = silent;
    w.judged = w.judged && silent;
    PoolOf(w).busy += silent ? -w.busy : w.busy;
    if (silent) {
      w.trial_wait = 0;
      w.next_trial = now_;
    }
    Log({silent ? LogLine::Kind::kWorkerSilent : LogLine::Kind::kWorkerRecovered, IdOf(w), 0, 0});
  }

  void BackOff(Worker& w) {
    w.trial_wait = std::clamp(2 * w.trial_wait, kTrialFirst, kTrialLast);
    w.next_trial = w.judged ? kNever : now_ + w.trial_wait;
    if (w.blocked_until > 0) w.blocked_until = now_ + w.trial_wait;
  }
  void Block(Worker& w) {
    w.blocked_until = now_ + 1;
    BackOff(w);
  }

  // A word of the worker, about what was sent to it then.
  void Hear(Worker& w, Micros sent) {
    w.heard = now_;
    if (sent < w.died_at) w.died_at = 0;  // what was there before is there still: it did not die
    if (!Sick(w)) w.blocked_until = w.trial_wait = 0;
    PoolOf(w).shut_until = 0;
    SetSilent(w, false);
  }

  // It fails too many of its jobs, if not all: that some succeed there is no reason to send more.
  bool Sick(const Worker& w) const { return w.failures > kSick; }

  void CountFailure(Worker& w, bool failed) {
    const double weight = std::exchange(w.recalled, false) ? kFirstFailure : kFailureLearn;
    w.failures += weight * ((failed ? 1 : 0) - w.failures);
    if (Sick(w) && !failed) w.blocked_until = 0;  // the next trial at once
  }

  // A worker found full is trusted with what it ran of ours then: each job of ours that ends there
  // makes room for one. More is tried after a rest.
  void MarkFull(Worker& w, double level) {
    w.full_level = level;
    w.full_wait = std::clamp(2 * w.full_wait, kFullFirst * s_.balancers, kFullLast * s_.balancers);
    w.full_until = now_ + w.full_wait;
  }

  // When it takes another job of so many slots if nothing is heard of it.
  Micros OpensAt(const Worker& w, double slots) const {
    if (Sick(w) && !w.out.empty()) return kNever;  // one trial at a time
    const Pool& p = PoolOf(w);
    // Starts that are not told yet though the jobs run: of short jobs most of those at a worker.
    const double on_their_way = p.slots_seen * p.tell / (p.tell + p.ran);
    if (w.waiting > 0 && w.waiting >= on_their_way) return kNever;  // full, or slow to say
    Micros at = w.blocked_until;
    if (w.silent) at = std::max(at, w.next_trial);
    if (w.busy + slots > w.full_level) at = std::max(at, w.full_until);
    return at;
  }

  void Report(Worker& w, const LoadReport& load) {
    Pool& p = PoolOf(w);
    if (load.in_flight) w.others = std::max(0.0, *load.in_flight - w.busy);
    if (!load.free_slots) return;
    p.told = true;
    p.slots_seen = std::max(p.slots_seen, std::floor(*load.free_slots));
    const double taken = std::max(0.0, p.slots_seen - *load.free_slots - w.running);
    const double before = w.taken.Now(now_, kTakenMemory);
    w.taken = {before + kTakenLearn * (taken - before), now_};
  }

  void On(const ProbeEnded& e) {
    if (e.worker >= workers_.size() || !e.good) return;
    Worker& w = workers_[e.worker];
    Hear(w, now_);
    Report(w, e.load);
    w.answered_at = now_;
  }

  // What several nodes have seen: evidence as far as this one has none that is fresher. The worker
  // is out until another word, but for one job when it is this node's turn to try it.
  void On(const HealthVerdict& j) {
    Worker* w = Numbered(workers_, j.worker);
    if (w == nullptr || !w->known) return;
    if (j.cold && w->heard < j.observed_at) w->died_at = std::max(w->died_at, j.observed_at);
    w->judged = j.ejected && w->heard < j.observed_at;
    if (w->judged) SetSilent(*w, true);
    w->next_trial = w->judged && !j.trial ? kNever : now_;
    PoolOf(*w).shut_until = 0;
  }

  // A process that died on this node is another by the time it answers, whatever the list still
  // says.
  Micros BornAt(const Worker& w) const { return std::max(w.entry.ready_at, w.died_at); }
  bool IsCold(const Worker& w) const { return BornAt(w) > 0 && now_ < BornAt(w) + s_.cold_time; }

  void CountColdSend(Worker& w, const Request& r) {
    if (IsCold(w)) w.cold_sends.Add(ColdWork(r), now_);
  }

  // Guards rule 4: this node's part of what a cold worker is sure to survive, over any window of
  // the rule's length, refused and queued work included. The parts of all nodes add up to one (an
  // even part of many would be less than one job) and stay as they were first heard.
  bool ColdAllows(Worker& w, const Request& r) {
    if (!IsCold(w)) return true;
    const double age = static_cast<double>(std::max<Micros>(0, now_ - BornAt(w)));
    const double share = s_.cold_share + (1 - s_.cold_share) * age / s_.cold_time;
    const Pool& pool = PoolOf(w);
    const double budget = kColdSafety * s_.overload_multiple * share * pool.slots_seen /
                          pool.slowdown * s_.overload_time * w.cold_part;
    return w.cold_sends.Now(now_, s_.overload_time) + ColdWork(r) <= budget;
  }

  // The periodic check of the attempts that are out at a worker.
  void CheckWorker(Worker& w) {
    Micros since = kNever;
    for (auto& [ref, i] : w.out) {
      Request* r = table_.Find(ref);
      if (r == nullptr) continue;
      Attempt& a = r->attempts[i];
      since = std::min(since, a.sent);
      if (a.started >= 0 || now_ - a.sent <= std::max(kStartGrace, s_.connect_timeout)) continue;
      if (s_.reports_accept && !a.taken) {
        GiveUp(w, *r, a, i);
      } else if (!a.late) {
        a.late = true;
        CountRefusal(PoolOf(w), a.sent);
        MarkFull(w, w.busy - r->slots);
      }
    }
    if (now_ - std::max(since, w.heard) > SilentAfter()) SetSilent(w, true);
    if (!w.silent || now_ < w.next_trial || !w.known || !s_.may_probe) return;
    Act(Probe{IdOf(w)});
    BackOff(w);
  }

 private:
  double ColdWork(const Request& r) const {
    return r.slots * (r.hint ? Work(r) : Work(r) * kColdUnhinted);
  }

  Micros SilentAfter() const {
    return s_.progress_interval > 0 ? static_cast<Micros>(kSilentPeriods * s_.progress_interval)
                                    : kSilentDefault;
  }

  // The worker has not even taken the attempt. If it has been heard since, the attempt's way there
  // is broken and not the worker, which takes others; else it is given trials. A job that may go
  // out again does so now. One that may not is given a while, for a worker that only stood still.
  void GiveUp(Worker& w, const Request& r, Attempt& a, int number) {
    if (!std::exchange(a.late, true) && w.heard <= a.sent) Block(w);
    if (!std::exchange(a.written_off, true)) --w.waiting;
    const bool again = s_.classes[r.cls].effect != Effect::kOnce;
    if (a.given_up || !s_.may_cancel || (!again && now_ - a.sent < kMissedLast)) return;
    a.given_up = true;
    Act(Cancel{r.id, number});
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_
