// Anti-entropy: repairs what a dissemination has missed. Periodically this node compares the digest
// of its workers with that of one other node, in turn those at distances 1, 2, 4, ... in the common
// order, and both exchange the records that differ. A node that has just started gets all workers
// in this way.
#ifndef PEARREACH_SRC_TIER_REGISTRY_ANTI_ENTROPY_H_
#define PEARREACH_SRC_TIER_REGISTRY_ANTI_ENTROPY_H_

#include <functional>
#include <string>
#include <vector>

#include "tier/control/time_source.h"
#include "tier/registry/edge_nodes.h"
#include "tier/registry/worker_messages.h"
#include "tier/registry/worker_state.h"
#include "tier/rpc/transport.h"

namespace pearreach::registry {

// Owned by a WorkerRegistry; used on the event loop's thread only. Handles kWorkerDigest and
// kWorkerRepair.
class AntiEntropy {
 public:
  using UpdateHandler = std::function<void(const WorkerUpdate&)>;

  // All pointers outlive this. Compares at once and then every `period` (microseconds), more often
  // until a comparison has succeeded. `update_handler` is called with the records of other nodes.
  AntiEntropy(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes,
              WorkerState* state, Micros period, UpdateHandler update_handler);

 private:
  void Tick();
  std::string ChoosePartner();  // address; empty: there is none
  void RequestDigest(const std::string& address);
  void Repair(const std::string& address, const std::vector<std::uint64_t>& theirs);
  void ApplyRepair(const std::string& address, const RepairResponse& response);
  DigestResponse OnDigest(const DigestRequest& request) const;
  RepairResponse OnRepair(const RepairRequest& request) const;

  control::TimeSource* time_;
  rpc::Transport* transport_;
  EdgeNodes* nodes_;
  WorkerState* state_;
  const Micros period_;
  UpdateHandler update_handler_;
  std::size_t distance_ = 1;
  bool compared_ = false;  // with any node
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_ANTI_ENTROPY_H_
