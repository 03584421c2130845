#include "tier/proxy/attempt_timeout.h"

#include <algorithm>

namespace pearreach::proxy {
namespace {

constexpr Micros kMinStreamTimeout = kSecond;
constexpr double kStreamTimeoutGaps = 4;  // clients give up after eight gaps at the earliest
constexpr double kFirstEventTimeoutTargets = 2;
constexpr Micros kMinPlainTimeout = 1500 * kMs;
constexpr double kPlainTimeoutTargets = 5;

Micros FromMs(double ms) { return static_cast<Micros>(ms * static_cast<double>(kMs)); }

}  // namespace

Micros PlainResponseTimeout(const RequestSpec& spec, Micros time_left,
                            const ResponseTimeout* learned) {
  if (learned != nullptr) return learned->Timeout(FromMs(spec.target_ms), time_left);
  return std::max(kMinPlainTimeout, FromMs(kPlainTimeoutTargets * spec.target_ms));
}

Micros NextEventTimeout(const RequestSpec& spec, bool has_events) {
  const Micros between =
      std::max(kMinStreamTimeout, FromMs(kStreamTimeoutGaps * spec.gap_target_ms));
  if (has_events) return between;
  return std::max(between, FromMs(kFirstEventTimeoutTargets * spec.target_ms));
}

}  // namespace pearreach::proxy
