// Judgements on match workers that the fleet shares: silent, dead, failing, slow, well again, each
// with who saw it, when and of which start of the worker. It owns what this node has seen of each
// worker and what others said of theirs; it has no socket and no clock, must never let one zone's
// hearsay take a worker out of use, nor hearsay more than a stated share of them, and never put
// hearsay before this node's own fresh evidence.
//
// The merge of two words of one witness on one worker is the later one, by process and number: it
// does not depend on their order, number or loss. A word counts for the start of the worker that it
// names, and fades by age. Who may try a worker that is out is drawn alike at all nodes: one at a
// time, from those alive.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearreach::shared_state {

using Micros = std::int64_t;  // Unix time

enum class HealthStatus : std::uint8_t { kHealthy, kSlow, kFailing, kSilent, kDead };
const char* NameOf(HealthStatus verdict);

struct WorkerHealthOptions {
  int self = 0, nodes = 1, zone = 0;
  int zones = 1;                        // that the fleet's nodes are in
  Micros accept_timeout = 500'000;      // a job that no word is heard of for so long: silent
  Micros silence_timeout = 2'500'000;   // the same while jobs run there
  Micros report_ttl = 10'000'000;       // a word counts for so long
  Micros own_evidence_ttl = 1'000'000;  // own evidence of life outweighs hearsay for so long
  Micros probe_interval = 1'000'000;    // one node at a time may try for so long
  int min_reporters = 2;                // that say so, at least, this node being one of them or not
  double max_ejected_fraction = 0.3;    // of the workers of a kind, by hearsay
  double failure_threshold = 0.3,
         slowness_threshold = 4;  // shares of jobs that fail; running time over what is usual
  int min_jobs = 8;               // that either rests on
};

// A worker is named by a hash of its id, the same at every node.
using WorkerKey = std::uint32_t;

struct HealthReport {
  WorkerKey worker = 0;
  std::int64_t worker_start_ms =
      0;  // of the worker's process that it is about, Unix ms; 0: long ago
  int reporter = 0, reporter_zone = 0;
  std::uint64_t reporter_process = 0;  // of the witness
  std::uint32_t sequence = 0;          // a later one of one process replaces it
  HealthStatus status = HealthStatus::kHealthy;
  Micros observed_at = 0;  // when it was seen
  bool operator==(const HealthReport&) const = default;
};
// Whether `a` is the later word of one witness on one worker.
bool Later(const HealthReport& a, const HealthReport& b);

// What stands about a worker.
struct WorkerStatus {
  WorkerKey worker = 0;
  bool ejected = false;  // of use, by what others say
  bool probe = false;    // but this node is to try it now
  bool cold = false;     // a process that died, though the list does not say so yet
  HealthStatus status = HealthStatus::kHealthy;
  Micros observed_at = 0;           // of the latest word that it rests on
  std::vector<int> reporters = {};  // nodes
  bool operator==(const WorkerStatus&) const = default;
};

class WorkerHealth {
 public:
  enum class JobOutcome { kServed, kFailed, kNoConnection, kReset, kTimedOut };

  WorkerHealth(WorkerHealthOptions options, std::uint64_t process);

  // The list's word: workers not named are forgotten with what was said of them.
  void OnListed(WorkerKey worker, int kind, std::int64_t start, bool in_service);
  void OnUnlisted(WorkerKey worker);

  // This node's own evidence.
  void OnJobSent(Micros now, WorkerKey worker);
  void OnWorkerResponse(Micros now, WorkerKey worker);
  // `slowness`: running time over what is usual there; 0: not known.
  void OnJobEnded(Micros now, WorkerKey worker, JobOutcome end, double slowness);

  // False: nothing new in it.
  bool Merge(Micros now, const HealthReport& opinion);
  // Looks at all workers, `alive` being the other nodes that are; what changed since the last look.
  std::vector<WorkerStatus> Update(Micros now, const std::vector<int>& alive);
  // Words to say, those that fewest have heard first; each counts as said once.
  std::vector<HealthReport> TakeReportsToSend(Micros now, std::size_t most);

  HealthStatus own_status(WorkerKey worker) const;
  Micros own_status_at(WorkerKey worker) const;  // when that was seen; 0: nothing was
  std::vector<HealthReport> reports(WorkerKey worker) const;
  const std::map<WorkerKey, WorkerStatus>& statuses() const { return standing_; }
  std::size_t workers() const { return workers_.size(); }
  std::size_t bytes() const;

 private:
  struct Worker {
    bool listed = false, in_service = false;
    int kind = 0;
    std::int64_t start = 0;
    // Own evidence of this start.
    Micros heard = 0, unheard_since = 0;  // the first send since the last word
    Micros busy_since = 0;                // jobs run there without a break
    int out = 0, refused = 0, jobs = 0;
    double failures = 0, slowness = 1;
    Micros died = 0;
    HealthReport mine;
    std::map<int, HealthReport> others;  // by witness
    std::map<int, int> said;             // by witness: how often it has gone out
  };

  void Judge(Micros now, WorkerKey key, Worker* w, HealthStatus verdict);
  void Renew(Worker* w);
  int Enough() const;  // times that a word goes out from each node
  int TrierOf(Micros now, WorkerKey worker, const std::vector<int>& alive) const;

  WorkerHealthOptions options_;
  std::uint64_t process_;
  std::uint32_t number_ = 0;
  std::map<WorkerKey, Worker> workers_;
  std::map<WorkerKey, WorkerStatus> standing_;  // those that are not as if nothing were said
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
