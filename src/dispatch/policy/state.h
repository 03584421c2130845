// State holds all data of a Dispatcher that outlives a call. Decisions are made in the files listed
// under `policy` in deploy/balancer.toml, not here. Every new member must be added to the list of
// fields in checkpoint.cpp, which does not compile without it.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_STATE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_STATE_H_

#include <array>
#include <cstdint>
#include <limits>
#include <vector>

#include "dispatch/policy/records.h"
#include "dispatch/policy/request_table.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

class State {
 protected:
  friend class Checkpoint;
  friend class Dispatcher;
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  Pool& PoolOf(const Worker& w) { return pools_[static_cast<std::size_t>(w.entry.kind)]; }
  const Pool& PoolOf(const Worker& w) const {
    return pools_[static_cast<std::size_t>(w.entry.kind)];
  }
  // Slowdown of the kind, or if `kind` is -1 of the fastest kind that has workers; 1 if none has.
  double FastestSlowdown(int kind) const {
    if (const Pool* p = ItemAt(pools_, kind)) return p->slowdown;
    constexpr double kNoSlowdown = std::numeric_limits<double>::infinity();
    double best = kNoSlowdown;
    for (const Pool& p : pools_)
      if (!p.members.empty()) best = std::min(best, p.slowdown);
    return best == kNoSlowdown ? 1.0 : best;
  }
  // Records which pools have a class whose jobs may be sent again.
  void RecordRepeats(const Settings& s) {
    for (const ClassSettings& c : s.classes)
      for (std::size_t k = 0; k < pools_.size(); ++k)
        if (c.effect != Effect::kOnce && (c.kind < 0 || c.kind == static_cast<int>(k)))
          pools_[k].allows_repeats = true;
  }
  // Removes an ended request once none of its attempts is in flight.
  void Forget(Request& r) {
    if (r.ended && r.in_flight == 0) table_.Remove(r);
  }

  std::uint64_t random_ = 0;
  Micros now_ = 0;
  RequestTable table_;
  std::vector<Worker> workers_;
  std::vector<Pool> pools_;
  std::vector<ClassState> classes_;
  std::vector<Queue> queues_;
  DueQueue due_;
  std::uint64_t workers_examined_ = 0, list_updates_ = 0;
  KeyLoad keys_;
  std::vector<TokenBucket> quota_;
  MeanInterval arrival_interval_;  // between arrivals of requests
  Micros subscribe_at_ = kNever, subscribe_wait_ = 0, next_check_ = kNever, timer_at_ = 0;
  std::array<Micros, 5> logged_{};  // time of the last log line of each kind
  double largest_weight_ = 0;
  int queued_ = 0, refused_ = 0;  // requests in queues; refusals since the last log line
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_STATE_H_
