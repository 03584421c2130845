#include "tier/quota/grant_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "tier/quota/quota_timing.h"

namespace pearreach::quota {
namespace {

// A request is granted from this much of it on, so that shares of a small limit leave little
// unused.
constexpr double kMinGrantableFraction = 0.5;
constexpr double kMinCapacity =
    kMinGrantableFraction;  // of a share of a limit that is too small for a request

double SecondsBetween(Micros from, Micros to) {
  return static_cast<double>(to - from) / static_cast<double>(kSecond);
}

}  // namespace

GrantIssuer::GrantIssuer(std::string self, LimitBounds bounds, std::uint64_t seed)
    : self_(std::move(self)),
      bounds_(bounds),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

double GrantIssuer::LevelAt(const Bucket& bucket, Micros now) {
  const double added = bucket.rate_per_s * std::max(SecondsBetween(bucket.filled_at, now), 0.0);
  return std::min(bucket.level + added, bucket.capacity);
}

void GrantIssuer::Fill(Bucket* bucket, Micros now) {
  bucket->level = LevelAt(*bucket, now);
  bucket->filled_at = std::max(bucket->filled_at, now);
}

double GrantIssuer::FirstLevel() {
  return std::uniform_real_distribution<double>(-kMinGrantableFraction,
                                                kMinGrantableFraction)(random_);
}

// What an earlier process of this node, or another allocator, granted just now is not known: a
// bucket starts empty but for a part of a request, lest all allocators grant their first one at the
// same moment.
GrantIssuer::Bucket& GrantIssuer::FindOrAdd(const std::string& tenant, Micros now) {
  const auto [at, added] = buckets_.try_emplace(tenant);
  if (!added) return at->second;
  at->second.filled_at = now;
  at->second.capacity = kMinCapacity;
  at->second.level = FirstLevel();
  return at->second;
}

void GrantIssuer::NoteGrownShares(const ShareTable& shares, Micros now) {
  for (std::size_t shard = 0; shard < shares.shards.size(); ++shard) {
    const auto found = shares.shards[shard].find(self_);
    const std::uint32_t share = found == shares.shards[shard].end() ? 0 : found->second;
    if (share > shard_shares_[shard]) shard_grown_at_[shard] = now;
    shard_shares_[shard] = share;
  }
}

bool GrantIssuer::IsShareOld(std::string_view tenant, Micros now) const {
  const double age_s = SecondsBetween(shard_grown_at_[ShardOf(tenant)], now);
  return age_s > bounds_.window_s + SecondsBetween(0, kShareGrowthDelay);
}

void GrantIssuer::Resize(const routing::Tenant& tenant, double share, Micros now) {
  // One that is new with this configuration has been granted nothing yet.
  const bool is_new = routes_ != nullptr && routes_->FindTenant(tenant.name) == nullptr &&
                      !buckets_.contains(tenant.name) && IsShareOld(tenant.name, now);
  Bucket& bucket = FindOrAdd(tenant.name, now);
  Fill(&bucket, now);
  const BucketSize size = BucketSizeOf(tenant, bounds_);
  bucket.rate_per_s = share * size.rate_per_s;
  bucket.capacity = std::max(share * size.capacity, kMinCapacity);
  bucket.level = is_new ? bucket.capacity : std::min(bucket.level, bucket.capacity);
  bucket.dropped_at = 0;
}

void GrantIssuer::Configure(std::shared_ptr<const routing::RouteTable> routes,
                            const ShareTable& shares, Micros now) {
  NoteGrownShares(shares, now);
  for (auto& [name, bucket] : buckets_) {
    const bool dropped = routes->FindTenant(name) == nullptr;
    if (dropped && bucket.dropped_at == 0) bucket.dropped_at = now;
  }
  for (const routing::Tenant& tenant : routes->tenants()) {
    const double share = ShareOf(shares, tenant.name, self_);
    if (tenant.IsLimited() && share > 0) {
      Resize(tenant, share, now);
    } else {
      buckets_.erase(tenant.name);
    }
  }
  routes_ = std::move(routes);
  ForgetDropped(now);
}

void GrantIssuer::ForgetDropped(Micros now) {
  std::erase_if(buckets_, [&](const auto& entry) {
    const Bucket& bucket = entry.second;
    if (bucket.dropped_at == 0) return false;
    const bool window_over = SecondsBetween(bucket.dropped_at, now) > bounds_.window_s;
    return window_over && LevelAt(bucket, now) >= bucket.capacity;
  });
}

void GrantIssuer::EmptyBuckets(Micros now) {
  for (auto& [name, bucket] : buckets_) {
    Fill(&bucket, now);
    bucket.level = std::min(bucket.level, FirstLevel());
  }
}

GrantResponse GrantIssuer::Issue(const GrantRequest& request, Micros now) {
  GrantResponse response;
  const auto found = buckets_.find(request.tenant);
  if (found == buckets_.end() || found->second.dropped_at != 0) return response;
  Bucket& bucket = found->second;
  Fill(&bucket, now);
  const double grantable = bucket.level + kMinGrantableFraction;
  response.granted = std::min(request.count, static_cast<std::uint32_t>(grantable));
  bucket.level -= response.granted;
  if (response.granted < request.count && bucket.rate_per_s > 0) {
    const double missing = std::max(std::floor(grantable) + 1 - grantable, 0.0);
    response.retry_after_us =
        static_cast<std::int64_t>(missing / bucket.rate_per_s * static_cast<double>(kSecond)) + 1;
  }
  return response;
}

}  // namespace pearreach::quota
