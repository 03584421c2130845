// Pulls items of batch jobs from the stores: keeps a long poll open at each primary store for as
// long as this node has capacity to run items.
#ifndef PEARREACH_SRC_TIER_BATCH_ITEM_PULLER_H_
#define PEARREACH_SRC_TIER_BATCH_ITEM_PULLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/store_client.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/proxy/request.h"
#include "tier/routing/route_table.h"

namespace pearreach::batch {

// Owned by an ItemWorker; used on the event loop's thread only.
class ItemPuller {
 public:
  // `pulled_at`: when the store was asked; the lease was given no earlier.
  using ItemHandler = std::function<void(LeasedItem item, Micros pulled_at)>;

  // All pointers outlive this. `process`: the incarnation of this process of `node`, greater for a
  // later one, as long as membership has none. `handler` is called for each item.
  ItemPuller(Timers* timers, StoreClient* stores, control::ControlClient* control,
             proxy::RequestRunner* runner, std::string node, std::uint64_t process,
             ItemHandler handler);
  // By what the stores know this process: its incarnation in membership, which may have been
  // raised.
  std::uint64_t Incarnation() const;
  ~ItemPuller();
  ItemPuller(const ItemPuller&) = delete;
  ItemPuller& operator=(const ItemPuller&) = delete;

  // Pulls from the stores that have no open pull, where there is capacity.
  void Poll();
  // An item could not be run: starts no pull for a short while.
  void StartBackoff();
  // Starts no more pulls; items that still come are dropped, and their leases expire.
  void Stop();

 private:
  struct StorePoll {
    bool open = false;
    Micros not_before = 0;
  };

  std::map<std::string, int> Capacity(const routing::RouteTable& routes, int stores) const;
  void PullFrom(const StoreId& store, std::map<std::string, int> capacity);
  void OnPulled(const StoreId& store, Micros sent_at, absl::StatusOr<PullItemsResponse> response);
  void PollLater(Micros delay);
  bool HasRecentWork(Micros now) const;

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  proxy::RequestRunner* runner_;
  const std::string node_;
  const std::uint64_t fallback_incarnation_;
  ItemHandler item_handler_;
  std::map<StoreId, StorePoll> polls_;
  Timers::Id timer_ = 0;
  Micros last_item_at_ = 0, backoff_until_ = 0;
  bool stopped_ = false;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_PULLER_H_
