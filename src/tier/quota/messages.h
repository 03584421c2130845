// Messages between edge nodes and the allocators of tenants' quotas. The order of the fields is the
// wire format.
#ifndef PEARREACH_SRC_TIER_QUOTA_MESSAGES_H_
#define PEARREACH_SRC_TIER_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>

#include "tier/codec/archive.h"

namespace pearreach::quota {

// kTenantGrant: an edge node asks an allocator for requests that it may pass on to workers.
struct GrantRequest {
  std::string tenant;
  std::uint32_t count = 0;  // as many as it has use for now
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& tenant& count;
  }
};

// The edge node may spend a grant within kGrantLifetime of its sending the request.
struct GrantResponse {
  std::uint32_t granted = 0;        // at most as many as were asked for
  std::int64_t retry_after_us = 0;  // when the allocator has more, if it granted fewer
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& granted& retry_after_us;
  }
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_MESSAGES_H_
