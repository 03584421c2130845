// The registry of workers: takes their heartbeats and departures at every control node and brings
// changes to all edge nodes. Heartbeats stay with one node, the worker's taker, which tells the
// others of what changes, many workers in one message. A worker's leaving is acknowledged only once
// every edge node that is alive knows of it, or a bound within `drain_ms` has passed.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/control/api_router.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/registry/anti_entropy.h"
#include "tier/registry/disseminator.h"
#include "tier/registry/edge_nodes.h"
#include "tier/registry/worker_state.h"
#include "tier/registry/worker_table.h"
#include "tier/rpc/transport.h"
#include "tier/settings/node_settings.h"

namespace pearreach::registry {

// Reads the body of a heartbeat; `now` turns the spans that it tells into times.
absl::StatusOr<WorkerRecord> ParseHeartbeat(const std::string& worker_id, const std::string& json,
                                            Micros now);

class WorkerRegistry : public WorkerSource {
 public:
  // All pointers outlive this.
  WorkerRegistry(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
                 const settings::NodeSettings& settings);
  WorkerRegistry(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
                 control::ControlClient* control, const settings::NodeSettings& settings);

  void RegisterCalls(control::ApiRouter* router);
  void OnHeartbeat(std::shared_ptr<http_server::Exchange> exchange, const std::string& worker_id);
  void OnDeparture(std::shared_ptr<http_server::Exchange> exchange, const std::string& worker_id);

  std::shared_ptr<const WorkerTable> Workers() const override { return table_; }
  void OnChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }

 private:
  // Whether any other node has it, where there are others, and this one is no part of the system
  // that is cut off from the rest.
  using DisseminationDone = std::function<void(bool reached)>;

  void OnReadyHeartbeat(const WorkerRecord& record, bool changed);
  void OnForwardedHeartbeat(std::string_view body, const rpc::Respond& respond);
  void ForwardHeartbeat(const WorkerRecord& record);
  std::string ReceiverOf(const WorkerRecord& record);
  void Import(const WorkerUpdate& update);
  // Swaps the table: at once if `urgent`, else together with what comes soon after.
  void ScheduleSwap(bool urgent);
  void SwapTable();
  // Tells all live edge nodes of a worker that leaves.
  void DisseminateDeparture(const std::string& worker_id, DisseminationDone done);
  // Whether this node reaches a majority of the control state's members right now.
  void ConfirmQuorumContact(DisseminationDone done);
  // Tells them of others, together with what comes soon after.
  void QueueUpdate(const std::string& worker_id);
  void DisseminateQueued();
  void Acknowledge(http_server::Exchange* exchange, const std::string& worker_id);
  void RespondToDeparture(http_server::Exchange* exchange, const std::string& worker_id,
                          bool reached);
  void Tick();

  const std::unique_ptr<control::TimeSource> time_;
  rpc::Transport* const transport_;
  control::ControlClient* const control_;
  EdgeNodes nodes_;
  const std::string control_port_;  // the same on all machines
  const Micros period_;             // between looks at what has expired
  const Micros ack_timeout_;        // longest wait for the others before a leaving is acknowledged
  const Micros dissemination_budget_;  // the spreading goes on for so long
  WorkerState state_;
  std::shared_ptr<const WorkerTable> table_ = std::make_shared<WorkerTable>();
  std::vector<std::function<void()>> listeners_;
  std::map<std::string, std::vector<std::shared_ptr<http_server::Exchange>>>
      pending_acks_;                               // by worker
  std::set<std::string> disseminated_departures_;  // workers whose leaving has been brought to all
  std::set<std::string> queued_;                   // workers to tell the others of
  Timers::Id dissemination_timer_ = 0, swap_timer_ = 0;
  Micros disseminated_at_ = 0, swapped_at_ = 0;
  control::CallbackOwner callbacks_;
  Disseminator disseminator_;
  AntiEntropy anti_entropy_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_
