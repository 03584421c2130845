#include "tier/proxy/response_timeout.h"

#include <algorithm>
#include <functional>

namespace pearreach::proxy {
namespace {

constexpr std::size_t kFewAnswers = 16;  // fewer tell nothing of the slow ones
constexpr std::size_t kOutliers = 1;     // of the remembered answers, as slow as they like
constexpr double kMargin = 1.5;          // over the slowest usual answer
// Repeats that a send earns, and how many may be saved up: one worker in five that is silent is
// borne in full, a service that is slow as a whole gets a fifth more to do at most.
constexpr double kRepeatsEach = 0.2;
constexpr double kMaxRepeats = 10;
// Where too few answers are known.
constexpr Micros kUnknownLimit = 1500 * kMs;
constexpr double kUnknownTargets = 5;

Micros Times(double factor, Micros time) {
  return static_cast<Micros>(factor * static_cast<double>(time));
}

}  // namespace

void ResponseTimeout::RecordLatency(Micros latency) {
  answers_[count_ % kAnswers] = latency;
  ++count_;
}

void ResponseTimeout::RecordSend() { budget_ = std::min(budget_ + kRepeatsEach, kMaxRepeats); }

bool ResponseTimeout::TakeRetry() {
  if (budget_ < 1) return false;
  budget_ -= 1;
  return true;
}

Micros ResponseTimeout::Slowest() const {
  std::array<Micros, kAnswers> sorted = answers_;
  const auto known = static_cast<std::ptrdiff_t>(std::min(count_, kAnswers));
  const auto end = sorted.begin() + known;
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(kOutliers);
  std::nth_element(sorted.begin(), at, end, std::greater<>());
  return *at;
}

Micros ResponseTimeout::Limit(Micros target, Micros left) const {
  const Micros usual = count_ < kFewAnswers
                           ? std::max(kUnknownLimit, Times(kUnknownTargets, target))
                           : std::max(Times(kMargin, Slowest()), target / 2);
  return std::min(usual, left / 2);
}

}  // namespace pearreach::proxy
