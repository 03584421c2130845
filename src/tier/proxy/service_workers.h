// The workers of one service as this node uses them: small numbers for the decision module, their
// connections, what is out at them and what they told of their load.
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

// What X-Worker-Load says.
struct WorkerLoad {
  double running = 0, waiting = 0, slots = 0;
};
std::optional<WorkerLoad> ReadWorkerLoad(const ResponseHead& head);

struct ServiceWorker {
  registry::WorkerRecord record;
  std::shared_ptr<WorkerConnections> connections;
  int in_flight = 0;             // attempts of this node
  bool present = false;          // in the table, and not dropped
  std::uint64_t dropped_at = 0;  // call_seq at which it was found to be another; 0: it was not
  Micros dropped_until = 0;      // then it is tried again, if the table has it still
  WorkerLoad load;
  Micros load_at = 0;                // 0: it never told
  PrefixCacheEstimate prefix_cache;  // of what this node sent there
  double prefill_tokens = 0;         // of prompts sent there that no event has answered yet
};

class ServiceWorkers {
 public:
  ServiceWorkers(Timers* timers, std::string own_zone);

  // Between these, one call a worker of the service in the table; EndUpdate gives what has changed.
  void BeginUpdate();
  void Update(const registry::WorkerRecord& record);
  std::vector<dispatch::WorkerEntry> EndUpdate();
  std::vector<dispatch::WorkerEntry> Everything() const;

  ServiceWorker* Find(dispatch::WorkerId id);
  // Another worker answered at its address: nothing more goes there for a while, or until it is
  // heard of anew.
  std::vector<dispatch::WorkerEntry> DropWorker(dispatch::WorkerId id);
  void RecordLoad(dispatch::WorkerId id, const WorkerLoad& load);

  bool empty() const { return by_id_.empty(); }
  double ready_slots() const { return ready_slots_; }
  int ready_count() const { return ready_count_; }
  double largest_capacity() const { return largest_capacity_; }
  std::optional<dispatch::WorkerId> largest() const { return largest_; }
  // When the next worker that warms up is warm, or one that was dropped is tried again; 0: none.
  Micros next_warm() const { return next_warm_; }
  // The workers in service that are the first ones of a prompt prefix, the same at every node: the
  // order is by a hash of prefix and worker, so that it changes little with the workers.
  std::vector<dispatch::WorkerId> PreferredWorkersOf(std::uint64_t prefix_key,
                                                     std::size_t max_count) const;
  // Share of its slots in use, by what this node has out there and what the worker told last.
  double Fill(dispatch::WorkerId id, Micros now) const;
  // Attempts of this node under way.
  int InFlight() const;
  // Slots taken at ready workers as far as is known; `told`: some load report is fresh.
  double SlotsTaken(Micros now, bool* has_fresh_report) const;

 private:
  struct Known {
    dispatch::WorkerId number = 0;
    std::uint64_t update = 0;
  };

  dispatch::WorkerId Number(const registry::WorkerRecord& record);
  dispatch::WorkerEntry Entry(dispatch::WorkerId id, Micros now) const;
  void Count(Micros now);
  double Taken(const ServiceWorker& worker, Micros now, bool* has_fresh_report) const;
  int Zone(const std::string& zone);

  Timers* timers_;
  std::map<std::string, int> zones_;  // the own one is 0
  std::vector<ServiceWorker> workers_;
  std::vector<dispatch::WorkerEntry> reported_;  // what the decision module was told last
  std::vector<dispatch::WorkerId> free_;
  std::unordered_map<std::string, Known> by_id_;
  std::uint64_t update_ = 0;
  double ready_slots_ = 0, largest_capacity_ = 0;
  int ready_count_ = 0;
  std::optional<dispatch::WorkerId> largest_;
  Micros next_warm_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_SERVICE_WORKERS_H_
