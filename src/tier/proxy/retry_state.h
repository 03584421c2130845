// The sends of one request so far, and the rules for sending it to another worker. The rules are
// the table in docs/control-under-faults.md, point 5: a request that may have run is sent again
// only if it is idempotent, and a stream that has begun only if it is resumable. A plain value;
// owned by ActiveRequest.
#ifndef PEARREACH_SRC_TIER_PROXY_RETRY_STATE_H_
#define PEARREACH_SRC_TIER_PROXY_RETRY_STATE_H_

#include "common/event_loop/timers.h"
#include "tier/proxy/response_reader.h"

namespace pearreach::proxy {

// Minimum time to the deadline, in microseconds, for an attempt to be useful.
inline constexpr Micros kMinTimeLeft = 2 * kMs;

// Whether this response guarantees that the request has not run and never will.
bool GuaranteesNotRun(const ResponseHead& head);

class RetryState {
 public:
  // `attempts`: maximum number of workers on which the request may run.
  RetryState(int attempts, bool idempotent, bool resumable)
      : attempts_(attempts), idempotent_(idempotent), resumable_(resumable) {}

  void OnSend() { ++sends_; }
  // The last attempt has run, or may have run.
  void OnMayHaveRun() { ++runs_; }
  // The head of a stream has been forwarded to the client.
  void OnHeadForwarded() { head_forwarded_ = true; }
  // The chosen worker was removed before the send. False: the limit of such placements is exceeded.
  bool OnWorkerGone() { return ++workers_gone_ <= kMaxWorkersGone; }

  int sends() const { return sends_; }
  int runs() const { return runs_; }
  bool head_forwarded() const { return head_forwarded_; }

  // Whether to retry after an attempt that may have run. `time_left`: microseconds to the deadline.
  bool MayRetryAfterRun(Micros time_left) const;
  // Whether to retry after an attempt that is guaranteed not to have run.
  bool MayRetryAfterNotRun(Micros time_left) const;
  // Whether the attempt may be abandoned for another worker if the current one does not respond.
  bool MayLeaveWorker() const { return idempotent_ && runs_ + 1 < attempts_; }

 private:
  // Sends beyond `attempts`, for workers that did not run the request.
  static constexpr int kExtraSends = 4;
  static constexpr int kMaxWorkersGone = 16;  // placements on workers that had just been removed

  bool MaySend(Micros time_left) const {
    return sends_ < attempts_ + kExtraSends && time_left > kMinTimeLeft;
  }

  int attempts_;
  bool idempotent_, resumable_;
  int sends_ = 0;
  int runs_ = 0;  // attempts that may have run
  int workers_gone_ = 0;
  bool head_forwarded_ = false;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_RETRY_STATE_H_
