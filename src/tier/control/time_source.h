// Time as the control node sees it: the steady clock and one-shot timers, behind an interface so
// that tests run it in virtual time.
#ifndef PEARREACH_SRC_TIER_CONTROL_TIME_SOURCE_H_
#define PEARREACH_SRC_TIER_CONTROL_TIME_SOURCE_H_

#include <functional>
#include <limits>
#include <memory>

#include "common/event_loop/timers.h"

namespace pearreach::control {

class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual Micros Now() const = 0;
  virtual Timers::Id After(Micros delay, std::function<void()> callback) = 0;
  virtual void Cancel(Timers::Id* id) = 0;  // does nothing for 0; sets *id to 0
};

// Ticks from then on never come: what the coordination machines name when there is none.
inline constexpr Micros kNoTick = std::numeric_limits<Micros>::max() / 4;

// The process's own clock and timers.
std::unique_ptr<TimeSource> TimeSourceOf(Timers* timers);

// Drops calls that come back after their owner is gone.
class CallbackOwner {
 public:
  template <class Callback>
  auto Bind(Callback callback) const {
    return [owner = std::weak_ptr<char>(token_),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (!owner.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<char> token_ = std::make_shared<char>();
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_TIME_SOURCE_H_
