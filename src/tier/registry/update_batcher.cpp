#include "tier/registry/update_batcher.h"

#include <algorithm>
#include <utility>

namespace pearreach::registry {
namespace {

// The delay between two batches grows with what one batch costs: calls to all edge nodes.
constexpr Micros kDelayPerEdgeNode = 500;
constexpr Micros kMaxDelay = 100 * kMs;

}  // namespace

UpdateBatcher::UpdateBatcher(control::TimeSource* time, EdgeNodes* nodes, const WorkerState* state,
                             Send send)
    : time_(time), nodes_(nodes), state_(state), send_(std::move(send)) {}

void UpdateBatcher::Queue(const std::string& worker_id) {
  queued_.insert(worker_id);
  if (timer_ != 0) return;
  const Micros now = time_->Now();
  const auto edge_nodes = static_cast<Micros>(nodes_->Recent(now).size());
  const Micros delay = std::min(edge_nodes * kDelayPerEdgeNode, kMaxDelay);
  timer_ = time_->After(std::max<Micros>(sent_at_ + delay - now, 0), callbacks_.Bind([this] {
    timer_ = 0;
    SendBatch();
  }));
}

void UpdateBatcher::SendBatch() {
  const Micros now = time_->Now();
  sent_at_ = now;
  WorkerUpdate update;
  for (const std::string& id : std::exchange(queued_, {}))
    if (state_->Find(id) != nullptr) update.items.push_back(state_->ExportOne(now, id));
  if (!update.items.empty()) send_(update);
}

}  // namespace pearreach::registry
