// Response timeout of non-streamed requests, learned from the recent response times of the service
// at this node. A retry budget limits timeout retries to a small fraction of all sends, so that a
// service that is slow as a whole gets little additional load.
#ifndef PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_
#define PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_

#include <array>
#include <cstddef>

#include "common/event_loop/io.h"

namespace pearreach::proxy {

class ResponseTimeout {
 public:
  // Records the time from a send to its response.
  void RecordLatency(Micros latency);
  // Records the first send of a request, which adds to the retry budget.
  void RecordSend();
  // Timeout for a request with this latency target and `time_left` until its deadline. At most half
  // of `time_left`, because another worker needs time as well.
  Micros Timeout(Micros target, Micros time_left) const;
  // Takes one timeout retry from the budget; false if the budget is used up.
  bool TakeRetry();

 private:
  static constexpr std::size_t kMaxSamples = 128;

  Micros SlowestTypicalLatency() const;  // ignoring kIgnoredOutliers

  std::array<Micros, kMaxSamples> latencies_{};  // ring buffer of the latest response times
  std::size_t count_ = 0;
  double retry_budget_ = 1;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_
