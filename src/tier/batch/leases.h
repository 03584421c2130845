// Which items of open batch jobs wait and which are leased to edge nodes. Kept in memory only:
// after a restart or a change of the primary the items are leased anew.
#ifndef PEARREACH_SRC_TIER_BATCH_LEASES_H_
#define PEARREACH_SRC_TIER_BATCH_LEASES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"

namespace pearreach::batch {

constexpr Micros kLeaseDuration = 3 * kSecond;  // unless renewed
constexpr int kMaxItemsPerPull = 8;             // items of one answer

struct ItemLease {
  std::string batch_job_id;
  std::uint32_t item = 0;
  std::uint64_t lease = 0;
};

// Owned by BatchJobItems. A state machine without clock or I/O: the caller passes the time. Not
// thread-safe.
class LeaseTable {
 public:
  explicit LeaseTable(std::uint64_t first_lease) : next_lease_(first_lease) {}

  // Adds the items of an open batch job. With `reserved_until` (0: none) they are not leased before
  // then, as an edge node may still run them under a lease of an earlier primary; whoever renews
  // one until `reserved_until` gets it.
  void AddBatchJob(const std::string& batch_job_id, const std::string& route, std::int64_t due_ms,
                   std::size_t items, const std::vector<std::uint32_t>& open,
                   Micros reserved_until);
  void DropBatchJob(const std::string& batch_job_id);
  void Finish(const std::string& batch_job_id, std::uint32_t item);  // it has a result
  // Makes the item wait again if `lease` is its lease; an adopted lease matches any.
  bool Return(const std::string& batch_job_id, std::uint32_t item, std::uint64_t lease);

  // Registers a node's process and voids the leases of its earlier ones. False: `process` itself is
  // an earlier one.
  bool RegisterProcess(const std::string& node, std::uint64_t process);
  // By room per route, the earliest due first, at most `most` in all.
  std::vector<ItemLease> Acquire(const std::string& node,
                                 const std::map<std::string, int>& capacity, int limit, Micros now);
  // Whether the node now owns the item's lease for another kLeaseDuration.
  bool Renew(const std::string& node, const std::string& batch_job_id, std::uint32_t item,
             Micros now);
  void DropNode(const std::string& node);
  void Expire(Micros now);

  std::size_t CountWaiting(const std::string& route) const;
  bool HasWaitingItems() const;
  Micros NextExpiry() const;  // 0: none
  std::vector<std::string> LeaseOwners() const;

 private:
  enum class Phase : std::uint8_t { kGone, kWaiting, kLeased };
  struct Item {
    Phase phase = Phase::kGone;
    std::uint32_t node = 0;   // 0: reserved, no owner yet
    std::uint64_t lease = 0;  // 0: adopted, or reserved
    Micros expires = 0;
  };
  struct BatchJobItems {
    std::string id, route;
    std::int64_t due_ms = 0;
    std::vector<Item> items;
    std::size_t waiting = 0;
    std::uint32_t first = 0;  // no item before it waits
  };
  struct RouteItems {
    std::set<std::pair<std::int64_t, std::uint64_t>> batch_jobs;  // by due time, with waiting items
    std::size_t waiting = 0;
  };

  BatchJobItems* Find(const std::string& batch_job_id, std::uint64_t* number);
  void MakeWaiting(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item);
  void RemoveWaiting(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item);
  void RemoveLease(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item);
  void Lease(std::uint64_t number, BatchJobItems* batch_job, std::uint32_t item, std::uint32_t node,
             std::uint64_t lease, Micros expires);
  std::uint32_t NodeNumber(const std::string& node);
  ItemLease AcquireFirst(std::uint64_t number, std::uint32_t node, Micros now);

  std::uint64_t next_lease_, next_batch_job_ = 1;
  std::unordered_map<std::string, std::uint64_t> numbers_;
  std::unordered_map<std::uint64_t, BatchJobItems> batch_jobs_;
  std::map<std::string, RouteItems> routes_;
  std::set<std::tuple<Micros, std::uint64_t, std::uint32_t>> leased_;  // by expiry
  std::unordered_map<std::string, std::uint32_t> node_numbers_;
  std::vector<std::string> node_names_{""};
  std::unordered_map<std::string, std::uint64_t> processes_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_LEASES_H_
