// The node's part in the fleet, made from the configuration and the operator's file.
#ifndef PEARREACH_SRC_NODE_CLI_FLEET_SETUP_H_
#define PEARREACH_SRC_NODE_CLI_FLEET_SETUP_H_

#include <memory>
#include <string>

#include "node/config/config.h"
#include "node/config/operator.h"
#include "node/engine/node.h"
#include "node/fleet/fleet.h"

namespace pearreach::cli {

// Where the operator's file asks for words with other nodes, and the configuration and the
// platform's settings give what they need; else null: one line says what is missing, and the node
// serves without. `file`: the operator's, for complaints. Throws dispatch::Malformed where the two
// do not fit together.
std::unique_ptr<Fleet> MakeFleet(const OperatorSettings& settings, const std::string& file,
                                 const Config& config, Node* node);

// What the node sees of workers, told to the fleet.
class FleetWitness : public WorkerObserver {
 public:
  explicit FleetWitness(Fleet* fleet) : fleet_(fleet) {}
  void OnListed(const std::string& worker, const ListedWorker& as) override {
    fleet_->WorkerListed(worker, {as.zone, as.kind, as.weight, as.started_ms, as.in_service});
  }
  void OnGone(const std::string& worker) override { fleet_->WorkerGone(worker); }
  void OnSent(const std::string& worker) override { fleet_->WorkerSent(worker); }
  void OnAttemptUpdate(const std::string& worker) override { fleet_->WorkerHeard(worker); }
  void OnEnded(const std::string& worker, dispatch::Outcome outcome, int cls, Micros run) override {
    using End = shared_state::WorkerHealth::JobOutcome;
    using dispatch::Outcome;
    // A cancel is this node's own; a job turned away was answered, which is life.
    if (outcome == Outcome::kFull) fleet_->WorkerHeard(worker);
    fleet_->WorkerEnded(worker,
                        outcome == Outcome::kGood           ? End::kServed
                        : outcome == Outcome::kError        ? End::kFailed
                        : outcome == Outcome::kNoConnection ? End::kNoConnection
                        : outcome == Outcome::kReset        ? End::kReset
                                                            : End::kTimedOut,
                        cls, run);
  }

 private:
  Fleet* fleet_;
};

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_FLEET_SETUP_H_
