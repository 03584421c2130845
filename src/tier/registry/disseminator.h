// Disseminates records to all live edge nodes over a tree: the sender divides the nodes, in an
// order common to all, into a few consecutive ranges and sends each range to one node of it, the
// relay, which proceeds in the same way. If a relay does not respond, another node of the range
// takes its part. A dissemination may be confirmed: then each response names the nodes that have
// the records, and the missing ones are called directly.
#ifndef PEARREACH_SRC_TIER_REGISTRY_DISSEMINATOR_H_
#define PEARREACH_SRC_TIER_REGISTRY_DISSEMINATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tier/control/time_source.h"
#include "tier/registry/edge_nodes.h"
#include "tier/registry/worker_messages.h"
#include "tier/rpc/transport.h"

namespace pearreach::registry {

// Owned by a WorkerRegistry; used on the event loop's thread only. Handles kWorkerUpdate.
class Disseminator {
 public:
  // Which nodes have the records, and whether these are all live edge nodes.
  struct Coverage {
    std::vector<std::uint64_t> nodes;  // HashOf of their names
    bool all = false;
  };
  using Done = std::function<void(const Coverage&)>;
  using UpdateHandler = std::function<void(const WorkerUpdate&)>;

  // All pointers outlive this. `update_handler` is called with the records that other nodes send.
  Disseminator(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes,
               UpdateHandler update_handler);

  // Sends to all other live edge nodes, and again to those that do not respond for up to `budget`.
  // `done` is called once, when all have the records or after `confirm_timeout`; null: unconfirmed.
  void Disseminate(const WorkerUpdate& update, Micros budget, Micros confirm_timeout, Done done);

 private:
  struct Run;

  void OnDisseminate(std::string_view body, const rpc::Respond& respond);
  std::shared_ptr<Run> StartRun(std::string update, Micros budget, Micros confirm_timeout,
                                Done done);
  void SendToRanges(const std::shared_ptr<Run>& run, const EdgeList& nodes);
  void SendToRange(const std::shared_ptr<Run>& run, EdgeList range);
  void SendToNode(const std::shared_ptr<Run>& run, const EdgeRef& node);
  void OnRangeResponse(const std::shared_ptr<Run>& run, const EdgeRef& relay, EdgeList rest,
                       const absl::StatusOr<std::string>& response);
  void CallNode(const std::shared_ptr<Run>& run, const EdgeRef& to, DisseminateRequest request,
                Micros timeout, rpc::Done done);

  control::TimeSource* time_;
  rpc::Transport* transport_;
  EdgeNodes* nodes_;
  UpdateHandler update_handler_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_DISSEMINATOR_H_
