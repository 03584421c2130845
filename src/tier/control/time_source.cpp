#include "tier/control/time_source.h"

#include <utility>

namespace pearreach::control {
namespace {

class ProcessTime : public TimeSource {
 public:
  explicit ProcessTime(Timers* timers) : timers_(timers) {}
  Micros Now() const override { return pearreach::Now(); }
  Timers::Id After(Micros delay, std::function<void()> callback) override {
    return timers_->After(delay, std::move(callback));
  }
  void Cancel(Timers::Id* id) override { timers_->Cancel(id); }

 private:
  Timers* timers_;
};

}  // namespace

std::unique_ptr<TimeSource> TimeSourceOf(Timers* timers) {
  return std::make_unique<ProcessTime>(timers);
}

}  // namespace pearreach::control
