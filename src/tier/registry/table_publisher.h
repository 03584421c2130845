// Publishes snapshots of the workers that this node knows.
#ifndef PEARREACH_SRC_TIER_REGISTRY_TABLE_PUBLISHER_H_
#define PEARREACH_SRC_TIER_REGISTRY_TABLE_PUBLISHER_H_

#include <functional>
#include <memory>
#include <vector>

#include "tier/control/time_source.h"
#include "tier/registry/worker_state.h"
#include "tier/registry/worker_table.h"

namespace pearreach::registry {

// Owned by a WorkerRegistry; used on the event loop's thread only. The tables it hands out are
// immutable.
class TablePublisher {
 public:
  // Both pointers outlive this.
  TablePublisher(control::TimeSource* time, WorkerState* state) : time_(time), state_(state) {}

  // Publishes the state as a new table: at once if `urgent` or if the last table is old enough,
  // else together with changes that come soon after.
  void Publish(bool urgent);

  std::shared_ptr<const WorkerTable> table() const { return table_; }
  // `listener` is called after each new table.
  void OnChange(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

 private:
  void PublishNow();

  control::TimeSource* const time_;
  WorkerState* const state_;
  std::shared_ptr<const WorkerTable> table_ = std::make_shared<WorkerTable>();
  std::vector<std::function<void()>> listeners_;
  Timers::Id timer_ = 0;
  Micros published_at_ = 0;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_TABLE_PUBLISHER_H_
