// The steady clock in microseconds: one clock for all processes of a machine.
#ifndef PEARREACH_LAB_SOAK_CLOCK_H_
#define PEARREACH_LAB_SOAK_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <thread>

namespace pearreach::soak {

using Microseconds = std::int64_t;
constexpr Microseconds kMillisecond = 1000;
constexpr Microseconds kSecond = 1000 * kMillisecond;

inline Microseconds Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline void SleepFor(Microseconds time) {
  std::this_thread::sleep_for(std::chrono::microseconds(time));
}

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CLOCK_H_
