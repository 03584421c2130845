#include "tier/proxy/response_timeout.h"

#include <algorithm>
#include <functional>

namespace pearreach::proxy {
namespace {

constexpr std::size_t kMinSamples = 16;      // fewer samples do not show the slow responses
constexpr std::size_t kIgnoredOutliers = 1;  // slowest samples that are ignored
constexpr double kTimeoutMargin = 1.5;       // factor on the slowest typical latency
// Retries that each send adds to the budget, and the maximum of the budget. With these values one
// unresponsive worker in five is fully covered, and a service that is slow as a whole gets at most
// a fifth more load.
constexpr double kRetriesPerSend = 0.2;
constexpr double kMaxRetryBudget = 10;
// Used until there are kMinSamples samples.
constexpr Micros kDefaultTimeout = 1500 * kMs;
constexpr double kDefaultTimeoutTargets = 5;

Micros Scale(double factor, Micros time) {
  return static_cast<Micros>(factor * static_cast<double>(time));
}

}  // namespace

void ResponseTimeout::RecordLatency(Micros latency) {
  latencies_[count_ % kMaxSamples] = latency;
  ++count_;
}

void ResponseTimeout::RecordSend() {
  retry_budget_ = std::min(retry_budget_ + kRetriesPerSend, kMaxRetryBudget);
}

bool ResponseTimeout::TakeRetry() {
  if (retry_budget_ < 1) return false;
  retry_budget_ -= 1;
  return true;
}

Micros ResponseTimeout::SlowestTypicalLatency() const {
  std::array<Micros, kMaxSamples> sorted = latencies_;
  const auto known = static_cast<std::ptrdiff_t>(std::min(count_, kMaxSamples));
  const auto end = sorted.begin() + known;
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(kIgnoredOutliers);
  std::nth_element(sorted.begin(), at, end, std::greater<>());
  return *at;
}

Micros ResponseTimeout::Timeout(Micros target, Micros time_left) const {
  const Micros usual = count_ < kMinSamples
                           ? std::max(kDefaultTimeout, Scale(kDefaultTimeoutTargets, target))
                           : std::max(Scale(kTimeoutMargin, SlowestTypicalLatency()), target / 2);
  return std::min(usual, time_left / 2);
}

}  // namespace pearreach::proxy
