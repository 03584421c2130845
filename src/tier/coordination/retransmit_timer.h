#ifndef PEARREACH_SRC_TIER_COORDINATION_RETRANSMIT_TIMER_H_
#define PEARREACH_SRC_TIER_COORDINATION_RETRANSMIT_TIMER_H_

#include "tier/coordination/chain.h"

namespace pearreach::coordination {

// When an unanswered message is retransmitted, at a fixed interval. There is no backoff: a repair
// takes a dozen messages one after another, and each that is lost would delay it for longer.
class RetransmitTimer {
 public:
  explicit RetransmitTimer(Micros interval) : interval_(interval) {}
  // The next call of Due returns true.
  void Restart() { at_ = 0; }
  // True: send now. The next time is set.
  bool Due(Micros now) {
    if (now < at_) return false;
    at_ = now + interval_;
    return true;
  }
  Micros at() const { return at_; }

 private:
  Micros interval_;
  Micros at_ = 0;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_RETRANSMIT_TIMER_H_
