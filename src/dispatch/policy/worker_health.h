// Health of the workers: which are silent, failing, full or ejected by the observations of several
// nodes, when each may be tried again, how much work a newly started one may be sent, and the
// periodic check of the attempts in flight at a worker.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_
#define PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_

#include <algorithm>
#include <cmath>

#include "dispatch/policy/slot_limit.h"

namespace pearreach::dispatch {

// A later start counts as a refusal; at least connect_timeout.
constexpr Micros kStartTimeout = 100 * kMs;
constexpr Micros kAcceptTimeout = 1000 * kMs;  // an attempt not accepted by then will not be
constexpr double kSilentIntervals = 2.5;  // a worker is silent after this many without a report
constexpr Micros kSilentDefault = 5000 * kMs;  // the same time without progress reports
// First wait for a trial or probe of an excluded worker.
constexpr Micros kTrialBackoffMin = 250 * kMs;
constexpr Micros kTrialBackoffMax = 4000 * kMs;  // the wait doubles up to this
constexpr double kFailureWeight = 0.2;           // weight of one job in the share of failures
constexpr double kFirstFailureWeight = 0.7;  // the same for the first job against a restored share
constexpr double kFailingShare = 0.3;  // a worker with a larger share of failures gets trials only
// Backoff from a full worker per balancer, because the trials of all nodes add up; it doubles up to
// the maximum.
constexpr Micros kFullBackoffMin = 40 * kMs;
constexpr Micros kFullBackoffMax = 500 * kMs;
constexpr double kLoadReportWeight = 0.1;         // weight of one load report in used_by_others
constexpr Micros kLoadReportMemory = 1000 * kMs;  // time constant of the load reports
// Share of the overload budget of a cold worker that is used.
constexpr double kColdBudgetShare = 0.5;
// Work of a job without a hint, in mean jobs of its class.
constexpr double kUnhintedWorkFactor = 2.0;

class WorkerHealth : public SlotLimit {
 protected:
  // Removes the slots of a silent worker from the use of its pool, or adds them again. Slots
  // without progress would otherwise exhaust the limit and stop the pool.
  void SetSilent(Worker& w, bool silent) {
    if (w.silent == silent) return;
    w.silent = silent;
    w.ejected = w.ejected && silent;
    PoolOf(w).busy += silent ? -w.busy : w.busy;
    if (silent) {
      w.trial_backoff = 0;
      w.next_trial = now_;
    }
    Log({silent ? LogLine::Kind::kWorkerSilent : LogLine::Kind::kWorkerRecovered, IdOf(w), 0, 0});
  }

  // Doubles the wait before the next trial or probe of the worker.
  void BackOff(Worker& w) {
    w.trial_backoff = std::clamp(2 * w.trial_backoff, kTrialBackoffMin, kTrialBackoffMax);
    w.next_trial = w.ejected ? kNever : now_ + w.trial_backoff;
    if (w.blocked_until > 0) w.blocked_until = now_ + w.trial_backoff;
  }
  // Excludes a worker after a failed connection or an immediate error until its next trial.
  void Block(Worker& w) {
    w.blocked_until = now_ + 1;
    BackOff(w);
  }

  // Called when the worker responds to something that was sent at `sent`.
  void RecordResponse(Worker& w, Micros sent) {
    w.last_response = now_;
    if (sent < w.died_at) w.died_at = 0;  // it still has earlier attempts: the process did not die
    if (!IsFailing(w)) w.blocked_until = w.trial_backoff = 0;
    PoolOf(w).no_capacity_until = 0;
    SetSilent(w, false);
  }

  // Whether the worker fails too large a share of its jobs. A success alone does not end this.
  bool IsFailing(const Worker& w) const { return w.failures > kFailingShare; }

  // Updates the share of failed jobs after a job that the worker completed or failed.
  void CountFailure(Worker& w, bool failed) {
    const double weight = std::exchange(w.restored, false) ? kFirstFailureWeight : kFailureWeight;
    w.failures += weight * ((failed ? 1 : 0) - w.failures);
    if (IsFailing(w) && !failed) w.blocked_until = 0;  // the next trial may follow at once
  }

  // A full worker keeps the number of this node's slots with which it was found full: each job that
  // ends there allows another one. More are tried after a backoff.
  void MarkFull(Worker& w, double slots) {
    w.slots_when_full = slots;
    w.full_backoff = std::clamp(2 * w.full_backoff, kFullBackoffMin * s_.balancers,
                                kFullBackoffMax * s_.balancers);
    w.full_until = now_ + w.full_backoff;
  }

  // When the worker can take another job of `slots` slots, unless it reports something before.
  Micros AvailableAt(const Worker& w, double slots) const {
    if (IsFailing(w) && !w.in_flight.empty()) return kNever;  // one trial at a time
    const Pool& p = PoolOf(w);
    // Jobs that run although the report of their start is still on its way: with short jobs these
    // are most of the jobs at a worker.
    const double starts_in_transit =
        p.slots_seen * p.start_report_delay / (p.start_report_delay + p.mean_running);
    if (w.unstarted > 0 && w.unstarted >= starts_in_transit)
      return kNever;  // full, or slow to report
    Micros at = w.blocked_until;
    if (w.silent) at = std::max(at, w.next_trial);
    if (w.busy + slots > w.slots_when_full) at = std::max(at, w.full_until);
    return at;
  }

  void RecordLoad(Worker& w, const LoadReport& load) {
    Pool& p = PoolOf(w);
    if (load.in_flight) w.others_in_flight = std::max(0.0, *load.in_flight - w.busy);
    if (!load.free_slots) return;
    p.reports_free_slots = true;
    p.slots_seen = std::max(p.slots_seen, std::floor(*load.free_slots));
    const double by_others = std::max(0.0, p.slots_seen - *load.free_slots - w.running_slots);
    const double before = w.used_by_others.ValueAt(now_, kLoadReportMemory);
    w.used_by_others = {before + kLoadReportWeight * (by_others - before), now_};
  }

  void On(const ProbeEnded& e) {
    if (e.worker >= workers_.size() || !e.good) return;
    Worker& w = workers_[e.worker];
    RecordResponse(w, now_);
    RecordLoad(w, e.load);
    w.answered_at = now_;
  }

  // A verdict counts unless this node has more recent evidence. An ejected worker stays excluded
  // until the next verdict or response, except for one job if this node is to try it.
  void On(const HealthVerdict& v) {
    Worker* w = ItemAt(workers_, v.worker);
    if (w == nullptr || !w->listed) return;
    if (v.cold && w->last_response < v.observed_at)
      w->died_at = std::max(w->died_at, v.observed_at);
    w->ejected = v.ejected && w->last_response < v.observed_at;
    if (w->ejected) SetSilent(*w, true);
    w->next_trial = w->ejected && !v.trial ? kNever : now_;
    PoolOf(*w).no_capacity_until = 0;
  }

  // Start of the worker's current process. A process that was seen to die has been replaced by the
  // time the worker answers, even if the list does not show it yet.
  Micros ProcessStart(const Worker& w) const { return std::max(w.entry.ready_at, w.died_at); }
  bool IsCold(const Worker& w) const {
    return ProcessStart(w) > 0 && now_ < ProcessStart(w) + s_.cold_time;
  }

  void CountColdSend(Worker& w, const Request& r) {
    if (IsCold(w)) w.cold_sends.Add(ColdWork(r), now_);
  }

  // Upholds rule 4 (a cold worker is not overloaded): this node sends it at most its
  // share of the work that the worker surely survives in any window of Settings::overload_time,
  // including refused and queued work. The shares of all nodes add up to one (an even split over
  // many nodes would be less than one job each) and are fixed when the process is first seen in
  // service.
  bool ColdAllows(Worker& w, const Request& r) {
    if (!IsCold(w)) return true;
    const double age = static_cast<double>(std::max<Micros>(0, now_ - ProcessStart(w)));
    const double share = s_.cold_share + (1 - s_.cold_share) * age / s_.cold_time;
    const Pool& pool = PoolOf(w);
    const double budget = kColdBudgetShare * s_.overload_multiple * share * pool.slots_seen /
                          pool.slowdown * s_.overload_time * w.cold_share;
    return w.cold_sends.ValueAt(now_, s_.overload_time) + ColdWork(r) <= budget;
  }

  // The periodic check of the attempts in flight at a worker.
  void CheckWorker(Worker& w) {
    Micros since = kNever;
    for (auto& [ref, i] : w.in_flight) {
      Request* r = table_.Find(ref);
      if (r == nullptr) continue;
      Attempt& a = r->attempts[i];
      since = std::min(since, a.sent);
      if (a.started >= 0 || now_ - a.sent <= std::max(kStartTimeout, s_.connect_timeout)) continue;
      if (s_.reports_accept && !a.accepted) {
        CancelUnaccepted(w, *r, a, i);
      } else if (!a.late_start_counted) {
        a.late_start_counted = true;
        CountRefusal(PoolOf(w), a.sent);
        MarkFull(w, w.busy - r->slots);
      }
    }
    if (now_ - std::max(since, w.last_response) > SilentAfter()) SetSilent(w, true);
    if (!w.silent || now_ < w.next_trial || !w.listed || !s_.may_probe) return;
    Emit(Probe{IdOf(w)});
    BackOff(w);
  }

 private:
  double ColdWork(const Request& r) const {
    return r.slots * (r.hint ? Work(r) : Work(r) * kUnhintedWorkFactor);
  }

  // Time without a report after which a worker with attempts in flight is silent.
  Micros SilentAfter() const {
    return s_.progress_interval > 0 ? static_cast<Micros>(kSilentIntervals * s_.progress_interval)
                                    : kSilentDefault;
  }

  // Called when the worker has not even accepted the attempt. If it has responded since, only the
  // connection of the attempt is broken and the worker keeps getting jobs; else it gets trials
  // only. A job that may be sent again is cancelled now, any other after kAcceptTimeout, in case
  // the worker has only stalled.
  void CancelUnaccepted(Worker& w, const Request& r, Attempt& a, int number) {
    if (!std::exchange(a.late_start_counted, true) && w.last_response <= a.sent) Block(w);
    if (!std::exchange(a.written_off, true)) --w.unstarted;
    const bool may_repeat = s_.classes[r.cls].effect != Effect::kOnce;
    if (a.cancelled_unaccepted || !s_.may_cancel || (!may_repeat && now_ - a.sent < kAcceptTimeout))
      return;
    a.cancelled_unaccepted = true;
    Emit(Cancel{r.id, number});
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_HEALTH_H_
