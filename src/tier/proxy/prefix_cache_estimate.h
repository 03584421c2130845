// An estimate of which prompt prefixes a worker keeps, by what this node sent there: the most
// recently used ones, as many as fit the worker's memory.
#ifndef PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_
#define PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace pearreach::proxy {

class PrefixCacheEstimate {
 public:
  // Bounds the estimate where the worker's memory is not known, too.
  static constexpr std::size_t kMaxPrefixes = 512;

  bool Has(std::uint64_t key) const { return by_key_.contains(key); }
  // A request with this prefix, and with `own_tokens` besides, goes there. `room`: tokens that the
  // worker holds in all; 0: not known.
  void Use(std::uint64_t key, double shared_tokens, double own_tokens, double worker_tokens);
  std::size_t size() const { return by_key_.size(); }

 private:
  struct Prefix {
    std::uint64_t key = 0;
    double tokens = 0;
  };

  std::list<Prefix> recent_;  // the last one used is the first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> by_key_;
  double tokens_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_PREFIX_CACHE_ESTIMATE_H_
