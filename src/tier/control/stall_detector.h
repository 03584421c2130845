// Notices that this process stood still: its machine was frozen or starved, so that a timer fired
// late. What it receives afterwards may have waited in its sockets for as long, and whoever sent it
// has given it up; it must not come into force. Owned by the membership driver, whose timer is the
// one that is watched. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_STALL_DETECTOR_H_
#define PEARREACH_SRC_TIER_CONTROL_STALL_DETECTOR_H_

#include "tier/control/time_source.h"

namespace pearreach::control {

class StallDetector {
 public:
  // `tolerance`: microseconds by which a timer may fire late, as on a busy machine or one whose
  // share of a core is used up for the rest of a period.
  StallDetector(const TimeSource* time, Micros tolerance) : time_(time), tolerance_(tolerance) {}

  // The watched timer is set for `due` now; kNoTick: it is not set.
  void OnTimerSet(Micros due) { due_ = due; }
  void OnTimerFired() {
    if (IsOverdue()) late_until_ = time_->Now() + kReadSpan * tolerance_;
  }

  // Messages that are read now may have been received before a stall.
  bool MayReadLateMessages() const { return IsOverdue() || time_->Now() < late_until_; }

 private:
  // In which the process has read what its sockets held, in multiples of the tolerance.
  static constexpr Micros kReadSpan = 2;

  bool IsOverdue() const { return time_->Now() - due_ > tolerance_; }

  const TimeSource* const time_;
  const Micros tolerance_;
  Micros due_ = kNoTick;
  Micros late_until_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_STALL_DETECTOR_H_
