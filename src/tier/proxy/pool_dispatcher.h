// Admission for one service: passes placements (each asks for one worker for one attempt) to a
// dispatch::Dispatcher, reports its decisions to the clients, and replaces the dispatcher without
// losing state when the settings change. All events of one event loop iteration are handled
// together. Loop thread only.
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

// Properties that placements of one dispatcher class have in common.
struct TrafficClass {
  int rank = 0;
  Micros target = 0;  // latency target for the first byte, in microseconds
  bool streamed = false, bulk = false;
  bool operator==(const TrafficClass&) const = default;
};

struct Placement {
  TrafficClass traffic_class;
  Micros deadline = 0;  // a worker must be assigned by then
  // Preferred workers, best first: the first one with a free slot is chosen.
  std::vector<dispatch::WorkerId> preferred;
};

class PlacementClient {
 public:
  virtual ~PlacementClient() = default;
  // A worker was assigned and the request is to be sent now. The client must report the outcome
  // with OnEnded.
  virtual void OnPlaced(PlacementId placement, dispatch::WorkerId worker) = 0;
  // No worker is available; the placement has ended.
  virtual void OnRefused(PlacementId placement, Micros retry_after) = 0;
};

// Number of nodes that share the workers, and the index of this node among them.
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

  void SetFleetPosition(FleetPosition position);
  void OnWorkers(std::vector<dispatch::WorkerEntry> changes);

  // The client is called from a later event loop iteration, never from inside Enqueue.
  PlacementId Enqueue(const Placement& placement, PlacementClient* client);
  // Cancels a placement; allowed only before OnPlaced.
  void Withdraw(PlacementId id);
  // OnResponseBegun: the response has begun. OnProgress: more of it has arrived.
  void OnResponseBegun(PlacementId id);
  void OnProgress(PlacementId id);
  // A worker has just reported its load.
  void OnLoadReport(dispatch::WorkerId worker, const WorkerLoad& load);
  void OnEnded(PlacementId id, dispatch::Outcome outcome, Micros latency,
               const std::optional<WorkerLoad>& load);

  int queued_live() const { return queued_live_; }
  int queued_bulk() const { return queued_bulk_; }
  // Whether the concurrency limit is still below this node's share of the slots and no worker has
  // been full yet.
  bool IsLimitGrowing() const;
  // Time after which a client that is refused now should retry, with jitter.
  Micros RetryAfter();
  const FleetPosition& fleet_position() const { return position_; }

 private:
  struct OpenPlacement {
    Placement placement;
    PlacementClient* client = nullptr;
    int class_index = 0;  // index into classes_ and into the settings' classes
    bool placed = false, response_begun = false;
    dispatch::WorkerId worker = 0;
    Micros placed_at = 0;
  };

  void Post(dispatch::Event event);
  void ScheduleRun();
  void SetTimer(Micros at);
  void Run();
  void Rebuild(Micros now);
  void PostArrival(PlacementId id, const OpenPlacement& open);
  void Apply(const dispatch::Action& action);
  void Place(const dispatch::Send& send);
  void Refuse(const dispatch::Refuse& refuse);
  void LogDecision(const dispatch::LogLine& line);
  void RemoveQueued(const OpenPlacement& open);
  dispatch::Knowledge LearnedKnowledge(Micros now) const;
  void ReportLargestCapacity();
  int ClassIndex(const TrafficClass& traffic_class);
  void DropUnusedClasses();
  dispatch::Settings MakeSettings() const;

  Timers* timers_;
  ServiceWorkers* workers_;
  std::string service_;
  std::uint64_t seed_;
  FleetPosition position_;
  std::optional<dispatch::Dispatcher> dispatcher_;
  std::vector<TrafficClass> classes_;
  std::unordered_map<PlacementId, OpenPlacement> open_;
  std::vector<dispatch::Event> events_;
  std::vector<dispatch::Action> actions_;
  PlacementId last_id_ = 0;
  int queued_live_ = 0, queued_bulk_ = 0;
  // The settings have changed; the dispatcher is replaced in the next run.
  bool rebuild_needed_ = true;
  bool limit_cut_ = false;        // the dispatcher has reduced its limit because workers were full
  double reported_capacity_ = 0;  // largest worker capacity reported to the dispatcher
  Timers::Id run_timer_ = 0, decision_timer_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_POOL_DISPATCHER_H_
