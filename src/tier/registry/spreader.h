// Brings records to all live edge nodes over a tree: the nodes stand in a common order, the sender
// cuts them into a few consecutive ranges and hands each to one node of it, which goes on in the
// same way. A range whose node does not answer goes to another one of it. A spread may be
// confirmed: then each answer names the nodes that have the records, and whoever is missing is
// called directly.
#ifndef PEARREACH_SRC_TIER_REGISTRY_SPREADER_H_
#define PEARREACH_SRC_TIER_REGISTRY_SPREADER_H_

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

class Spreader {
 public:
  // What a spread has brought about: those that have it, and whether that is everybody.
  struct Reached {
    std::vector<std::uint64_t> nodes;  // HashOf their names
    bool all = false;
  };
  using Done = std::function<void(const Reached&)>;
  using Take = std::function<void(const WorkerUpdate&)>;

  // `take` is handed what comes from other nodes.
  Spreader(control::TimeSource* time, rpc::Transport* transport, EdgeNodes* nodes, Take take);

  // To all other live edge nodes. Goes on for `budget`; `done` (may be null: unconfirmed) is called
  // once, when all have it or after `answer_within`.
  void Spread(const WorkerUpdate& update, Micros budget, Micros answer_within, Done done);

 private:
  struct Run;

  void OnSpread(std::string_view body, const rpc::Respond& respond);
  std::shared_ptr<Run> Begin(std::string update, Micros budget, Micros answer_within, Done done);
  void Cover(const std::shared_ptr<Run>& run, const EdgeList& nodes);
  void CoverRange(const std::shared_ptr<Run>& run, EdgeList range);
  void CoverOne(const std::shared_ptr<Run>& run, const EdgeRef& node);
  void RangeAnswered(const std::shared_ptr<Run>& run, const EdgeRef& relay, EdgeList rest,
                     const absl::StatusOr<std::string>& answer);
  void Send(const std::shared_ptr<Run>& run, const EdgeRef& to, DisseminateRequest request,
            Micros timeout, rpc::Done done);

  control::TimeSource* time_;
  rpc::Transport* transport_;
  EdgeNodes* nodes_;
  Take take_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_SPREADER_H_
