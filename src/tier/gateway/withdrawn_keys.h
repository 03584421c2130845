// API keys that were valid in an earlier configuration of this process and no longer are, so that
// refusals can be counted by cause. Stores only hashes, never keys. Owned by the gateway. Loop
// thread only.
#ifndef PEARREACH_SRC_TIER_GATEWAY_WITHDRAWN_KEYS_H_
#define PEARREACH_SRC_TIER_GATEWAY_WITHDRAWN_KEYS_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <unordered_set>

#include "tier/routing/route_table.h"

namespace pearreach::gateway {

class WithdrawnKeys {
 public:
  // Sets the configuration in force; null: none yet.
  void Update(std::shared_ptr<const routing::RouteTable> routes);
  // May return true for another key with the same hash, so it is for statistics only.
  bool Contains(std::string_view api_key) const { return hashes_.contains(HashKey(api_key)); }

 private:
  static std::size_t HashKey(std::string_view api_key) {
    return std::hash<std::string_view>()(api_key);
  }
  void Add(std::size_t hash);

  std::shared_ptr<const routing::RouteTable> routes_;
  std::unordered_set<std::size_t> hashes_;
  std::deque<std::size_t> withdrawal_order_;  // oldest withdrawal first
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_WITHDRAWN_KEYS_H_
