// Health of match workers, shared by the fleet: reports that a worker is silent, dead, failing,
// slow or healthy again, each with the reporting node, the time and the worker process that it is
// about. It owns what this node has observed of each worker and the reports of other nodes; it has
// no socket and no clock. Reports from one zone alone must never eject a worker, reports must never
// eject more than a set fraction of the workers, and they never override this node's own recent
// evidence.
//
// Of two reports by one reporter about one worker, the later by process and sequence number wins,
// so that the merge does not depend on the order, number or loss of messages. A report applies to
// the worker process that it names and expires with age. Which node may probe an ejected worker is
// chosen by a hash that is the same at all nodes: one of the nodes that are alive at a time.
#ifndef PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
#define PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearreach::shared_state {

using Micros = std::int64_t;  // Unix time

enum class HealthStatus : std::uint8_t { kHealthy, kSlow, kFailing, kSilent, kDead };
const char* NameOf(HealthStatus status);

struct WorkerHealthOptions {
  int self = 0, nodes = 1, zone = 0;
  int zones = 1;                        // of the fleet's nodes
  Micros accept_timeout = 500'000;      // silent if a job gets no response for this long
  Micros silence_timeout = 2'500'000;   // silent if running jobs send nothing for this long
  Micros report_ttl = 10'000'000;       // lifetime of a report
  Micros own_evidence_ttl = 1'000'000;  // a response to this node overrides reports for this long
  Micros probe_interval = 1'000'000;    // the probing node changes at this interval
  int min_reporters = 2;                // nodes, this one included, needed to eject a worker
  double max_ejected_fraction = 0.3;    // of the workers of a kind
  double failure_threshold = 0.3,       // fraction of jobs that fail
      slowness_threshold = 4;           // running time relative to the usual one
  int min_jobs = 8;                     // needed for either of the two thresholds
};

// Identifies a worker: a hash of its id, the same at every node.
using WorkerKey = std::uint32_t;

struct HealthReport {
  WorkerKey worker = 0;
  std::int64_t worker_start_ms = 0;  // start of the worker process, Unix ms; 0: unknown, long ago
  int reporter = 0, reporter_zone = 0;
  std::uint64_t reporter_process = 0;
  std::uint32_t sequence = 0;  // a higher one of the same process replaces the report
  HealthStatus status = HealthStatus::kHealthy;
  Micros observed_at = 0;
  bool operator==(const HealthReport&) const = default;
};
// Whether `a` supersedes `b`, both by one reporter about one worker.
bool Supersedes(const HealthReport& a, const HealthReport& b);

// The combined result of the reports about a worker.
struct WorkerStatus {
  WorkerKey worker = 0;
  bool ejected = false;  // by other nodes' reports
  bool probe = false;    // ejected, but this node is to probe it now
  bool cold = false;     // its process has died, even if the worker list does not show it yet
  HealthStatus status = HealthStatus::kHealthy;
  Micros observed_at = 0;           // time of the latest report used
  std::vector<int> reporters = {};  // nodes
  bool operator==(const WorkerStatus&) const = default;
};

class WorkerHealth {
 public:
  enum class JobOutcome { kServed, kFailed, kNoConnection, kReset, kTimedOut };

  WorkerHealth(WorkerHealthOptions options, std::uint64_t process);

  // Updates from the worker list. A worker that leaves the list is forgotten with its reports.
  void OnListed(WorkerKey worker, int kind, std::int64_t start, bool in_service);
  void OnUnlisted(WorkerKey worker);

  // This node's own evidence.
  void OnJobSent(Micros now, WorkerKey worker);
  void OnWorkerResponse(Micros now, WorkerKey worker);
  // `slowness`: running time relative to the usual one; 0: unknown.
  void OnJobEnded(Micros now, WorkerKey worker, JobOutcome outcome, double slowness);

  // Returns false if the report is invalid or contains nothing new.
  bool Merge(Micros now, const HealthReport& report);
  // Evaluates all workers and returns the statuses that changed since the last call. `alive`: the
  // other nodes that are alive.
  std::vector<WorkerStatus> Update(Micros now, const std::vector<int>& alive);
  // Up to `most` reports to send, those sent least often first; counts each as sent once.
  std::vector<HealthReport> TakeReportsToSend(Micros now, std::size_t most);

  HealthStatus own_status(WorkerKey worker) const;  // by this node's own evidence
  Micros own_status_at(WorkerKey worker) const;     // when that was observed; 0: no evidence
  std::vector<HealthReport> reports(WorkerKey worker) const;
  const std::map<WorkerKey, WorkerStatus>& statuses() const { return statuses_; }
  std::size_t workers() const { return workers_.size(); }
  std::size_t bytes() const;  // approximate memory use

 private:
  struct Worker {
    bool listed = false, in_service = false;
    int kind = 0;
    std::int64_t start = 0;  // of its process, Unix ms
    // Own evidence about this process. `unanswered_since`: first job sent since the last response.
    Micros last_response_at = 0, unanswered_since = 0;
    Micros busy_since = 0;  // since when jobs have been in flight without a break
    int in_flight = 0, connection_failures = 0, jobs = 0;
    double failure_rate = 0, slowness = 1;
    Micros died_at = 0;
    HealthReport own_report;
    std::map<int, HealthReport> remote_reports;  // by reporter
    std::map<int, int> times_sent;               // by reporter
  };

  void SetOwnStatus(Micros now, WorkerKey key, Worker* w, HealthStatus status);
  void ResetEvidence(Worker* w);
  int MaxTransmissions() const;  // times that each node sends a report
  int ProberFor(Micros now, WorkerKey worker, const std::vector<int>& alive) const;

  WorkerHealthOptions options_;
  std::uint64_t process_;
  std::uint32_t last_sequence_ = 0;
  std::map<WorkerKey, Worker> workers_;
  std::map<WorkerKey, WorkerStatus> statuses_;  // only workers that are ejected or cold
};

}  // namespace pearreach::shared_state

#endif  // PEARREACH_SRC_NODE_SHARED_STATE_JUDGEMENTS_H_
