// One-shot timers on the default main loop. All timers of a process share a single alarm, so that a
// turn of the loop costs the same however many are set. Single-threaded.
#ifndef PEARREACH_SRC_COMMON_EVENT_LOOP_TIMERS_H_
#define PEARREACH_SRC_COMMON_EVENT_LOOP_TIMERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "common/event_loop/io.h"

namespace pearreach {

class Timers {
 public:
  using Id = std::uint64_t;  // 0 is never a timer

  Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  // Calls `callback` once, `delay` microseconds from now or soon after.
  Id After(Micros delay, std::function<void()> callback);
  // Does nothing for 0, a timer that has fired or one that was cancelled. Sets *id to 0.
  void Cancel(Id* id);
  std::size_t pending() const { return due_.size(); }

 private:
  void Fire();
  void Arm();

  std::map<std::pair<Micros, Id>, std::function<void()>> due_;
  std::map<Id, Micros> at_;
  Id last_ = 0;
  Micros armed_ = 0;  // when the alarm rings; 0: not set
  Alarm alarm_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_COMMON_EVENT_LOOP_TIMERS_H_
