// The state that the nodes of a fleet share: usage counters per account, budgets and the health of
// match workers. A state machine without sockets or clock: its output depends only on the calls and
// the times passed in. It owns the three parts and decides which of their data each message
// carries; it must never act on a message beyond what the parts allow.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_

#include <string>
#include <string_view>
#include <vector>

#include "node/shared_state/words.h"

namespace pearreach::shared_state {

struct SharedStateOptions {
  int self = 0, nodes = 1, zone = 0, zones = 1;
  // Per account: jobs per second over all nodes. Budgets 0 to quotas.size() - 1 belong to them.
  std::vector<double> quotas;
  double retry_limit = 0;          // clients' retries per second over all nodes; 0: unlimited
  Micros send_interval = 250'000;  // between rounds of messages
  int fanout = 8;                  // receivers per round
  std::size_t max_message_bytes = 200;
  Micros lease = 2'000'000;    // of grants; that of ceilings is half as long
  Micros window = 10'000'000;  // of usage estimates
  Micros skew = 50'000;        // largest difference between two machines' clocks
  double floor = 0.5;          // fraction of a node's even share that it never lends
  WorkerHealthOptions health;  // self, nodes, zone and zones are set from the fields above
};

// Counters since the start of the process.
struct SharedStateStats {
  std::uint64_t messages_sent = 0, malformed = 0, updates_merged = 0, requests_sent = 0,
                grants_sent = 0, grants_received = 0, entries_omitted = 0, rejected_by_ceiling = 0,
                rejected_by_retry_limit = 0;
};

class SharedState {
 public:
  struct OutgoingMessage {
    int to = 0;
    std::string section;
  };
  // The admission decision for a job, before the dispatch module sees it.
  struct Admission {
    bool rejected = false;
    bool over_quota = false;
    Micros retry_after = 0;  // if rejected: time until there is room
  };

  SharedState(SharedStateOptions options, std::uint64_t process, std::uint64_t seed, Micros now);

  // `account` < 0: the job counts for no account. `is_repeat`: the client retries an earlier job.
  Admission Admit(Micros now, int account, bool is_repeat);

  Micros next_tick() const { return next_tick_; }
  // Appends the messages that are due. `alive`: the other nodes that membership reports as alive.
  void Tick(Micros now, const std::vector<int>& alive, std::vector<OutgoingMessage>* out);
  // Merges a message and appends the grants that answer its requests.
  void OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<OutgoingMessage>* out);

  UsageCounters& usage() { return usage_; }
  Budgets& budgets() { return budgets_; }
  WorkerHealth& health() { return health_; }
  const UsageCounters& usage() const { return usage_; }
  const Budgets& budgets() const { return budgets_; }
  const WorkerHealth& health() const { return health_; }
  const SharedStateStats& stats() const { return stats_; }
  std::uint64_t process() const { return process_; }
  // Whether another node has sent a lower quota than this node's settings have.
  bool limits_differ() const { return limits_differ_; }

 private:
  void QueueMessage(Micros now, int to, std::vector<QuotaRequest> requests,
                    std::vector<Grant> grants, std::vector<OutgoingMessage>* out);

  SharedStateOptions options_;
  std::uint64_t process_;
  UsageCounters usage_;
  Budgets budgets_;
  WorkerHealth health_;
  SharedStateStats stats_;
  Micros next_tick_ = 0;
  std::size_t next_peer_ = 0;     // index of the next receiver
  std::size_t next_account_ = 0;  // first account in the next message
  std::size_t next_relayed_ = 0;  // position in the other nodes' usage to relay next
  bool limits_differ_ = false;
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_SHARED_H_
