// When a lot that does not fit its route's quota may fit: by how fast tokens have become free there
// lately, and what else was refused meanwhile and will be asked for again. Pure.
#ifndef PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_
#define PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_

#include <map>
#include <string>
#include <utility>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

class QuotaDrain {
 public:
  // Tokens that no longer wait.
  void RecordFreed(double tokens, Micros now);
  void RecordRejected(const std::string& batch_job_id, double tokens, Micros now);
  void RecordGranted(const std::string& batch_job_id) { rejected_.erase(batch_job_id); }
  // Until so many tokens, and those of the other refused lots, have become free; a default where
  // nothing has become free lately.
  Micros Wait(const std::string& batch_job_id, double missing, Micros now) const;

 private:
  double Rate(Micros now) const;  // tokens a second

  double freed_ = 0;  // fades over kMemory
  Micros freed_at_ = 0;
  std::map<std::string, std::pair<double, Micros>> rejected_;  // tokens, when last
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_QUOTA_DRAIN_H_
