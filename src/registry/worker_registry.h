// The registry of workers: takes their heartbeats and departures at every control node and brings
// changes to all edge nodes. A worker's leaving is acknowledged only once every edge node that is
// alive knows of it, or a bound within `ack_ms` has passed.
#ifndef PEARREACH_SRC_REGISTRY_WORKER_REGISTRY_H_
#define PEARREACH_SRC_REGISTRY_WORKER_REGISTRY_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/timers.h"
#include "control/api_router.h"
#include "control/control_client.h"
#include "mesh/mesh.h"
#include "registry/worker_state.h"
#include "registry/worker_table.h"
#include "settings/node_settings.h"

namespace pearreach::registry {

// Reads the body of a heartbeat; `now` turns the spans that it tells into times.
absl::StatusOr<WorkerRecord> ParseHeartbeat(const std::string& worker_id, const std::string& json,
                                            Micros now);

class WorkerRegistry : public WorkerSource {
 public:
  WorkerRegistry(Timers* timers, mesh::Mesh* mesh, control::ControlClient* control,
                 const settings::NodeSettings& settings);

  void RegisterCalls(control::ApiRouter* router);

  std::shared_ptr<const WorkerTable> Workers() const override { return table_; }
  void OnChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  // Workers of a service that reported themselves, or another node did (a 421 or a refused
  // connection at its address says that it has ended).
  void ReportGone(const std::string& worker_id);

 private:
  struct Spread;  // one change on its way to all edge nodes
  // Whether any other node has it, where there are others.
  using SpreadDone = std::function<void(bool reached)>;

  void OnHeartbeat(std::shared_ptr<front::Exchange> exchange, const std::string& worker_id);
  void OnDeparture(std::shared_ptr<front::Exchange> exchange, const std::string& worker_id);
  void OnUpdate(std::string_view body, const mesh::Respond& respond);
  void OnSummary(std::string_view body, const mesh::Respond& respond);
  void Import(const WorkerUpdate& update);
  void Changed();
  // Tells all live edge nodes; `done` when each has acknowledged or the bound has passed.
  void Broadcast(const std::string& worker_id, SpreadDone done);
  void Acknowledge(front::Exchange* exchange, const std::string& worker_id);
  void AnswerLeaving(front::Exchange* exchange, const std::string& worker_id, bool reached);
  std::string BeatTarget(const std::string& worker_id) const;
  void SendTo(const std::shared_ptr<Spread>& spread, const std::string& node);
  void Tick();
  void SendSummaries();
  void AskForAll();
  std::vector<std::string> LiveEdges() const;
  std::string AddressOf(const std::string& node) const;

  Timers* const timers_;
  mesh::Mesh* const mesh_;
  control::ControlClient* const control_;
  const std::string self_;
  const std::string control_port_;  // the same on all machines
  const Micros period_;             // between summaries
  const Micros ack_bound_;          // longest wait for the others before a leaving is acknowledged
  const Micros spread_bound_;
  WorkerState state_;
  std::shared_ptr<const WorkerTable> table_ = std::make_shared<WorkerTable>();
  std::vector<std::function<void()>> listeners_;
  std::set<std::string> heard_;  // since the last summary
  std::map<std::string, std::vector<std::shared_ptr<front::Exchange>>> waiting_;  // by worker
  std::set<std::string> spread_;  // workers whose leaving has been brought to all
  bool has_all_ = false;          // some node has told all that it knows
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_REGISTRY_WORKER_REGISTRY_H_
