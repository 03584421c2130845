#include "tier/batch/quota_drain.h"

#include <algorithm>
#include <cmath>

namespace pearreach::batch {
namespace {

constexpr Micros kMemory = 1 * kSecond;  // of what became free
// A refused batch job that has not been asked for again within this comes no more.
constexpr Micros kRejectedMemory = 2 * kSecond;
constexpr Micros kMinWait = 200 * kMs;
constexpr Micros kMaxWait = 5 * kSecond;  // clients heed no more than a third of their time
constexpr Micros kUnknownWait = 500 * kMs;

double Seconds(Micros time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

double Faded(double value, Micros age) {
  return value * std::exp(-Seconds(age) / Seconds(kMemory));
}

}  // namespace

void QuotaDrain::RecordFreed(double tokens, Micros now) {
  freed_ = Faded(freed_, now - freed_at_) + tokens;
  freed_at_ = now;
}

void QuotaDrain::RecordRejected(const std::string& batch_job_id, double tokens, Micros now) {
  std::erase_if(rejected_,
                [now](const auto& entry) { return now - entry.second.second >= kRejectedMemory; });
  rejected_[batch_job_id] = {tokens, now};
}

double QuotaDrain::Rate(Micros now) const {
  return Faded(freed_, now - freed_at_) / Seconds(kMemory);
}

Micros QuotaDrain::Wait(const std::string& batch_job_id, double missing, Micros now) const {
  const double rate = Rate(now);
  if (rate < 1) return kUnknownWait;
  for (const auto& [other, rejected] : rejected_) {
    if (other != batch_job_id && now - rejected.second < kRejectedMemory) missing += rejected.first;
  }
  const auto wait = static_cast<Micros>(missing / rate * static_cast<double>(kSecond));
  return std::clamp(wait, kMinWait, kMaxWait);
}

}  // namespace pearreach::batch
