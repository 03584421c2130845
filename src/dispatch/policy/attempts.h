// The life of an attempt: its send, the worker's reports, its outcome, and the estimates that are
// learned from a completed job.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_
#define PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_

#include <algorithm>

#include "dispatch/policy/request_queue.h"

namespace pearreach::dispatch {

// Period of the check while jobs are in flight.
constexpr Micros kInFlightCheckInterval = 100 * kMs;
// Upper bound, and rise per report, of Pool::start_report_delay, microseconds.
constexpr double kMaxStartReportDelay = 5000, kStartReportDelayRise = 10;
// Weight of the first job against a speed restored from an earlier process.
constexpr double kRestoredSpeedWeight = 0.25;
constexpr double kMaxSlowness = 3.0;  // slowness is clamped to this and to its reciprocal
// A running time is clamped to this multiple of the expected one.
constexpr double kMaxRunRatio = 4.0;

class Attempts : public RequestQueue {
 protected:
  using RequestQueue::On;

  // Sends an attempt of a request to a worker.
  void SendTo(Request& r, WorkerId id) {
    Dequeue(r);
    Worker& w = workers_[id];
    OpenAttempt(r, id, now_);
    CheckWithin(kInFlightCheckInterval);
    CountColdSend(w, r);
    if (w.silent || w.blocked_until > 0) BackOff(w);
    Emit(Send{r.id, id});
  }

  // Upholds rule 2 (no double execution) across a restart of the node: an attempt that may be
  // running already is not sent again on suspicion.
  void On(const AttemptAdopted& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    Worker& w = WorkerAt(e.worker);
    if (!w.listed) SetSilent(w, true);  // not listed: its slots do not count towards the limit
    const bool in_flight = e.state == AttemptAdopted::State::kInFlight;
    if (in_flight) Dequeue(*r);
    OpenAttempt(*r, e.worker, std::min(e.sent, now_));
    CheckWithin(kInFlightCheckInterval);
    Attempt& a = r->attempts.back();
    // The start time is unknown, so the attempt must not affect the limit.
    a.accepted = a.late_start_counted = true;
    if (e.started) Start(*r, a);
    if (in_flight) return;
    CloseAttempt(*r, a, static_cast<int>(r->attempts.size()) - 1,
                 e.state == AttemptAdopted::State::kNeverRan ? Execution::kNeverRan
                                                             : Execution::kMayHaveRun);
  }

  void On(const AttemptAccepted& e) {
    if (Request * r; Attempt* a = table_.FindInFlight(e.request, e.attempt, &r)) a->accepted = true;
  }
  void On(const AttemptStarted& e) { RecordReport(e); }
  void On(const AttemptProgress& e) { RecordReport(e); }
  void On(const StreamBegan& e) {
    Request* r = RecordReport(e);
    if (r != nullptr && !r->ended) End(*r, now_ <= LatencyTargetAt(*r));
  }

  void On(const AttemptEnded& e) {
    Request* r;
    Attempt* a = table_.FindInFlight(e.request, e.attempt, &r);
    if (a == nullptr) return;
    RecordLoad(workers_[a->worker], e.load);
    if (e.outcome == Outcome::kGood) RecordSuccess(*r, *a);
    const bool never_ran = e.outcome == Outcome::kFull || e.outcome == Outcome::kNoConnection ||
                           e.outcome == Outcome::kNotSent;
    CloseAttempt(*r, *a, e.attempt, never_ran ? Execution::kNeverRan : Execution::kMayHaveRun);
    RecordOutcome(e.outcome, *a);
    if (r->ended) return Forget(*r);
    if (e.settled) {
      End(*r, e.outcome == Outcome::kGood && now_ <= LatencyTargetAt(*r));
      return Abandon(*r);
    }
    if (!r->queued)
      QueueOrAnswer(*r);
    else if (!PermitFor(*r).send && r->in_flight == 0)
      Answer(*r, false);
  }

 private:
  // Records a report of a running attempt; returns null if the attempt is not in flight.
  template <class ReportEvent>
  Request* RecordReport(const ReportEvent& e) {
    Request* r;
    Attempt* a = table_.FindInFlight(e.request, e.attempt, &r);
    if (a == nullptr) return nullptr;
    RecordResponse(workers_[a->worker], a->sent);
    Start(*r, *a);
    return r;
  }

  void Start(Request& r, Attempt& a) {
    if (a.started >= 0) return;
    MarkStarted(r, a);
    if (a.late_start_counted) return;
    Worker& w = workers_[a.worker];
    Pool& p = PoolOf(w);
    p.start_report_delay = std::min({p.start_report_delay + kStartReportDelayRise,
                                     static_cast<double>(now_ - a.sent), kMaxStartReportDelay});
    if (w.busy > w.slots_when_full) w.full_until = 0, w.full_backoff = 0;
    RecordUseThatWorked(p);
  }

  // Updates the health of the worker and the limit of its pool after an outcome.
  void RecordOutcome(Outcome outcome, const Attempt& a) {
    Worker& w = workers_[a.worker];
    const bool good = outcome == Outcome::kGood, full = outcome == Outcome::kFull;
    if (good || outcome == Outcome::kError) CountFailure(w, !good);
    if (good || full) RecordResponse(w, a.sent);
    if (full) MarkFull(w, w.busy);
    if (full || (outcome == Outcome::kTimeout && !a.late_start_counted))
      CountRefusal(PoolOf(w), a.sent);
    const bool lost = outcome == Outcome::kNoConnection, reset = outcome == Outcome::kReset;
    if (outcome != Outcome::kError && !lost && !reset) return;
    w.idle_connections = 0;
    Block(w);  // a worker that fails at once looks idle and would attract all jobs
    if (lost || (reset && a.started >= 0)) w.died_at = now_;
  }

  // A completed job raises the limit and updates the estimates of the work of its class and of the
  // speed of its kind.
  void RecordSuccess(const Request& r, const Attempt& a) {
    Worker& w = workers_[a.worker];
    Pool& p = PoolOf(w);
    if (!a.late_start_counted) Grow(p, r.slots);
    if (a.started < 0) return;
    const double expected = Work(r) * p.slowdown;
    const double run = std::min(static_cast<double>(now_ - a.started), kMaxRunRatio * expected);
    p.mean_running += kMeanWeight * (run - p.mean_running);
    p.mean_work += kMeanWeight * (Work(r) - p.mean_work);
    // A single worker may be slower than its kind, permanently or while another program uses its
    // cores.
    const double weight = w.restored ? kRestoredSpeedWeight : kMeanWeight * Work(r) / p.mean_work;
    w.slowness += weight * (run / expected - w.slowness);
    w.slowness = std::clamp(w.slowness, 1 / kMaxSlowness, kMaxSlowness);
    p.slowdown = std::clamp(p.mean_running / p.mean_work, 0.1, 10.0);
    ClassState& c = classes_[r.cls];
    c.work += kMeanWeight * (run / p.slowdown - c.work);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_ATTEMPTS_H_
