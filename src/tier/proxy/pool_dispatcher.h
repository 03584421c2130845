// Admission for one service: feeds a dispatch::Dispatcher with placements (a job that wants one
// worker, once), carries its decisions to their clients, and replaces it by one with other settings
// without losing what it holds. Events of one turn of the loop go in together.
#ifndef PEARREACH_SRC_TIER_PROXY_POOL_DISPATCHER_H_
#define PEARREACH_SRC_TIER_PROXY_POOL_DISPATCHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/event_loop/timers.h"
#include "pearreach/dispatcher.h"
#include "tier/proxy/service_workers.h"

namespace pearreach::proxy {

using PlacementId = dispatch::RequestId;

// What jobs have in common that compete alike.
struct TrafficClass {
  int rank = 0;
  Micros target = 0;  // objective for the first byte
  bool streamed = false, bulk = false;
  bool operator==(const TrafficClass&) const = default;
};

struct Placement {
  TrafficClass traffic_class;
  Micros due = 0;  // a worker must be found by then
  // Workers that it profits from, the best one first: the first one with a free slot takes it.
  std::vector<dispatch::WorkerId> preferred;
};

class PlacementClient {
 public:
  virtual ~PlacementClient() = default;
  // It is to be sent to this worker now; its outcome is owed (Ended).
  virtual void OnPlaced(PlacementId placement, dispatch::WorkerId worker) = 0;
  // No worker was found for it; the placement is over.
  virtual void OnRefused(PlacementId placement, Micros retry_after) = 0;
};

// This node among those that share the workers.
struct FleetPosition {
  int nodes = 1, self = 0;
  bool operator==(const FleetPosition&) const = default;
};

class PoolDispatcher {
 public:
  PoolDispatcher(Timers* timers, ServiceWorkers* workers, std::string service, std::uint64_t seed);
  ~PoolDispatcher();
  PoolDispatcher(const PoolDispatcher&) = delete;
  PoolDispatcher& operator=(const PoolDispatcher&) = delete;

  void SetFleetPosition(FleetPosition share);
  void OnWorkers(std::vector<dispatch::WorkerEntry> changes);

  // The client hears from a later turn, never from inside the call.
  PlacementId Enqueue(const Placement& placement, PlacementClient* client);
  // It is wanted no more; only before OnPlaced.
  void Withdraw(PlacementId id);
  // The answer has begun; Progress: it goes on.
  void OnResponseBegun(PlacementId id);
  void OnProgress(PlacementId id);
  // A worker has told its load just now.
  void OnLoadReport(dispatch::WorkerId worker, const WorkerLoad& load);
  void OnEnded(PlacementId id, dispatch::Outcome outcome, Micros latency,
               const std::optional<WorkerLoad>& load);

  int queued_live() const { return queued_live_; }
  int queued_bulk() const { return queued_bulk_; }
  // The limit has not come to this node's part of the slots, and no worker was found full yet.
  bool limit_grows() const;
  // When a client that is refused now should come again.
  Micros RetryAfter();
  const FleetPosition& share() const { return position_; }

 private:
  struct Open {
    Placement placement;
    PlacementClient* client = nullptr;
    int number = 0;  // of its class in the settings
    bool out = false, began = false;
    dispatch::WorkerId worker = 0;
    Micros sent = 0;
  };

  void Post(dispatch::Event event);
  void ArmTurn();
  void SetTimer(Micros at);
  void Turn();
  void Rebuild(Micros now);
  void PostArrival(PlacementId id, const Open& open);
  void Apply(const dispatch::Action& action);
  void Place(const dispatch::Send& send);
  void Refuse(const dispatch::Refuse& refuse);
  void LogDecision(const dispatch::LogLine& line);
  void RemoveQueued(const Open& open);
  dispatch::Knowledge Learned(Micros now) const;
  void TeachSlots();
  int ClassNumber(const TrafficClass& traffic_class);
  void DropUnusedClasses();
  dispatch::Settings MakeSettings() const;

  Timers* timers_;
  ServiceWorkers* workers_;
  std::string service_;
  std::uint64_t seed_;
  FleetPosition position_;
  std::optional<dispatch::Dispatcher> dispatcher_;
  std::vector<TrafficClass> classes_;
  std::unordered_map<PlacementId, Open> open_;
  std::vector<dispatch::Event> events_;
  std::vector<dispatch::Action> actions_;
  PlacementId last_ = 0;
  int queued_live_ = 0, queued_bulk_ = 0;
  bool rebuild_ = true;        // the settings have changed
  bool limit_cut_ = false;     // workers were found full: the limit is learned
  double reported_slots_ = 0;  // largest worker that the module was told of
  Timers::Id turn_ = 0, timer_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_POOL_DISPATCHER_H_
