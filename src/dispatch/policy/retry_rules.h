// The rules for sends and retries: whether a request may be sent now, to which workers, and whether
// it may be refused, which promises the client that nothing was executed.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_
#define PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_

#include "dispatch/policy/job_value.h"

namespace pearreach::dispatch {

constexpr Micros kAnswerMargin = 2 * kMs;  // final answers go out this long before the deadline

class RetryRules : public JobValue {
 protected:
  // Upholds the send and answer parts of all four rules: every send, refusal and failure must be
  // permitted here.
  Permit PermitFor(const Request& r) const {
    Permit p;
    if (r.ended) return p;
    const ClassSettings& c = s_.classes[r.cls];
    const Attempt* may_have_run = nullptr;  // the earliest attempt that may have run
    for (const Attempt& a : r.attempts)
      if (a.execution != Execution::kNeverRan && may_have_run == nullptr) may_have_run = &a;
    p.refuse = may_have_run == nullptr || c.effect == Effect::kRepeatable ||
               (c.effect == Effect::kByKey && c.key_scope == KeyScope::kAll);
    p.send = now_ < r.due - kAnswerMargin &&
             static_cast<int>(r.attempts.size()) < s_.max_attempts &&
             (r.in_flight == 0 || s_.may_duplicate);
    if (may_have_run == nullptr || c.effect == Effect::kRepeatable) return p;
    p.key_scope_of = may_have_run;
    p.send = p.send && c.effect == Effect::kByKey && now_ < may_have_run->sent + c.key_window;
    return p;
  }

  // Whether the worker discards repeats of the attempt that the permit is bound to.
  bool InKeyScope(const Request& r, const Permit& p, const Worker& w) const {
    const KeyScope scope = s_.classes[r.cls].key_scope;
    if (p.key_scope_of == nullptr || scope == KeyScope::kAll) return true;
    return w.entry.zone == p.key_scope_of->zone &&
           (scope == KeyScope::kZone || w.entry.cell == p.key_scope_of->cell);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_
