// Holds tenants to their limits: each request of a limited tenant acquires its quota before it may
// go to a worker.
#ifndef PEARREACH_SRC_TIER_QUOTA_REQUEST_LIMITER_H_
#define PEARREACH_SRC_TIER_QUOTA_REQUEST_LIMITER_H_

#include <cstdint>
#include <functional>

#include "common/event_loop/io.h"
#include "tier/routing/route_table.h"

namespace pearreach::quota {

enum class Verdict {
  kGranted,
  kOverLimit,    // the tenant has used up what it is allowed for now
  kUnavailable,  // nobody that may grant has responded in time
};

struct Decision {
  Verdict verdict = Verdict::kUnavailable;
  Micros retry_after = 0;  // when it may be granted; 0: not known
};

using AcquisitionId = std::uint64_t;
inline constexpr AcquisitionId kDecided = 0;  // the decision was made inside Acquire

// Loop thread only.
class RequestLimiter {
 public:
  using Done = std::function<void(const Decision&)>;

  virtual ~RequestLimiter() = default;
  // Takes one request off the limit of the tenant, of which only what the call needs is copied.
  // `done` is called exactly once, by `deadline` on Now()'s clock at the latest: inside the call,
  // which then returns kDecided, or later.
  virtual AcquisitionId Acquire(const routing::Tenant& tenant, Micros deadline, Done done) = 0;
  // `done` will not be called any more. Does nothing for one that has been decided.
  virtual void Cancel(AcquisitionId acquisition) = 0;
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_REQUEST_LIMITER_H_
