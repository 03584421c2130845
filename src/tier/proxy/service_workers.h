// The workers of one service as used by this node: their numbers in the dispatcher, connections,
// requests in flight and reported load. Loop thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_SERVICE_WORKERS_H_
#define PEARREACH_SRC_TIER_PROXY_SERVICE_WORKERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/event_loop/timers.h"
#include "pearreach/dispatcher.h"
#include "tier/proxy/prefix_cache_estimate.h"
#include "tier/proxy/response_reader.h"
#include "tier/proxy/worker_connections.h"
#include "tier/registry/worker_table.h"

namespace pearreach::proxy {

// The three values of X-Worker-Load.
struct WorkerLoad {
  double running = 0, waiting = 0, slots = 0;
};
std::optional<WorkerLoad> ReadWorkerLoad(const ResponseHead& head);

struct ServiceWorker {
  registry::WorkerRecord record;
  std::shared_ptr<WorkerConnections> connections;
  int in_flight = 0;     // attempts of this node in flight
  bool present = false;  // listed in the worker table and not dropped
  // The record's call_seq when a different worker responded at its address; 0: not dropped.
  std::uint64_t dropped_at = 0;
  Micros dropped_until = 0;  // the worker is tried again then if it is still listed
  WorkerLoad load;
  Micros load_reported_at = 0;       // 0: no load reported yet
  PrefixCacheEstimate prefix_cache;  // from the requests that this node sent
  double prefill_tokens = 0;         // of prompts without a first response event yet
};

class ServiceWorkers {
 public:
  ServiceWorkers(Timers* timers, std::string own_zone);

  // An update consists of BeginUpdate, one Update for each worker of the service in the worker
  // table, and EndUpdate, which returns the changed entries.
  void BeginUpdate();
  void Update(const registry::WorkerRecord& record);
  std::vector<dispatch::WorkerEntry> EndUpdate();
  std::vector<dispatch::WorkerEntry> AllEntries() const;

  ServiceWorker* Find(dispatch::WorkerId id);
  // Takes a worker out of service because a different worker responded at its address, until a
  // pause is over or it sends a new heartbeat.
  std::vector<dispatch::WorkerEntry> DropWorker(dispatch::WorkerId id);
  void RecordLoad(dispatch::WorkerId id, const WorkerLoad& load);

  bool empty() const { return by_id_.empty(); }
  double ready_slots() const { return ready_slots_; }
  int ready_count() const { return ready_count_; }
  double largest_capacity() const { return largest_capacity_; }
  std::optional<dispatch::WorkerId> largest() const { return largest_; }
  // Time at which the next worker ends its warm-up or a dropped worker is tried again; 0: none.
  Micros next_refresh_at() const { return next_refresh_at_; }
  // The preferred workers for a prompt prefix, the same at every node. The order is by a hash of
  // prefix and worker (rendezvous hashing), so it changes little when workers are added or removed.
  std::vector<dispatch::WorkerId> PreferredWorkersOf(std::uint64_t prefix_key,
                                                     std::size_t max_count) const;
  // Fraction of the worker's slots in use, estimated from this node's requests and the last load
  // report.
  double Utilization(dispatch::WorkerId id, Micros now) const;
  // Attempts of this node in flight at all workers of the service.
  int InFlight() const;
  // Estimated number of slots in use at ready workers. `has_fresh_report`: set to whether any load
  // report is recent.
  double SlotsTaken(Micros now, bool* has_fresh_report) const;

 private:
  struct NumberedWorker {
    dispatch::WorkerId number = 0;
    std::uint64_t update = 0;
  };

  dispatch::WorkerId AssignNumber(const registry::WorkerRecord& record);
  dispatch::WorkerEntry Entry(dispatch::WorkerId id, Micros now) const;
  void UpdateTotals(Micros now);
  double EstimateSlotsTaken(const ServiceWorker& worker, Micros now, bool* has_fresh_report) const;
  int ZoneNumber(const std::string& zone);

  Timers* timers_;
  std::map<std::string, int> zones_;  // this node's zone is 0
  std::vector<ServiceWorker> workers_;
  std::vector<dispatch::WorkerEntry> reported_;  // last state reported to the dispatcher
  std::vector<dispatch::WorkerId> free_numbers_;
  std::unordered_map<std::string, NumberedWorker> by_id_;
  std::uint64_t update_ = 0;
  double ready_slots_ = 0, largest_capacity_ = 0;
  int ready_count_ = 0;
  std::optional<dispatch::WorkerId> largest_;
  Micros next_refresh_at_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_SERVICE_WORKERS_H_
