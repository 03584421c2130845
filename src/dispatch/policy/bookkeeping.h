// Base of the policy layers: the settings, the actions of the current call, and the updates that
// keep the records consistent. No decision is made here.
//
// The policy is one class in layers, one file per layer. A layer derives from the one below and
// calls only lower layers: Bookkeeping, JobValue, RetryRules, SlotLimit, WorkerHealth,
// WorkerMembership, WorkerChoice, RequestQueue, Attempts and, in policy.cpp, Dispatcher::Impl.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_BOOKKEEPING_H_
#define PEARREACH_SRC_DISPATCH_POLICY_BOOKKEEPING_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/policy/state.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

constexpr Micros kMs = 1000;
constexpr Micros kLogInterval = 1000 * kMs;  // shortest time between two log lines of one kind
constexpr int kQueuesPerClass = 2;           // within the tenant's quota, and beyond it

class Bookkeeping : public State {
 public:
  void Observe(Observer* observer) { observer_ = observer; }

 protected:
  // Creates the records that the settings require. Called once, before anything else.
  void Configure(const Settings& settings, std::uint64_t seed, Micros now) {
    s_ = settings;
    random_ = seed;
    now_ = now;
    logged_.fill(-kLogInterval);
    pools_.resize(s_.kinds);
    classes_.resize(s_.classes.size());
    for (std::size_t c = 0; c < classes_.size(); ++c)
      classes_[c].work = static_cast<double>(std::max<Micros>(s_.classes[c].latency_target, kMs));
    queues_.resize(kQueuesPerClass * classes_.size());
    for (Pool& p : pools_) p.mean_running = p.mean_work = classes_[0].work;
    RecordRepeats(s_);
  }

  void Emit(const Action& action) { actions_->push_back(action); }

  // Returns false, without logging, if a line of this kind was logged within kLogInterval.
  bool Log(LogLine line) {
    Micros& last = logged_[static_cast<int>(line.kind)];
    if (now_ - last < kLogInterval) return false;
    last = now_;
    Emit(line);
    return true;
  }

  // Reports the result of one search for a worker to the observer.
  void NotifyObserver(const Request& r, const WorkerId* chosen, bool pool_has_capacity,
                      const std::vector<Candidate>& sampled) {
    Choice choice{r.id, {}, pool_has_capacity, 0, 0, sampled};
    if (chosen != nullptr) {
      const Pool& p = PoolOf(workers_[*chosen]);
      choice.chosen = *chosen;
      choice.busy = p.busy;
      choice.limit = p.limit;
    }
    observer_->OnChoice(choice);
  }

  // Makes the next check due after `wait` at the latest.
  void CheckWithin(Micros wait) { next_check_ = std::min(next_check_, now_ + wait); }

  WorkerId IdOf(const Worker& w) const { return static_cast<WorkerId>(&w - workers_.data()); }

  // Returns the record of the worker and creates it if necessary.
  Worker& WorkerAt(WorkerId id) {
    if (id >= workers_.size()) workers_.resize(id + 1);
    return workers_[id];
  }

  // Whether an idle connection to the worker is open.
  bool HasIdleConnection(const Worker& w) const {
    return w.idle_connections > 0 && now_ < w.idle_since + s_.connection_idle;
  }

  Request& AddRequest(const RequestArrived& e) {
    Request& r = table_.Add(e.request);
    r.cls = e.cls;
    r.slots = std::max(e.slots, 1.0);
    r.arrived = now_;
    r.due = e.due;
    r.hint = e.hint;
    r.key = e.key;
    r.preferred = e.preferred;
    return r;
  }

  void Enqueue(Request& r, Micros due) {
    r.queued = true;
    ++queued_;
    due_.push({due, table_.RefOf(r)});
    queues_[kQueuesPerClass * r.cls + (r.over_quota ? 1 : 0)].Push(table_.RefOf(r), table_);
  }

  void Dequeue(Request& r) {
    if (!r.queued) return;
    r.queued = false;
    --queued_;
  }

  // Records a new attempt in flight at a worker.
  void OpenAttempt(Request& r, WorkerId id, Micros sent) {
    Worker& w = workers_[id];
    Pool& pool = PoolOf(w);
    Attempt a;
    a.worker = id;
    a.sent = sent;
    r.probes_sent_at = 0;
    a.zone = w.entry.zone;
    a.cell = w.entry.cell;
    if (!s_.reports_start) a.started = now_;
    r.attempts.push_back(a);
    ++r.in_flight;
    w.busy += r.slots;
    w.idle_connections = HasIdleConnection(w) ? w.idle_connections - 1 : 0;
    if (!w.silent) pool.busy += r.slots;
    if (a.started < 0) ++w.unstarted;
    w.in_flight.emplace_back(table_.RefOf(r), static_cast<int>(r.attempts.size()) - 1);
    SetUsed(pool.used, w, id, true);
  }

  // Records the reported start of an attempt.
  void MarkStarted(const Request& r, Attempt& a) {
    Worker& w = workers_[a.worker];
    if (!a.written_off) --w.unstarted;
    a.started = now_;
    w.running_slots += r.slots;
    PoolOf(w).slots_seen = std::max(PoolOf(w).slots_seen, w.running_slots);
  }

  // Records that an attempt is no longer in flight and frees its slots.
  void CloseAttempt(Request& r, Attempt& a, int number, Execution execution) {
    Worker& w = workers_[a.worker];
    if (a.started < 0 && !a.written_off) --w.unstarted;
    if (a.started >= 0 && s_.reports_start) w.running_slots -= r.slots;
    w.busy -= r.slots;
    ++w.idle_connections;
    w.idle_since = now_;
    if (!w.silent) PoolOf(w).busy -= r.slots;
    PoolOf(w).no_capacity_until = 0;
    w.RemoveAttempt(table_.RefOf(r), number);
    --r.in_flight;
    a.execution = execution;
  }

  // Adds a worker to its pool's members or removes it, keeping the members sorted, so that the cost
  // of a list update depends on the number of changes and not on the size of the fleet.
  void SetMembership(Worker& w, bool listed) {
    Pool& p = PoolOf(w);
    const bool member = listed && w.entry.health == Health::kInService;
    if (member != w.member) {
      p.members_changed = true;
      SetMember(p.members, {w.entry.identity, IdOf(w)}, member);
      if (w.entry.zone == s_.zone) SetMember(p.local, {w.entry.identity, IdOf(w)}, member);
    }
    w.listed = listed;
    w.member = member;
    p.no_capacity_until = 0;
    if (member) largest_weight_ = std::max(largest_weight_, w.entry.weight);
  }

  // Splits the workers of a pool evenly over the nodes, in member order, and records this node's
  // share of each.
  void ShareMembers(Pool& p) {
    for (const Member& m : p.assigned) workers_[m.id].own_share = 0;
    p.assigned.clear();
    for (const auto& [at, share] : EvenShares(p.members.size(), s_.balancers, s_.self)) {
      workers_[p.members[at].id].own_share = share;
      p.assigned.push_back(p.members[at]);
    }
  }

  // Removes the workers without attempts or open connections of this node from Pool::used.
  void DropUnused(Pool& p) {
    std::erase_if(p.used, [&](const Member& m) {
      Worker& w = workers_[m.id];
      return !(w.used = !w.in_flight.empty() || HasIdleConnection(w));
    });
  }

  // Requests a timer for the next check or the next due time of a queued job, whichever is earlier.
  void ArmTimer(Micros check_period) {
    while (!due_.empty() && !table_.IsQueued(due_.top().ref)) due_.pop();
    if (next_check_ <= now_) next_check_ = kNever;
    if (table_.size() > 0) CheckWithin(check_period);
    if (subscribe_at_ < kNever) next_check_ = std::min(next_check_, std::max(subscribe_at_, now_));
    const Micros next = due_.empty() ? next_check_ : std::min(next_check_, due_.top().at);
    if (next == kNever || (timer_at_ > now_ && timer_at_ <= next)) return;
    timer_at_ = std::max(next, now_ + 1);
    Emit(SetTimer{timer_at_});
  }

  Settings s_;
  Observer* observer_ = nullptr;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_BOOKKEEPING_H_
