#include "common/event_loop/timers.h"

namespace pearreach {

Timers::Timers() : alarm_([this] { Fire(); }) {}

Timers::Id Timers::After(Micros delay, std::function<void()> callback) {
  const Id id = ++last_;
  const Micros at = Now() + (delay > 0 ? delay : 0);
  due_.emplace(std::pair(at, id), std::move(callback));
  at_.emplace(id, at);
  Arm();
  return id;
}

void Timers::Cancel(Id* id) {
  const auto found = at_.find(*id);
  if (found != at_.end()) {
    due_.erase({found->second, found->first});
    at_.erase(found);
  }
  *id = 0;
}

void Timers::Fire() {
  armed_ = 0;
  const Micros now = Now();
  while (!due_.empty() && due_.begin()->first.first <= now) {
    const auto first = due_.begin();
    const std::function<void()> callback = std::move(first->second);
    at_.erase(first->first.second);
    due_.erase(first);
    callback();
  }
  Arm();
}

void Timers::Arm() {
  if (due_.empty()) return;
  const Micros first = due_.begin()->first.first;
  if (armed_ != 0 && armed_ <= first) return;
  armed_ = first;
  alarm_.Set(first);
}

}  // namespace pearreach
