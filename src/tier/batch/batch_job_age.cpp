#include "tier/batch/batch_job_age.h"

#include <algorithm>

namespace pearreach::batch {
namespace {

// Added to the spans that clients were promised: to be late by these costs nothing.
constexpr double kAbandonMarginMs = 5'000, kForgetMarginMs = 30'000, kShortMarginMs = 5'000;
constexpr double kUnlimitedMs = 24 * 3600 * 1000.0;  // of a route without `retain_s`

double AgeMs(const BatchJob& batch_job, Micros now) {
  return batch_job.known_since.has_value() ? static_cast<double>(now - *batch_job.known_since) / kMs
                                           : 0;
}

}  // namespace

bool MayAbandon(const BatchJob& batch_job, Micros now) {
  return batch_job.accepted && batch_job.Open() && batch_job.header.retain_s > 0 &&
         RunLeftMs(batch_job, now) <= 0;
}

bool MayForget(const BatchJob& batch_job, Micros now, bool is_short) {
  const double kept_ms = std::max(batch_job.header.retain_s, batch_job.header.status_s) * 1000;
  return batch_job.accepted && !batch_job.Open() &&
         AgeMs(batch_job, now) > kept_ms + (is_short ? kShortMarginMs : kForgetMarginMs);
}

double RunLeftMs(const BatchJob& batch_job, Micros now) {
  if (batch_job.header.retain_s <= 0) return kUnlimitedMs;
  return std::max(0.0, batch_job.header.retain_s * 1000 + kAbandonMarginMs - AgeMs(batch_job, now));
}

}  // namespace pearreach::batch
