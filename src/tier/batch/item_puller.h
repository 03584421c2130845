// Takes items of lots from the stores: keeps a call open at each primary store for as long as this
// node has room to run items.
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
#include "tier/proxy/request.h"
#include "tier/routing/route_table.h"

namespace pearreach::batch {

class ItemPuller {
 public:
  using ItemHandler = std::function<void(LeasedItem item)>;

  // `process`: this process of the node, greater for a later one, until membership says more.
  ItemPuller(Timers* timers, StoreClient* stores, control::ControlClient* control,
             proxy::RequestRunner* runner, std::string node, std::uint64_t process,
             ItemHandler taken);
  // What stores know this process by: its incarnation in membership, which may have been raised.
  std::uint64_t Incarnation() const;
  ~ItemPuller();
  ItemPuller(const ItemPuller&) = delete;
  ItemPuller& operator=(const ItemPuller&) = delete;

  // Asks the stores that are not being asked, where there is room.
  void Poll();
  // An item could not be run: asks no store for a short while.
  void BackOff();
  void Stop();

 private:
  struct StorePoll {
    bool open = false;
    Micros not_before = 0;
  };

  std::map<std::string, int> Capacity(const routing::RouteTable& routes, int stores) const;
  void PullFrom(const StoreId& store, std::map<std::string, int> room);
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_PULLER_H_
