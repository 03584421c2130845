#include "tier/gateway/withdrawn_keys.h"

#include <string>
#include <utility>

namespace pearreach::gateway {
namespace {

constexpr std::size_t kMaxHashes = 4096;  // oldest withdrawals are removed first

}  // namespace

void WithdrawnKeys::Update(std::shared_ptr<const routing::RouteTable> routes) {
  if (routes == routes_ || routes == nullptr) return;
  const auto previous = std::exchange(routes_, std::move(routes));
  if (previous == nullptr) return;
  for (const routing::Tenant& tenant : previous->tenants()) {
    for (const std::string& key : tenant.api_keys) {
      if (routes_->FindTenantByKey(key) == nullptr) Add(HashKey(key));
    }
  }
}

void WithdrawnKeys::Add(std::size_t hash) {
  if (!hashes_.insert(hash).second) return;
  withdrawal_order_.push_back(hash);
  if (withdrawal_order_.size() <= kMaxHashes) return;
  hashes_.erase(withdrawal_order_.front());
  withdrawal_order_.pop_front();
}

}  // namespace pearreach::gateway
