#include "tier/quota/limit.h"

#include <algorithm>

#include "tier/quota/quota_timing.h"

namespace pearreach::quota {
namespace {

constexpr double kMaxAllocators = 8;
// A request of the slack for each allocator's rounding, and as much again in reserve.
constexpr double kSlackPerAllocator = 2;
// Of the room between burst_size and the bound.
constexpr double kUsedHeadroom = 0.6;
constexpr double kMinCapacity = 1;

double GrantLifetimeSeconds() {
  return static_cast<double>(kGrantLifetime) / static_cast<double>(kSecond);
}

}  // namespace

LimitBounds LimitBoundsOf(const settings::Bounds& bounds) {
  return {bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack};
}

std::size_t AllocatorsPerTenant(const LimitBounds& bounds) {
  return static_cast<std::size_t>(
      std::clamp(bounds.slack / kSlackPerAllocator, 1.0, kMaxAllocators));
}

BucketSize BucketSizeOf(const routing::Tenant& tenant, const LimitBounds& bounds) {
  const double rounding = static_cast<double>(AllocatorsPerTenant(bounds));
  const double bound =
      (tenant.rate_per_s * bounds.window_s + tenant.burst_size) * (1 + bounds.excess) +
      bounds.slack - rounding;
  // Grants of this span may be spent within one window.
  const double span_s = bounds.window_s + GrantLifetimeSeconds();
  BucketSize size;
  size.rate_per_s = std::clamp((bound - kMinCapacity) / span_s, 0.0, tenant.rate_per_s);
  const double room = std::max(bound - size.rate_per_s * span_s, kMinCapacity);
  size.capacity = room <= tenant.burst_size
                      ? room
                      : tenant.burst_size + kUsedHeadroom * (room - tenant.burst_size);
  size.capacity = std::max(size.capacity, kMinCapacity);
  return size;
}

}  // namespace pearreach::quota
