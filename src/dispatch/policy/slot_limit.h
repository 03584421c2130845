// The slot limit of a pool: how many slots this node may have in use there. Jobs served and jobs
// waiting raise it; refusals cut it.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_
#define PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_

#include <algorithm>
#include <utility>

#include "dispatch/policy/retry_rules.h"

namespace pearreach::dispatch {

constexpr double kGrowSlow = 0.25;     // limit gained by a success, per slot of the job
constexpr double kGrowFast = 1.0;      // the same after a spell without refusals
constexpr Micros kSpell = 2000 * kMs;  // length of that spell
constexpr int kRefusalRun = 3;         // consecutive refusals that cut the limit
constexpr double kCutMargin = 0.85;    // the cut goes to this share of the highest value found
constexpr double kCutPart = 1.2;       // and to no more than so many parts of all slots
constexpr double kBacklogRaise = 1.5;  // slots a worker gained, over all nodes, by a check with
constexpr double kSpellRaise = 0.05;   // jobs waiting; this share of it within the spell
constexpr double kAhead = 2.0;  // successes raise it to this times the value found: it must bind

class SlotLimit : public RetryRules {
 protected:
  // A start in time: what is in use works.
  void NoteWorks(Pool& p) {
    p.refusals = 0;
    p.found = std::max(p.found, p.busy);
  }

  void Grow(Pool& p, double slots) {
    NoteWorks(p);
    const double gain = slots * (InSpell(p) ? kGrowSlow : kGrowFast);
    p.limit = std::max(p.limit, std::min(p.limit + gain, kAhead * (p.found + slots)));
  }

  // FULL, a time-out or a late start. One burst sent before a cut makes one cut.
  void CountRefusal(Pool& p, Micros sent) {
    if (sent <= p.last_cut) return;
    p.last_refusal = now_;
    if (++p.refusals < kRefusalRun) return;
    p.refusals = 0;
    p.last_cut = now_;
    p.found = std::min(std::max(p.found, p.busy), p.limit);
    p.limit = kCutMargin * p.found;
    if (p.told) p.limit = std::min(p.limit, kCutPart * p.slots_seen * WorkersEach(p));
    p.found = p.limit = std::max({p.limit, WorkersEach(p), 1.0});
    Log({LogLine::Kind::kLimitCut, 0, static_cast<int>(&p - pools_.data()), p.limit});
  }

  // At each check: a pool under whose limit a job did not fit, while jobs wait.
  void RaiseForBacklog(Pool& p) {
    const double raise = InSpell(p) ? kSpellRaise * kBacklogRaise : kBacklogRaise;
    if (std::exchange(p.wanted, false) && held_ > 0)
      p.limit += raise * static_cast<double>(p.members.size()) / s_.balancers;
  }

 private:
  bool InSpell(const Pool& p) const { return now_ - p.last_refusal < kSpell; }
  double WorkersEach(const Pool& p) const {
    return static_cast<double>(p.members.size()) / s_.balancers;
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_
