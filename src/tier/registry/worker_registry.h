// The registry of workers: takes their heartbeats and departures at every control node and
// disseminates changes to all edge nodes. One edge node, the worker's heartbeat receiver, keeps its
// heartbeats; the others learn only of changes, many workers in one message. That a worker drains
// or departs is acknowledged only once every live edge node knows it, or a bound within `drain_ms`
// has passed, and enough quorum members have it on their disks.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/control/api_router.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/registry/anti_entropy.h"
#include "tier/registry/departure_log.h"
#include "tier/registry/departure_replicator.h"
#include "tier/registry/disseminator.h"
#include "tier/registry/edge_nodes.h"
#include "tier/registry/heartbeat.h"
#include "tier/registry/table_publisher.h"
#include "tier/registry/update_batcher.h"
#include "tier/registry/worker_state.h"
#include "tier/registry/worker_table.h"
#include "tier/rpc/transport.h"
#include "tier/settings/node_settings.h"

namespace pearreach::registry {

// Owned by the node; used on the event loop's thread only. The tables it hands out are immutable.
class WorkerRegistry : public WorkerSource {
 public:
  // `disk`: of a quorum member, else null. `wall_ms`: milliseconds since 1970. All pointers outlive
  // this.
  WorkerRegistry(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
                 control::ControlClient* control, const settings::NodeSettings& settings,
                 storage::TableStore* disk, std::function<std::int64_t()> wall_ms);

  // Adds POST /Workers.Heartbeat/ID and POST /Workers.Departure/ID to the router.
  void RegisterCalls(control::ApiRouter* router);
  // Responds 200 with the address to send further heartbeats to, 400 for a malformed body, and for
  // a worker that drains 503 if too few other nodes can be reached.
  void OnHeartbeat(std::shared_ptr<http_server::Exchange> exchange, const std::string& worker_id);
  // Responds 200, or 503 if too few other nodes can be reached.
  void OnDeparture(const std::shared_ptr<http_server::Exchange>& exchange,
                   const std::string& worker_id);

  std::shared_ptr<const WorkerTable> Workers() const override { return publisher_.table(); }
  void OnChange(std::function<void()> listener) override {
    publisher_.OnChange(std::move(listener));
  }

 private:
  // `reached`: some other node has the update, if there are others, and this node is not on the
  // minority side of a network partition.
  using DisseminationDone = std::function<void(bool reached)>;

  void OnReadyHeartbeat(const WorkerRecord& record, bool changed);
  void OnForwardedHeartbeat(std::string_view body, const rpc::Respond& respond);
  void ForwardHeartbeat(const WorkerRecord& record);
  std::string ReceiverOf(const WorkerRecord& record);
  void Import(const WorkerUpdate& update);
  // Takes over what an earlier process has kept, and tells the other nodes once there are some.
  void RestoreDepartures();
  // A worker that drains or has departed is known here in a later phase than its caller says.
  bool IsOutdated(const WorkerRecord& record) const;
  // Sends the record of a worker that drains or has departed to all live edge nodes, and to the
  // disks of the quorum members.
  void DisseminateDeparture(const std::string& worker_id, DisseminationDone done);
  // Whether this node reaches a majority of the control state's members now.
  void ConfirmQuorumContact(DisseminationDone done);
  void Acknowledge(http_server::Exchange* exchange, const std::string& worker_id);
  void RespondToDeparture(http_server::Exchange* exchange, const std::string& worker_id,
                          bool reached);
  void Tick();

  const std::unique_ptr<control::TimeSource> time_;
  rpc::Transport* const transport_;
  control::ControlClient* const control_;
  EdgeNodes nodes_;
  const std::string control_port_;  // the same on all machines
  const Micros period_;             // between checks for expired workers
  const Micros ack_timeout_;        // longest wait for other nodes before a departure is answered
  const Micros dissemination_budget_;  // for how long an update is sent to nodes that lack it
  WorkerState state_;
  TablePublisher publisher_;
  // Requests of draining workers, by worker, until the dissemination has ended.
  std::map<std::string, std::vector<std::shared_ptr<http_server::Exchange>>> pending_acks_;
  std::set<std::string> disseminated_departures_;  // workers whose draining all live nodes know
  control::CallbackOwner callbacks_;
  Disseminator disseminator_;
  UpdateBatcher batcher_;
  AntiEntropy anti_entropy_;
  const std::unique_ptr<DepartureLog> departure_log_;  // null without a disk
  DepartureReplicator departure_replicator_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_REGISTRY_H_
