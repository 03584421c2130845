// An edge node's view of the allocators of one tenant: which of them to ask next, by what they and
// the network have shown. Loop thread only.
#ifndef PEARREACH_SRC_TIER_QUOTA_ALLOCATOR_CHOICE_H_
#define PEARREACH_SRC_TIER_QUOTA_ALLOCATOR_CHOICE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tier/quota/request_limiter.h"
#include "tier/quota/share_table.h"

namespace pearreach::quota {

struct Allocator {
  std::string name, address, zone;
};

// Until when nodes that did not respond are left out; of all tenants. Each further failure doubles
// the time.
class UnresponsiveAllocators {
 public:
  void OnFailure(const std::string& name, Micros now);
  void OnResponse(const std::string& name) { entries_.erase(name); }
  bool IsLeftOut(const std::string& name, Micros now) const;

 private:
  struct Entry {
    Micros until = 0, backoff = 0;
  };
  std::map<std::string, Entry> entries_;
};

// When the allocators of one tenant will have more to grant.
class EmptyAllocators {
 public:
  void OnEmpty(const std::string& name, Micros retry_after, Micros now);
  // 0: nothing is known against it.
  Micros EmptyUntil(const std::string& name, Micros now) const;

 private:
  std::map<std::string, Micros> until_;
};

// One of `allocators` that is worth a call: in `zone` before others, at random among equals. None:
// all that respond are empty.
std::optional<Allocator> ChooseAllocator(const std::vector<Allocator>& allocators,
                                         const std::string& zone, const EmptyAllocators& empty,
                                         const UnresponsiveAllocators& unresponsive, Micros now,
                                         std::minstd_rand* random);

// What to say to a request for which ChooseAllocator has found none.
Decision DecideWithoutAllocator(const std::vector<Allocator>& allocators,
                                const EmptyAllocators& empty, Micros now);

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_ALLOCATOR_CHOICE_H_
