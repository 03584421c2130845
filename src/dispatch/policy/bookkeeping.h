// What the layers of the policy share: the settings, the actions of the call in hand, and the
// upkeep of the records. Nothing is decided here.
//
// The policy is one class in layers, a file each. A layer derives from the one below it and calls
// only what is below: Bookkeeping, JobValue, RetryRules, SlotLimit, WorkerHealth,
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
constexpr Micros kLogEvery = 1000 * kMs;  // no log line of one kind sooner than this
constexpr int kQueuesPerClass = 2;        // in share or over it

class Bookkeeping : public State {
 public:
  void Observe(Observer* observer) { observer_ = observer; }

 protected:
  // To be called once, first: makes the records that the settings call for.
  void Configure(const Settings& settings, std::uint64_t seed, Micros now) {
    s_ = settings;
    random_ = seed;
    now_ = now;
    logged_.fill(-kLogEvery);
    pools_.resize(s_.kinds);
    classes_.resize(s_.classes.size());
    for (std::size_t c = 0; c < classes_.size(); ++c)
      classes_[c].work = static_cast<double>(std::max<Micros>(s_.classes[c].latency_target, kMs));
    queues_.resize(kQueuesPerClass * classes_.size());
    for (Pool& p : pools_) p.ran = p.worked = classes_[0].work;
    NoteRepeats(s_);
  }

  void Act(const Action& action) { actions_->push_back(action); }

  // False if a line of this kind was written within kLogEvery; then none is.
  bool Log(LogLine line) {
    Micros& last = logged_[static_cast<int>(line.kind)];
    if (now_ - last < kLogEvery) return false;
    last = now_;
    Act(line);
    return true;
  }

  // Tells the observer what became of one look for a worker.
  void Tell(const Request& r, const WorkerId* chosen, bool room,
            const std::vector<Candidate>& sampled) {
    Choice choice{r.id, {}, room, 0, 0, sampled};
    if (chosen != nullptr) {
      const Pool& p = PoolOf(workers_[*chosen]);
      choice.chosen = *chosen;
      choice.busy = p.busy;
      choice.limit = p.limit;
    }
    observer_->OnChoice(choice);
  }

  void CheckWithin(Micros wait) { next_check_ = std::min(next_check_, now_ + wait); }

  WorkerId IdOf(const Worker& w) const { return static_cast<WorkerId>(&w - workers_.data()); }

  Worker& WorkerAt(WorkerId id) {
    if (id >= workers_.size()) workers_.resize(id + 1);
    return workers_[id];
  }

  // A connection to it is open that no attempt uses.
  bool Connected(const Worker& w) const {
    return w.idle > 0 && now_ < w.idle_since + s_.connection_idle;
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
    r.held = true;
    ++held_;
    due_.push({due, table_.RefOf(r)});
    queues_[kQueuesPerClass * r.cls + (r.over_share ? 1 : 0)].Push(table_.RefOf(r), table_);
  }

  void Dequeue(Request& r) {
    if (!r.held) return;
    r.held = false;
    --held_;
  }

  // An attempt is out at a worker.
  void OpenAttempt(Request& r, WorkerId id, Micros sent) {
    Worker& w = workers_[id];
    Pool& pool = PoolOf(w);
    Attempt a;
    a.worker = id;
    a.sent = sent;
    r.asked_at = 0;
    a.zone = w.entry.zone;
    a.cell = w.entry.cell;
    if (!s_.reports_start) a.started = now_;
    r.attempts.push_back(a);
    ++r.out;
    w.busy += r.slots;
    w.idle = Connected(w) ? w.idle - 1 : 0;
    if (!w.silent) pool.busy += r.slots;
    if (a.started < 0) ++w.waiting;
    w.out.emplace_back(table_.RefOf(r), static_cast<int>(r.attempts.size()) - 1);
    SetUsed(pool.used, w, id, true);
  }

  void MarkStarted(const Request& r, Attempt& a) {
    Worker& w = workers_[a.worker];
    if (!a.written_off) --w.waiting;
    a.started = now_;
    w.running += r.slots;
    PoolOf(w).slots_seen = std::max(PoolOf(w).slots_seen, w.running);
  }

  // It is out no more; its slots are free.
  void CloseAttempt(Request& r, Attempt& a, int number, Ran ran) {
    Worker& w = workers_[a.worker];
    if (a.started < 0 && !a.written_off) --w.waiting;
    if (a.started >= 0 && s_.reports_start) w.running -= r.slots;
    w.busy -= r.slots;
    ++w.idle;
    w.idle_since = now_;
    if (!w.silent) PoolOf(w).busy -= r.slots;
    PoolOf(w).shut_until = 0;
    w.Remove(table_.RefOf(r), number);
    --r.out;
    a.ran = ran;
  }

  // Puts a worker in or takes it out of its pool's members, which stay in their order: a change of
  // the list costs what has changed, not the fleet.
  void SetMembership(Worker& w, bool known) {
    Pool& p = PoolOf(w);
    const bool member = known && w.entry.health == Health::kInService;
    if (member != w.member) {
      p.changed = true;
      SetMember(p.members, {w.entry.identity, IdOf(w)}, member);
      if (w.entry.zone == s_.zone) SetMember(p.local, {w.entry.identity, IdOf(w)}, member);
    }
    w.known = known;
    w.member = member;
    p.shut_until = 0;
    if (member) largest_weight_ = std::max(largest_weight_, w.entry.weight);
  }

  // Splits a pool's workers, side by side, evenly over the nodes: this node's part of each.
  void ShareMembers(Pool& p) {
    for (const Member& m : p.home) workers_[m.id].part = 0;
    p.home.clear();
    for (const auto& [at, part] : EvenPart(p.members.size(), s_.balancers, s_.self)) {
      workers_[p.members[at].id].part = part;
      p.home.push_back(p.members[at]);
    }
  }

  // Forgets as used the workers without attempts or open connections of this node.
  void DropUnused(Pool& p) {
    std::erase_if(p.used, [&](const Member& m) {
      Worker& w = workers_[m.id];
      return !(w.used = !w.out.empty() || Connected(w));
    });
  }

  // Asks to be called at the next check or the next moment of a held job, the sooner of the two.
  void ArmTimer(Micros check_period) {
    while (!due_.empty() && !table_.IsHeld(due_.top().ref)) due_.pop();
    if (next_check_ <= now_) next_check_ = kNever;
    if (table_.size() > 0) CheckWithin(check_period);
    if (subscribe_at_ < kNever) next_check_ = std::min(next_check_, std::max(subscribe_at_, now_));
    const Micros next = due_.empty() ? next_check_ : std::min(next_check_, due_.top().at);
    if (next == kNever || (armed_ > now_ && armed_ <= next)) return;
    armed_ = std::max(next, now_ + 1);
    Act(SetTimer{armed_});
  }

  Settings s_;
  Observer* observer_ = nullptr;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_BOOKKEEPING_H_
