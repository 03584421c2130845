// State holds all of a Dispatcher that outlives a call. No decision is made here: the files under
// `policy` in deploy/balancer.toml hold them. What is added here must be added to its list of
// fields in checkpoint.cpp, which does not compile without.
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
  // Of the kind, or of the fastest one that has workers; 1 where none has.
  double FastestSlowdown(int kind) const {
    if (const Pool* p = Numbered(pools_, kind)) return p->slowdown;
    constexpr double kNoSlowdown = std::numeric_limits<double>::infinity();
    double best = kNoSlowdown;
    for (const Pool& p : pools_)
      if (!p.members.empty()) best = std::min(best, p.slowdown);
    return best == kNoSlowdown ? 1.0 : best;
  }
  // Which pools have a class whose jobs may be sent again.
  void NoteRepeats(const Settings& s) {
    for (const ClassSettings& c : s.classes)
      for (std::size_t k = 0; k < pools_.size(); ++k)
        if (c.effect != Effect::kOnce && (c.kind < 0 || c.kind == static_cast<int>(k)))
          pools_[k].repeats = true;
  }
  // Frees an ended request once no attempt of it is out.
  void Forget(Request& r) {
    if (r.ended && r.out == 0) table_.Remove(r);
  }

  std::uint64_t random_ = 0;
  Micros now_ = 0;
  RequestTable table_;
  std::vector<Worker> workers_;
  std::vector<Pool> pools_;
  std::vector<ClassState> classes_;
  std::vector<Queue> queues_;
  DueQueue due_;
  std::uint64_t looks_ = 0, lists_ = 0;  // workers looked at, words of the list
  KeySums keys_;
  std::vector<Bucket> quota_;
  MeanGap gap_;  // between arrivals
  Micros subscribe_at_ = kNever, subscribe_wait_ = 0, next_check_ = kNever, armed_ = 0;
  std::array<Micros, 5> logged_{};  // the last line of each kind
  double largest_weight_ = 0;
  int held_ = 0, refused_ = 0;
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_STATE_H_
