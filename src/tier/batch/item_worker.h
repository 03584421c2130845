// Runs items of batch jobs at an edge node: items leased from the stores become bulk requests, and
// their results are reported to the stores until these acknowledge them.
#ifndef PEARREACH_SRC_TIER_BATCH_ITEM_WORKER_H_
#define PEARREACH_SRC_TIER_BATCH_ITEM_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/item_puller.h"
#include "tier/batch/item_run.h"
#include "tier/batch/messages.h"
#include "tier/batch/store_client.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/proxy/request.h"

namespace pearreach::batch {

// Owned by the node; used on the event loop's thread only.
class ItemWorker {
 public:
  // All pointers outlive this. `process`: see ItemPuller.
  ItemWorker(Timers* timers, StoreClient* stores, control::ControlClient* control,
             proxy::RequestRunner* runner, std::string node, std::uint64_t process);
  ~ItemWorker();
  ItemWorker(const ItemWorker&) = delete;
  ItemWorker& operator=(const ItemWorker&) = delete;

  // Pulls no more items; those that still run after `grace_period` are returned to the stores.
  // `idle` is called once, never from inside Stop, when no item is in flight any more; the caller
  // bounds its wait for that.
  void Stop(Micros grace_period, std::function<void()> idle);
  // Items that run or whose results are not acknowledged yet.
  std::size_t in_flight() const { return in_flight_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;  // batch job and item
  struct InFlightItem;

  void OnItemPulled(LeasedItem item, Micros pulled_at);
  void OnLeasedAgain(InFlightItem* item, const LeasedItem& leased, Micros pulled_at);
  void StartRun(const Key& key, LeasedItem leased, const routing::Route& route);
  const routing::Target& PickTarget(const routing::Route& route);
  void OnRunEnd(const Key& key, const proxy::RequestResult& result);
  void FinishRun(const Key& key, RunOutcome outcome, std::string content);
  void Report(const Key& key);
  void OnReported(const Key& key, const absl::Status& status);
  void Drop(const Key& key);
  void NotifyIdle();
  void ReturnToStore(const Key& key);
  void ReturnAllRunning();
  void OnControlChange();

  void ScheduleRenewal();
  void OnRenewTimer();
  void DropExpired(Micros now);
  void RenewAll(Micros now);
  void OnRenewed(const std::vector<Key>& requested, Micros sent,
                 const absl::StatusOr<RenewLeasesResponse>& response);

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  proxy::RequestRunner* runner_;
  const std::string node_;
  std::minstd_rand random_;
  std::map<Key, std::unique_ptr<InFlightItem>> in_flight_;
  std::uint64_t routes_revision_ = 0, stores_revision_ = 0;
  Timers::Id renew_timer_ = 0, grace_timer_ = 0;
  bool stopping_ = false;
  std::function<void()> idle_;
  control::CallbackOwner callbacks_;
  ItemPuller puller_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_WORKER_H_
