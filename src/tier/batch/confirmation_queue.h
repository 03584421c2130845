// Callers that wait until the replicas of a partition have confirmed its table.
#ifndef PEARREACH_SRC_TIER_BATCH_CONFIRMATION_QUEUE_H_
#define PEARREACH_SRC_TIER_BATCH_CONFIRMATION_QUEUE_H_

#include <functional>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

struct Confirmation {
  Micros since = 0;           // a response to a message that was sent then or later counts
  Micros deadline = 0;        // after it, `done` is called with what is known
  bool all_required = false;  // also by joiners that changes wait for
  std::function<void(bool is_confirmed)> done;
};

// Owned by PartitionReplica, which owns the timer and calls the callbacks. Not thread-safe.
class ConfirmationQueue {
 public:
  bool empty() const { return waiting_.empty(); }
  void Add(Confirmation confirmation) { waiting_.push_back(std::move(confirmation)); }
  // REQUIRES: !empty()
  Micros NextDeadline() const;
  // Removes and returns those that `is_confirmed` or whose deadline has passed, in their order.
  std::vector<Confirmation> RemoveFinished(
      Micros now, const std::function<bool(const Confirmation&)>& is_confirmed);
  std::vector<Confirmation> RemoveAll();

 private:
  std::vector<Confirmation> waiting_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_CONFIRMATION_QUEUE_H_
