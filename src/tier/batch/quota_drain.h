// Estimates when a batch job that exceeds its route's quota may fit: from the rate at which tokens
// were freed lately and from the other rejected batch jobs that will be submitted again.
#ifndef PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_
#define PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_

#include <map>
#include <string>
#include <utility>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

// Owned by QuotaTracker. No clock, no I/O. Not thread-safe.
class QuotaDrain {
 public:
  // Tokens that no longer wait.
  void RecordFreed(double tokens, Micros now);
  void RecordRejected(const std::string& batch_job_id, double tokens, Micros now);
  void RecordGranted(const std::string& batch_job_id) { rejected_.erase(batch_job_id); }
  // Until so many tokens, and those of the other refused batch jobs, have become free; a default
  // where nothing has become free lately.
  Micros Wait(const std::string& batch_job_id, double missing, Micros now) const;

 private:
  double Rate(Micros now) const;  // tokens a second

  double freed_ = 0;  // fades over kMemory
  Micros freed_at_ = 0;
  std::map<std::string, std::pair<double, Micros>> rejected_;  // tokens, when last
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_
