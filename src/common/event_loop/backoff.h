// The waits of a caller whose calls fail: each may be twice as long as the one before, up to a
// bound, and is drawn from the upper half of that, so that callers who failed in one moment do not
// come again in one moment. Deterministic for a seed; it must never read a clock or call anything.
#ifndef PEARREACH_SRC_COMMON_EVENT_LOOP_BACKOFF_H_
#define PEARREACH_SRC_COMMON_EVENT_LOOP_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "pearreach/dispatcher.h"

namespace pearreach {

class Backoff {
 public:
  using Micros = dispatch::Micros;

  Backoff(Micros first, Micros last, std::uint64_t seed)
      : first_(first), last_(std::max(first, last)), random_(seed) {}

  // The wait before the next call, after one more failure. `least`: a failure that says more than
  // others, as that the other side has too much to do, waits as if several had gone before.
  Micros Next(Micros least = 0) {
    wait_ = std::clamp(std::max(2 * wait_, least), first_, last_);
    return wait_ / 2 + Spread(wait_ / 2);
  }
  // A moment between now and `most` from now, for what all begin at once.
  Micros Spread(Micros most) {
    return static_cast<Micros>(random_() % static_cast<std::uint64_t>(most + 1));
  }
  void Succeed() { wait_ = 0; }
  bool failing() const { return wait_ > 0; }

 private:
  Micros first_, last_, wait_ = 0;
  std::mt19937_64 random_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_COMMON_EVENT_LOOP_BACKOFF_H_
