// The list of workers: who is a member of which pool, what a new process of a worker voids, and
// which part of each worker is this node's own.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_
#define PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_

#include <algorithm>
#include <utility>

#include "dispatch/policy/worker_health.h"

namespace pearreach::dispatch {

constexpr Micros kSubscribeFirst = 250 * kMs;  // wait after a failed call of the list; it doubles

class WorkerMembership : public WorkerHealth {
 protected:
  using WorkerHealth::On;

  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) {
      subscribe_at_ = now_ + subscribe_wait_ / 2 + Mix(random_++) % (subscribe_wait_ / 2);
      subscribe_wait_ = std::min(2 * subscribe_wait_, kTrialLast);
      Log({LogLine::Kind::kListFailed, 0, 0, 0});
      return;
    }
    ++lists_;
    for (const WorkerEntry& e : list.entries) Update(e);
    if (list.form == WorkerList::Form::kComplete)
      for (Worker& w : workers_)
        if (w.named != lists_) SetKnown(w, false);
    for (Pool& p : pools_)
      if (std::exchange(p.changed, false)) ShareMembers(p);
    for (const WorkerEntry& e : list.entries)  // once in service: drained, its part is nothing
      if (Worker* w = Numbered(workers_, e.worker); w != nullptr && w->cold_part < 0 && w->member)
        w->cold_part = w->part;
  }

 private:
  void Update(const WorkerEntry& e) {
    if (e.kind < 0 || e.kind >= s_.kinds) return;
    Worker& w = WorkerAt(e.worker);
    if (e.kind != w.entry.kind || e.identity != w.entry.identity || e.zone != w.entry.zone) {
      SetKnown(w, false);
      SetUsed(PoolOf(w).used, w, e.worker, false);
    }
    // A new process: what was held against the old one is void, but its attempts count on.
    const bool fresh = e.ready_at != w.entry.ready_at || !w.known;
    w.entry = e;
    if (fresh) {
      SetSilent(w, false);
      w.Renew();
      for (auto& [ref, i] : w.out)
        if (Request* r = table_.Find(ref)) r->attempts[i].written_off = true;
    }
    w.named = lists_;
    SetKnown(w, e.health != Health::kGone);
    SetUsed(PoolOf(w).used, w, e.worker, !w.out.empty() || Connected(w));
  }

  void SetKnown(Worker& w, bool known) {
    SetMembership(w, known);
    if (!known && w.busy > 0) SetSilent(w, true);  // gone: its slots fill no limit
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_
