// Times on which the bound of a tenant's requests rests; docs/tenants.md has the proof.
#ifndef PEARREACH_SRC_TIER_QUOTA_QUOTA_TIMING_H_
#define PEARREACH_SRC_TIER_QUOTA_QUOTA_TIMING_H_

#include "common/event_loop/io.h"

namespace pearreach::quota {

// A grant may be spent this long after the edge node sent the request for it.
inline constexpr Micros kGrantLifetime = 500 * kMs;

// An allocator grants by a share table only while a linearizable read that it sent at most this
// long ago has confirmed the table.
inline constexpr Micros kShareLease = 15 * kSecond;
inline constexpr Micros kShareConfirmPeriod = 2 * kSecond;
// A share may grow this long after all tables with larger shares of others have been replaced:
// the lease, and how far steady clocks may drift apart within it.
inline constexpr Micros kShareGrowthDelay = kShareLease + kSecond;

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_QUOTA_TIMING_H_
