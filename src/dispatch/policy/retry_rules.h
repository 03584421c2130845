// The rules of sends and retries: whether a request may be sent now, to which workers, and whether
// it may be refused with the promise that nothing ran.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_
#define PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_

#include "dispatch/policy/job_value.h"

namespace pearreach::dispatch {

constexpr Micros kAnswerMargin = 2 * kMs;  // final answers go out this long before the deadline

class RetryRules : public JobValue {
 protected:
  // Guards all four rules' send and answer parts: whoever sends, refuses or fails asks here alone.
  Permit PermitFor(const Request& r) const {
    Permit p;
    if (r.ended) return p;
    const ClassSettings& c = s_.classes[r.cls];
    const Attempt* risky = nullptr;  // the earliest attempt that may have run
    for (const Attempt& a : r.attempts)
      if (a.ran != Ran::kNo && risky == nullptr) risky = &a;
    p.refuse = risky == nullptr || c.effect == Effect::kRepeatable ||
               (c.effect == Effect::kByKey && c.key_scope == KeyScope::kAll);
    p.send = now_ < r.due - kAnswerMargin &&
             static_cast<int>(r.attempts.size()) < s_.max_attempts &&
             (r.out == 0 || s_.may_duplicate);
    if (risky == nullptr || c.effect == Effect::kRepeatable) return p;
    p.group = risky;
    p.send = p.send && c.effect == Effect::kByKey && now_ < risky->sent + c.key_window;
    return p;
  }

  bool InGroup(const Request& r, const Permit& p, const Worker& w) const {
    const KeyScope scope = s_.classes[r.cls].key_scope;
    if (p.group == nullptr || scope == KeyScope::kAll) return true;
    return w.entry.zone == p.group->zone &&
           (scope == KeyScope::kZone || w.entry.cell == p.group->cell);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_RETRY_RULES_H_
