// The concurrency limit of a pool: the number of slots that this node may use there. Completed jobs
// and queued jobs raise it, refusals cut it.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_
#define PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_

#include <algorithm>
#include <utility>

#include "dispatch/policy/retry_rules.h"

namespace pearreach::dispatch {

constexpr double kGrowSlow = 0.25;  // rise of the limit by a completed job, per slot of the job
constexpr double kGrowFast = 1.0;   // the same when the pool has not refused recently
constexpr Micros kRefusalMemory = 2000 * kMs;  // a refusal counts as recent for this time
constexpr int kRefusalsBeforeCut = 3;          // consecutive refusals that cut the limit
constexpr double kCutMargin = 0.85;  // a cut lowers the limit to this share of the proven one
// A cut lowers the limit to at most this multiple of this node's share of all slots.
constexpr double kMaxShareAfterCut = 1.2;
// Slots per worker, summed over all nodes, that one check with queued jobs adds to the limit, and
// the share of them that it adds after a recent refusal.
constexpr double kBacklogRaise = 1.5;
constexpr double kBacklogRaiseAfterRefusal = 0.05;
// Completed jobs raise the limit to at most this multiple of the proven one, so that the limit
// stays close enough to bind in a burst.
constexpr double kMaxLimitRatio = 2.0;

class SlotLimit : public RetryRules {
 protected:
  // Records that a job started in time with the slots in use now.
  void RecordUseThatWorked(Pool& p) {
    p.consecutive_refusals = 0;
    p.proven_limit = std::max(p.proven_limit, p.busy);
  }

  // Raises the limit after a completed job of `slots` slots.
  void Grow(Pool& p, double slots) {
    RecordUseThatWorked(p);
    const double gain = slots * (RefusedRecently(p) ? kGrowSlow : kGrowFast);
    p.limit =
        std::max(p.limit, std::min(p.limit + gain, kMaxLimitRatio * (p.proven_limit + slots)));
  }

  // Counts a refusal (Outcome::kFull), a timeout or a late start. Attempts sent before the last cut
  // are not counted, so one burst causes one cut.
  void CountRefusal(Pool& p, Micros sent) {
    if (sent <= p.last_cut) return;
    p.last_refusal = now_;
    if (++p.consecutive_refusals < kRefusalsBeforeCut) return;
    p.consecutive_refusals = 0;
    p.last_cut = now_;
    p.proven_limit = std::min(std::max(p.proven_limit, p.busy), p.limit);
    p.limit = kCutMargin * p.proven_limit;
    if (p.reports_free_slots)
      p.limit = std::min(p.limit, kMaxShareAfterCut * p.slots_seen * WorkersPerNode(p));
    p.proven_limit = p.limit = std::max({p.limit, WorkersPerNode(p), 1.0});
    Log({LogLine::Kind::kLimitCut, 0, static_cast<int>(&p - pools_.data()), p.limit});
  }

  // Called at each check: raises the limit of a pool that has kept a job waiting, while jobs are
  // queued.
  void RaiseForBacklog(Pool& p) {
    const double raise =
        RefusedRecently(p) ? kBacklogRaiseAfterRefusal * kBacklogRaise : kBacklogRaise;
    if (std::exchange(p.limit_reached, false) && queued_ > 0)
      p.limit += raise * static_cast<double>(p.members.size()) / s_.balancers;
  }

 private:
  bool RefusedRecently(const Pool& p) const { return now_ - p.last_refusal < kRefusalMemory; }
  double WorkersPerNode(const Pool& p) const {
    return static_cast<double>(p.members.size()) / s_.balancers;
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_SLOT_LIMIT_H_
