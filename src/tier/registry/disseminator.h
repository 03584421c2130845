// Brings records to all live edge nodes over a tree: the nodes stand in a common order, the sender
// cuts them into a few consecutive ranges and hands each to one node of it, which goes on in the
// same way. A range whose node does not answer goes to another one of it. A spread may be
// confirmed: then each answer names the nodes that have the records, and whoever is missing is
// called directly.
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

class Disseminator {
 public:
  // What a spread has brought about: those that have it, and whether that is everybody.
  struct Coverage {
    std::vector<std::uint64_t> nodes;  // HashOf their names
    bool all = false;
  };
  using Done = std::function<void(const Coverage&)>;
  using UpdateHandler = std::function<void(const WorkerUpdate&)>;

  // `take` is handed what comes from other nodes.
  Disseminator(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes,
               UpdateHandler update_handler);

  // To all other live edge nodes. Goes on for `budget`; `done` (may be null: unconfirmed) is called
  // once, when all have it or after `confirm_timeout`.
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
