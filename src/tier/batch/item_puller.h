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
  using Taken = std::function<void(LeasedItem item)>;

  // `process`: this process of the node, greater for a later one, until membership says more.
  ItemPuller(Timers* timers, StoreClient* stores, control::ControlClient* control,
             proxy::RequestRunner* runner, std::string node, std::uint64_t process, Taken taken);
  // What stores know this process by: its incarnation in membership, which may have been raised.
  std::uint64_t Process() const;
  ~ItemPuller();
  ItemPuller(const ItemPuller&) = delete;
  ItemPuller& operator=(const ItemPuller&) = delete;

  // Asks the stores that are not being asked, where there is room.
  void Ask();
  // An item could not be run: asks no store for a short while.
  void HoldOff();
  void Stop();

 private:
  struct Asked {
    bool open = false;
    Micros not_before = 0;
  };

  std::map<std::string, int> Room(const routing::RouteTable& routes, int stores) const;
  void AskStore(const StoreId& store, std::map<std::string, int> capacity);
  void OnAnswer(const StoreId& store, Micros asked_at, absl::StatusOr<PullItemsResponse> answer);
  void AskLater(Micros delay);
  bool WorkIsKnown(Micros now) const;

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  proxy::RequestRunner* runner_;
  const std::string node_;
  const std::uint64_t process_;
  Taken taken_;
  std::map<StoreId, Asked> asked_;
  Timers::Id timer_ = 0;
  Micros work_seen_ = 0, hold_off_until_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_PULLER_H_
