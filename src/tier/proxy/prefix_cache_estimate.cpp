#include "tier/proxy/prefix_cache_estimate.h"

namespace pearreach::proxy {

void PrefixCacheEstimate::Use(std::uint64_t key, double shared_tokens, double own_tokens,
                              double worker_tokens) {
  const auto known = by_key_.find(key);
  if (known != by_key_.end()) {
    tokens_ -= known->second->tokens;
    recent_.erase(known->second);
  }
  recent_.push_front({key, shared_tokens + own_tokens});
  by_key_[key] = recent_.begin();
  tokens_ += shared_tokens + own_tokens;
  while (recent_.size() > 1 &&
         (recent_.size() > kMaxPrefixes || (worker_tokens > 0 && tokens_ > worker_tokens))) {
    tokens_ -= recent_.back().tokens;
    by_key_.erase(recent_.back().key);
    recent_.pop_back();
  }
}

}  // namespace pearreach::proxy
