// Estimates which prompt prefixes a worker has cached, from the requests that this node sent to it:
// the most recently used ones that fit into the worker's memory (LRU).
#ifndef PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_
#define PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace pearreach::proxy {

class PrefixCacheEstimate {
 public:
  // Upper bound that also applies when the worker's memory size is unknown.
  static constexpr std::size_t kMaxPrefixes = 512;

  bool Has(std::uint64_t key) const { return by_key_.contains(key); }
  // Records that a request with this prefix was sent to the worker. `own_tokens`: prompt tokens
  // that follow the prefix. `worker_tokens`: token capacity of the worker; 0: unknown.
  void Use(std::uint64_t key, double shared_tokens, double own_tokens, double worker_tokens);
  std::size_t size() const { return by_key_.size(); }

 private:
  struct Prefix {
    std::uint64_t key = 0;
    double tokens = 0;
  };

  std::list<Prefix> recent_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_
