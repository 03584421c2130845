// Virtual time for tests: events in their order and a source of chance, both from a seed.
#ifndef PEARREACH_TESTS_TIER_BATCH_VIRTUAL_TIME_H_
#define PEARREACH_TESTS_TIER_BATCH_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

class VirtualTime {
 public:
  VirtualTime(std::uint64_t seed, Micros start) : random(seed), now(start) {}

  void At(Micros delay, std::function<void()> callback) {
    events_.emplace(std::make_pair(now + delay, ++last_), std::move(callback));
  }
  void RunUntil(Micros end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto node = events_.extract(events_.begin());
      now = std::max(now, node.key().first);
      node.mapped()();
    }
    now = std::max(now, end);
  }
  Micros Between(Micros low, Micros high) {
    return std::uniform_int_distribution<Micros>(low, high)(random);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  std::mt19937_64 random;
  Micros now;

 private:
  std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t last_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_TESTS_TIER_BATCH_VIRTUAL_TIME_H_
