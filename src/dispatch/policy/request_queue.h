// Requests: their arrival, their order while they wait, and their one final answer.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_

#include <algorithm>

#include "dispatch/policy/worker_choice.h"

namespace pearreach::dispatch {

constexpr std::size_t kLookahead = 8;  // held jobs of one queue tried when its newest must wait
constexpr double kLearn = 0.05;        // weight of one arrival, or of one finished job

class RequestQueue : public WorkerChoice {
 protected:
  using WorkerChoice::On;

  void On(const RequestArrived& e) {
    if (e.cls < 0 || e.cls >= static_cast<int>(classes_.size()) || table_.FindId(e.request)) return;
    Request& r = AddRequest(e);
    Bucket* quota = Numbered(quota_, e.tenant);
    r.over_share = e.over_quota.value_or(quota != nullptr && !quota->Take(now_));
    gap_.Tick(now_, kLearn);
    if (r.key) keys_.Add(*r.key, Work(r) * r.slots, now_, kKeyMemory);
    Hold(r);
  }

  void On(const RequestAbandoned& e) {
    Request* r = table_.FindId(e.request);
    if (r == nullptr || r->ended) return;
    End(*r, false);
    Abandon(*r);
  }

  // Queues a request (the newest goes first: of jobs that cannot all be in time it has most time
  // left; oldest first makes every one late) and arms the moment at which it can be no more.
  void Hold(Request& r) {
    if (Hopeless(r) || !PermitFor(r).send) {
      if (r.out == 0) Answer(r, Hopeless(r));
      return;
    }
    r.late = now_ > LatestStart(r);
    Enqueue(r, DueAt(r));
  }

  // The queue whose next job is worth most a slot; null: none has one that was not passed.
  Queue* MostWorth() {
    Queue* best = nullptr;
    double best_value = 0;
    for (Queue& q : queues_) {
      const Request* next = q.Next(kLookahead, table_);
      if (next == nullptr) continue;
      const double v = Value(*next);
      if (best != nullptr && v <= best_value) continue;
      best = &q;
      best_value = v;
    }
    return best;
  }

  // Guards rule 1 (a final answer before the deadline). A job that can no longer be in time ends
  // here if a late answer is worth nothing; else it keeps its place, behind the newer ones.
  void RunDue() {
    while (!due_.empty() && due_.top().at <= now_) {
      Request* r = table_.Find(due_.top().ref);
      due_.pop();
      if (r == nullptr || r->ended || !r->held) continue;
      const bool over = now_ >= r->due - kAnswerMargin;
      const bool late = r->late || over || now_ > LatestStart(*r);
      if (late && !r->late) SetPrice(*r);
      r->late = late;
      if (!over && !Hopeless(*r)) {
        due_.push({DueAt(*r), table_.RefOf(*r)});
        continue;
      }
      Dequeue(*r);
      if (r->out == 0) Answer(*r, true);  // else the outcome at the deadline ends it
    }
  }

  // The one final answer that this node itself gives.
  void Answer(Request& r, bool hopeless) {
    const Permit p = PermitFor(r);
    if (r.ended) return;
    End(r, false);
    refused_ += p.refuse ? 1 : 0;
    if (p.refuse)
      Act(Refuse{r.id, hopeless ? s_.max_retry_after : 0});
    else
      Act(Fail{r.id});
    Abandon(r);
  }

  // The final answer is given: by this node, by an outcome, or nobody waits for it any more.
  void End(Request& r, bool in_time) {
    Dequeue(r);
    r.ended = true;
    CountService(r, in_time);
  }

  // After the end: nobody waits for what is still out.
  void Abandon(Request& r) {
    if (s_.may_cancel)
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].ran == Ran::kOut) Act(Cancel{r.id, static_cast<int>(i)});
    Forget(r);
  }

 private:
  // When something must be done about a held job: its last start in time, then its deadline.
  Micros DueAt(const Request& r) const {
    return std::min(r.due - kAnswerMargin, r.late ? kNever : LatestStart(r) + 1);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_REQUEST_QUEUE_H_
