// Collects the workers that other edge nodes must learn of and sends them together.
#ifndef PEARREACH_SRC_TIER_REGISTRY_UPDATE_BATCHER_H_
#define PEARREACH_SRC_TIER_REGISTRY_UPDATE_BATCHER_H_

#include <functional>
#include <set>
#include <string>

#include "tier/control/time_source.h"
#include "tier/registry/edge_nodes.h"
#include "tier/registry/worker_messages.h"
#include "tier/registry/worker_state.h"

namespace pearreach::registry {

// Owned by a WorkerRegistry; used on the event loop's thread only.
class UpdateBatcher {
 public:
  using Send = std::function<void(const WorkerUpdate& update)>;

  // All pointers outlive this. `send` gets the records as they are when it is called.
  UpdateBatcher(control::TimeSource* time, EdgeNodes* nodes, const WorkerState* state, Send send);

  // Sends the worker's record with those of other workers: at once after a quiet span, else once a
  // delay that grows with the number of edge nodes has passed since the last batch.
  void Queue(const std::string& worker_id);

 private:
  void SendBatch();

  control::TimeSource* const time_;
  EdgeNodes* const nodes_;
  const WorkerState* const state_;
  const Send send_;
  std::set<std::string> queued_;  // worker ids
  Timers::Id timer_ = 0;
  Micros sent_at_ = 0;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_UPDATE_BATCHER_H_
