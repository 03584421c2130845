// An allocator's side of tenants' limits: a token bucket a tenant, as large as the allocator's
// share of the limit. A state machine without clock or I/O: the caller passes the time. Not
// thread-safe.
#ifndef PEARREACH_SRC_TIER_QUOTA_GRANT_ISSUER_H_
#define PEARREACH_SRC_TIER_QUOTA_GRANT_ISSUER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "common/event_loop/io.h"
#include "tier/quota/limit.h"
#include "tier/quota/messages.h"
#include "tier/quota/share_table.h"
#include "tier/routing/route_table.h"

namespace pearreach::quota {

class GrantIssuer {
 public:
  GrantIssuer(std::string self, LimitBounds bounds, std::uint64_t seed);

  // The limits and shares from now on. A bucket that grows fills at its rate; one that shrinks
  // loses what it has no room for. Tenants that are dropped keep their buckets until they would be
  // full, so that one that comes back does not get its burst twice.
  void Configure(std::shared_ptr<const routing::RouteTable> routes, const ShareTable& shares,
                 Micros now);
  // The allocator had no lease for some time, in which others may have granted from its shares.
  void EmptyBuckets(Micros now);
  // Of a tenant without a limit or a share here: nothing, and no time after which there is more.
  GrantResponse Issue(const GrantRequest& request, Micros now);

  std::size_t buckets() const { return buckets_.size(); }

 private:
  template <class Value>
  using ShardValues = std::array<Value, kShards>;
  struct Bucket {
    double rate_per_s = 0, capacity = 0, level = 0;
    Micros filled_at = 0;
    Micros dropped_at = 0;  // 0: its tenant is in the configuration
  };
  double FirstLevel();  // less than grants a request
  Bucket& FindOrAdd(const std::string& tenant, Micros now);
  void NoteGrownShares(const ShareTable& shares, Micros now);
  // Nobody else can have granted from this node's share within a window.
  bool IsShareOld(std::string_view tenant, Micros now) const;
  void Resize(const routing::Tenant& tenant, double share, Micros now);
  static double LevelAt(const Bucket& bucket, Micros now);
  static void Fill(Bucket* bucket, Micros now);
  void ForgetDropped(Micros now);

  const std::string self_;
  const LimitBounds bounds_;
  std::minstd_rand random_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  ShardValues<std::uint32_t> shard_shares_{};          // of the last Configure
  ShardValues<Micros> shard_grown_at_{};               // when the share last grew
  std::shared_ptr<const routing::RouteTable> routes_;  // of the last Configure; null: none yet
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_GRANT_ISSUER_H_
