// Limits what repair sends, over all partitions of a store: bytes per second and calls in flight,
// so that changes of clients find the links free.
#ifndef PEARREACH_SRC_TIER_BATCH_REPAIR_THROTTLE_H_
#define PEARREACH_SRC_TIER_BATCH_REPAIR_THROTTLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe: all calls and callbacks run on the event loop.
class RepairThrottle {
 public:
  // Kept while the call that was sent is in flight.
  using Slot = std::shared_ptr<void>;
  // Sends a chunk of a repair and returns its bytes; 0: there was nothing left to send.
  using Send = std::function<std::size_t(Slot)>;
  struct Environment {
    std::function<Micros()> now;
    std::function<void(Micros delay, std::function<void()>)> after;  // not once this has gone
  };

  explicit RepairThrottle(Environment environment) : environment_(std::move(environment)) {}

  void SetRate(double bytes_per_second) { rate_ = bytes_per_second; }
  // Calls `send` on a later turn, in its order. What a partition waits for before it may serve is
  // urgent: it goes first and does not wait for its turn, but counts.
  void Schedule(bool urgent, Send send);

 private:
  Slot NewSlot();
  void ScheduleRun(Micros delay);
  void RunNext();
  void LogSent(Micros now, std::size_t bytes);

  const Environment environment_;
  double rate_ = 1 << 20;
  std::deque<Send> urgent_, waiting_;
  int in_flight_ = 0;
  Micros free_at_ = 0;  // when the next part may go
  Micros run_at_ = 0;   // 0: nothing has been set
  Micros logged_at_ = 0;
  std::uint64_t sent_ = 0;  // since the last line of the log
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Bytes a second for repair: a quarter of the link, or as much more, up to three quarters, as it
// takes to send all that is on this disk within half of the time that a replica may be missing.
double RepairRate(double link_mbps, std::uint64_t used_bytes, double sync_s);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPAIR_THROTTLE_H_
