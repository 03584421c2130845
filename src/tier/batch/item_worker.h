// Runs items of lots at an edge node: items leased from the stores become bulk jobs, their results
// go back to the stores until these acknowledge them.
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
#include "tier/batch/messages.h"
#include "tier/batch/store_client.h"
#include "tier/control/control_client.h"
#include "tier/proxy/request.h"

namespace pearreach::batch {

class ItemWorker {
 public:
  // `process`: this process of the node, greater for a later one (its incarnation in membership).
  ItemWorker(Timers* timers, StoreClient* stores, control::ControlClient* control,
             proxy::RequestRunner* runner, std::string node, std::uint64_t process);
  ~ItemWorker();
  ItemWorker(const ItemWorker&) = delete;
  ItemWorker& operator=(const ItemWorker&) = delete;

  // Takes no more items; those that still run after `linger` are returned to the stores. `idle` is
  // called once when no item is held any more; the caller bounds its wait for that.
  void Stop(Micros linger, std::function<void()> idle);
  std::size_t held() const { return held_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;  // lot and item
  class Run;                                        // hears of one run of an item
  struct Held;

  void OnTaken(LeasedItem item);
  void LeaseAgain(Held* held, const LeasedItem& leased);
  void Launch(const Key& key, LeasedItem leased, const routing::Route& route);
  const routing::Target& PickTarget(const routing::Route& route);
  void OnRunEnd(const Key& key, const proxy::RequestResult& result);
  void Conclude(const Key& key, RunOutcome outcome, std::string content);
  void Report(const Key& key);
  void OnReported(const Key& key, const absl::Status& status);
  void Drop(const Key& key);
  void TellIdle();
  void Return(const Key& key);
  void ReturnRunning();
  void OnControlChange();

  void TickLater();
  void Tick();
  void GiveUpExpired(Micros now);
  void RenewAll(Micros now);
  void OnRenewed(const std::vector<Key>& asked, Micros sent,
                 const absl::StatusOr<RenewLeasesResponse>& answer);

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  proxy::RequestRunner* runner_;
  const std::string node_;
  std::minstd_rand random_;
  std::map<Key, std::unique_ptr<Held>> held_;
  std::uint64_t routes_revision_ = 0, stores_revision_ = 0;
  Timers::Id tick_ = 0, linger_ = 0;
  bool stopping_ = false;
  std::function<void()> idle_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  ItemPuller taker_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_WORKER_H_
