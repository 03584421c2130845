// The single timer of a state machine that names the time of its next tick. It is set again
// whenever that time is earlier than the one it is set for. Owned by the driver of the state
// machine. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_DEADLINE_TIMER_H_
#define PEARREACH_SRC_TIER_CONTROL_DEADLINE_TIMER_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "tier/control/time_source.h"

namespace pearreach::control {

class DeadlineTimer {
 public:
  // `wake` is called once for each time that is reached; it sets the next one.
  DeadlineTimer(TimeSource* time, std::function<void()> callback)
      : time_(time), callback_(std::move(callback)) {}
  ~DeadlineTimer() { Stop(); }
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // `next`: on the time source's clock; kNoTick and later: never.
  void Set(Micros next) {
    if (timer_ != 0 && set_for_ <= next) return;
    time_->Cancel(&timer_);
    if (next >= kNoTick) return;
    set_for_ = next;
    timer_ = time_->After(std::max<Micros>(next - time_->Now(), 0), [this] {
      timer_ = 0;
      callback_();
    });
  }
  void Stop() { time_->Cancel(&timer_); }
  // When it fires; kNoTick: it is not set.
  Micros due() const { return timer_ == 0 ? kNoTick : set_for_; }

 private:
  TimeSource* time_;
  const std::function<void()> callback_;
  Timers::Id timer_ = 0;
  Micros set_for_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_DEADLINE_TIMER_H_
