// What a tenant may use of all workers together, as a token bucket that is divided over allocators.
#ifndef PEARREACH_SRC_TIER_QUOTA_LIMIT_H_
#define PEARREACH_SRC_TIER_QUOTA_LIMIT_H_

#include <cstddef>

#include "tier/routing/route_table.h"
#include "tier/settings/node_settings.h"

namespace pearreach::quota {

// The bound that the operators state: in each window of that length a tenant's requests number at
// most (rate_per_s x window + burst_size) x (1 + excess) + slack.
struct LimitBounds {
  double window_s = 5;
  double excess = 0.1;
  double slack = 20;  // requests
};

LimitBounds LimitBoundsOf(const settings::Bounds& bounds);

// Over how many allocators a limit is divided. Each may round its part up to one request, so no
// more than the slack has room for.
std::size_t AllocatorsPerTenant(const LimitBounds& bounds);

struct BucketSize {
  double rate_per_s = 0;  // requests that are added a second
  double capacity = 0;    // requests that it holds at most
};

// The largest bucket whose grants, each spent within kGrantLifetime, stay within the bound; its
// capacity keeps a part of the room beyond burst_size in reserve.
BucketSize BucketSizeOf(const routing::Tenant& tenant, const LimitBounds& bounds);

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_LIMIT_H_
