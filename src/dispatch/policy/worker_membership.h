// The worker list: the membership of pools, the reset of a worker's evidence when its process is
// replaced, and the share of each worker that is assigned to this node.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_
#define PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_

#include <algorithm>
#include <utility>

#include "dispatch/policy/worker_health.h"

namespace pearreach::dispatch {

// First wait after a failed fetch of the list; it doubles.
constexpr Micros kSubscribeBackoffMin = 250 * kMs;

class WorkerMembership : public WorkerHealth {
 protected:
  using WorkerHealth::On;

  void On(const WorkerList& list) {
    if (list.form == WorkerList::Form::kFailed) {
      subscribe_at_ = now_ + subscribe_wait_ / 2 + HashMix(random_++) % (subscribe_wait_ / 2);
      subscribe_wait_ = std::min(2 * subscribe_wait_, kTrialBackoffMax);
      Log({LogLine::Kind::kListFailed, 0, 0, 0});
      return;
    }
    ++list_updates_;
    for (const WorkerEntry& e : list.entries) UpdateWorker(e);
    if (list.form == WorkerList::Form::kComplete)
      for (Worker& w : workers_)
        if (w.last_list_number != list_updates_) SetListed(w, false);
    for (Pool& p : pools_)
      if (std::exchange(p.members_changed, false)) ShareMembers(p);
    // The share is fixed once the worker is in service: a draining worker has no share.
    for (const WorkerEntry& e : list.entries)
      if (Worker* w = ItemAt(workers_, e.worker); w != nullptr && w->cold_share < 0 && w->member)
        w->cold_share = w->own_share;
  }

 private:
  void UpdateWorker(const WorkerEntry& e) {
    if (e.kind < 0 || e.kind >= s_.kinds) return;
    Worker& w = WorkerAt(e.worker);
    if (e.kind != w.entry.kind || e.identity != w.entry.identity || e.zone != w.entry.zone) {
      SetListed(w, false);
      SetUsed(PoolOf(w).used, w, e.worker, false);
    }
    // A new process: the evidence against the old one no longer applies, but its attempts keep
    // their slots.
    const bool new_process = e.ready_at != w.entry.ready_at || !w.listed;
    w.entry = e;
    if (new_process) {
      SetSilent(w, false);
      w.ResetForNewProcess();
      for (auto& [ref, i] : w.in_flight)
        if (Request* r = table_.Find(ref)) r->attempts[i].written_off = true;
    }
    w.last_list_number = list_updates_;
    SetListed(w, e.health != Health::kGone);
    SetUsed(PoolOf(w).used, w, e.worker, !w.in_flight.empty() || HasIdleConnection(w));
  }

  void SetListed(Worker& w, bool listed) {
    SetMembership(w, listed);
    if (!listed && w.busy > 0)
      SetSilent(w, true);  // gone: its slots do not count towards the limit
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_MEMBERSHIP_H_
