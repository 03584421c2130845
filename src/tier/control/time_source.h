// Time as the control node sees it: a monotonic clock and one-shot timers, behind an interface so
// that tests run it in virtual time. Loop thread only.
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
  // Microseconds of a monotonic clock.
  virtual Micros Now() const = 0;
  // Calls `callback` once, `delay` microseconds from now. The id is never 0.
  virtual Timers::Id After(Micros delay, std::function<void()> callback) = 0;
  virtual void Cancel(Timers::Id* id) = 0;  // ignores 0; sets *id to 0
};

// Times from here on mean never: what the state machines return if they need no tick.
inline constexpr Micros kNoTick = std::numeric_limits<Micros>::max() / 4;

// The process's own clock and timers.
std::unique_ptr<TimeSource> TimeSourceOf(Timers* timers);

// Binds callbacks to the lifetime of its owner: a callback that is called after the owner has been
// destroyed does nothing.
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
