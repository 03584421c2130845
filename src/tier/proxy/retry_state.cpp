#include "tier/proxy/retry_state.h"

namespace pearreach::proxy {

bool GuaranteesNotRun(const ResponseHead& head) {
  if (head.status == 421) return true;
  const bool may_guarantee_not_run = head.status == 503 || head.status == 429 || head.status == 400;
  return may_guarantee_not_run && head.Find("X-Not-Run") != nullptr;
}

bool RetryState::MayRetryAfterRun(Micros time_left) const {
  return idempotent_ && runs_ < attempts_ && (!head_forwarded_ || resumable_) && MaySend(time_left);
}

bool RetryState::MayRetryAfterNotRun(Micros time_left) const {
  if (runs_ > 0) return MayRetryAfterRun(time_left);
  return (!head_forwarded_ || resumable_) && MaySend(time_left);
}

}  // namespace pearreach::proxy
