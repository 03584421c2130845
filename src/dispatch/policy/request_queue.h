// Requests: their arrival, their order in the queues, and their final answer.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_

#include <algorithm>

#include "dispatch/policy/worker_choice.h"

namespace pearreach::dispatch {

constexpr std::size_t kQueueLookahead = 8;  // newest jobs of one queue that are tried per call
// Weight of one arrival or one finished job in the decaying means.
constexpr double kMeanWeight = 0.05;

class RequestQueue : public WorkerChoice {
 protected:
  using WorkerChoice::On;

  void On(const RequestArrived& e) {
    if (e.cls < 0 || e.cls >= static_cast<int>(classes_.size()) || table_.FindId(e.request)) return;
    Request& r = AddRequest(e);
    TokenBucket* quota = ItemAt(quota_, e.tenant);
    r.over_quota = e.over_quota.value_or(quota != nullptr && !quota->Take(now_));
    arrival_interval_.Record(now_, kMeanWeight);
    if (r.key) keys_.Add(*r.key, Work(r) * r.slots, now_, kKeyMemory);
    QueueOrAnswer(r);
  }

  void On(const RequestAbandoned& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    End(*r, false);
    Abandon(*r);
  }

  // Queues a request and schedules the time at which it can no longer be in time, or answers it at
  // once if it cannot be sent. The newest request goes first: when not all can be in time it has
  // the most time left, whereas oldest first would make every request late.
  void QueueOrAnswer(Request& r) {
    if (CannotEarnValue(r) || !PermitFor(r).send) {
      if (r.in_flight == 0) Answer(r, CannotEarnValue(r));
      return;
    }
    r.late = now_ > LatestStart(r);
    Enqueue(r, DueAt(r));
  }

  // Returns the queue whose next job has the highest value per slot; null if no queue has a job
  // left to try.
  Queue* MostValuableQueue() {
    Queue* best = nullptr;
    double best_value = 0;
    for (Queue& q : queues_) {
      const Request* next = q.Next(kQueueLookahead, table_);
      if (next == nullptr) continue;
      const double v = Value(*next);
      if (best != nullptr && v <= best_value) continue;
      best = &q;
      best_value = v;
    }
    return best;
  }

  // Upholds rule 1 (a final answer before the deadline). A job that can no longer be in time ends
  // here if a late answer has no value; else it keeps its place behind the newer ones.
  void ProcessDue() {
    while (!due_.empty() && due_.top().at <= now_) {
      Request* r = table_.Find(due_.top().ref);
      due_.pop();
      if (r == nullptr || r->ended || !r->queued) continue;
      const bool over = now_ >= r->due - kAnswerMargin;
      const bool late = r->late || over || now_ > LatestStart(*r);
      if (late && !r->late) RaisePrice(*r);
      r->late = late;
      if (!over && !CannotEarnValue(*r)) {
        due_.push({DueAt(*r), table_.RefOf(*r)});
        continue;
      }
      Dequeue(*r);
      // With an attempt in flight, the outcome of the attempt at the deadline ends the request.
      if (r->in_flight == 0) Answer(*r, true);
    }
  }

  // Gives the final answer of this node: a refusal if a retry is safe, else a failure.
  void Answer(Request& r, bool cannot_earn_value) {
    const Permit p = PermitFor(r);
    if (r.ended) return;
    End(r, false);
    refused_ += p.refuse ? 1 : 0;
    if (p.refuse)
      Emit(Refuse{r.id, cannot_earn_value ? s_.max_retry_after : 0});
    else
      Emit(Fail{r.id});
    Abandon(r);
  }

  // Marks the request as ended, because its final answer was given or its client has left.
  void End(Request& r, bool in_time) {
    Dequeue(r);
    r.ended = true;
    CountService(r, in_time);
  }

  // Cancels the attempts that are still in flight after the end of the request.
  void Abandon(Request& r) {
    if (s_.may_cancel)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].execution == Execution::kInFlight)
          Emit(Cancel{r.id, static_cast<int>(i)});
    Forget(r);
  }

 private:
  // When a queued job must be reconsidered: after its latest start in time, then at its deadline.
  Micros DueAt(const Request& r) const {
    return std::min(r.due - kAnswerMargin, r.late ? kNever : LatestStart(r) + 1);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_
