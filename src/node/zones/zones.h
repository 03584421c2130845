// Zone failover: the fleet as a whole ejects a zone that fails and returns it to use in steps. This
// is one node's view of each zone and region. A state machine without sockets or clock: its output
// depends only on the calls and the times passed in. It owns this node's evidence about zones, the
// reports of other nodes, the decisions and the operators' orders, and it determines which match
// workers this node may use. It must never eject all zones, never adopt a decision that only one
// node claims, and never open a returning zone further than the fleet's current step.
//
// There is no leader. Any node that has the evidence for a decision makes it under the next number;
// of two decisions, the one that supersedes the other wins at every node (Supersedes is a total
// order, so the merge does not depend on the order, number or loss of messages). Which node may use
// which worker of a returning zone is chosen by a hash that is the same at all nodes, so that the
// steps need no further messages.
#ifndef PEARREACH_SRC_NODE_ZONES_ZONES_H_
#define PEARREACH_SRC_NODE_ZONES_ZONES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "node/zones/messages.h"

namespace pearreach::zones {

using WorkerKey = std::uint32_t;  // hash of the worker's id, the same at every node

// A single zone, or a region: several zones under one name.
struct Target {
  std::string name;
  std::vector<int> zones;
};
TargetKey KeyOf(const std::string& name);

struct Options {
  int self = 0, nodes = 1, zone = 0;
  std::vector<std::string> zones;  // of the deployment, by index
  std::vector<Target> regions;     // each of at least two zones
  // Between rounds of messages while there is a fault; four times as long otherwise.
  Micros send_interval = 250'000;
  int fanout = 3;  // receivers per round
  std::size_t max_message_bytes = 180;
  Micros evidence_ttl = 3'000'000;      // lifetime of evidence
  double bad_fraction = 0.5;            // of the tried weight of a zone, from which the zone fails
  double min_coverage = 0.3;            // of a zone's weight, tried by all reporters together
  double failure_threshold = 0.25,      // fraction of a zone's jobs that fail
      slowness_factor = 3;              // running time relative to the other zones
  double min_remaining_capacity = 0.4;  // of the total weight, left healthy after an ejection
  // A zone with less than this fraction of its own weight left may always be ejected.
  double negligible_capacity = 0.1;
  Micros probe_delay = 1'000'000;  // after an ejection; doubles with each further one
  Micros max_probe_delay = 60'000'000;
  Micros probe_interval = 1'000'000;  // the probing nodes change at this interval
  int concurrent_probes = 2;          // workers probed at a time, each by one node
  int successes_per_step = 4;         // successful jobs needed for the next step
  Micros min_step_duration = 1'000'000;
  // After this time, nodes of one zone act on a failure that only they observe.
  Micros one_sided_delay = 1'000'000;
  Micros history_ttl = 60'000'000;  // earlier ejections are forgotten after this time in use
};

// How this node uses a zone.
struct ZoneStatus {
  int zone = 0;
  std::uint8_t step = kInUse;
  Cause cause = Cause::kNone;
  std::uint64_t number = 0;         // of the decision or order
  int for_zone = -1;                // ejected for the nodes of this zone only; -1: for all nodes
  bool by_operator = false;         // an operator's order applies
  bool served_from_inside = false;  // ejected by the fleet, but this node is inside and serves it
  std::vector<int> reporters = {};  // nodes whose evidence is known here
  bool operator==(const ZoneStatus&) const = default;
};

enum class Use : std::uint8_t { kOpen, kProbe, kClosed };

// Counters since the start of the process.
struct Stats {
  std::uint64_t messages_sent = 0, malformed = 0, stale = 0, entries_omitted = 0, decided = 0,
                adopted = 0, unconfirmed = 0,
                blocked_by_capacity = 0;  // ejections that the other zones could not carry
};

class ZoneFailover {
 public:
  struct OutgoingMessage {
    int to = 0;
    std::string section;
  };
  enum class JobOutcome : std::uint8_t { kServed, kFailed, kNoResponse };
  // For tests only: disables single guards, to show that each of them is needed.
  struct DisabledGuards {
    bool confirmation = false;     // a decision claimed by one node alone is not adopted
    bool capacity_check = false;   // the other zones must carry the load; one zone always stays
    bool isolation_check = false;  // a node that reaches no other zone regards itself as isolated
    bool decision_order = false;   // an older decision never replaces a later one
    bool gradual_return = false;   // a returning zone is opened in steps
  };

  ZoneFailover(Options options, std::uint64_t process, Micros now);

  // ---- this node's observations
  // `started`: start of the worker's process according to the worker list; 0: unknown, long ago.
  void OnListed(WorkerKey worker, int zone, int kind, double weight, Micros started,
                bool in_service);
  void OnUnlisted(WorkerKey worker);
  void OnJobSent(Micros now, WorkerKey worker);
  // `run`: running time of the job; 0: unknown.
  void OnJobEnded(Micros now, WorkerKey worker, JobOutcome outcome, int cls, Micros run);
  // Sets the worker's state by this node's own evidence, and the time from which it applies.
  void SetOwnHealth(WorkerKey worker, Cause cause, Micros at);
  void SetOverloaded(bool overloaded) { overloaded_ = overloaded; }

  // ---- operators
  // Returns false if there is no such zone or region.
  bool Command(Micros now, const std::string& target, Order::Action action);
  void RestoreOrder(const Order& order);  // saved by an earlier process

  // ---- time and messages
  Micros next() const { return next_tick_; }
  // Appends the messages that are due. `alive`: the other nodes that membership reports as alive;
  // `doubts`: this process was stopped and no node has responded since.
  void Tick(Micros now, const std::vector<int>& alive, bool doubts,
            std::vector<OutgoingMessage>* out);
  void OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<OutgoingMessage>* out);

  // ---- current state
  Use use(Micros now, WorkerKey worker) const;
  const ZoneStatus& status(int zone) const { return statuses_[static_cast<std::size_t>(zone)]; }
  // The statuses that have changed since the last call.
  std::vector<ZoneStatus> TakeChanges();
  std::vector<Decision> decisions() const;  // without targets that were never ejected
  std::vector<Order> orders() const;
  std::vector<Order> overruled() const;  // per target, the last order that another one overruled
  std::vector<Report> reports() const;
  const std::string& name(TargetKey target) const;
  const Options& options() const { return options_; }
  const Stats& stats() const { return stats_; }
  // Fraction of all pairs of a node and a worker that is open at a step.
  static double OpenFraction(std::uint8_t step);
  void DisableGuards(DisabledGuards disabled) { disabled_ = disabled; }

 private:
  struct Worker {
    int zone = 0, kind = 0;
    double weight = 1;
    bool in_service = true;
    Micros started_at = 0;
    Cause cause = Cause::kNone;
    Micros cause_at = 0;                          // when the cause was observed
    Micros last_sent_at = 0, active_since = 0;    // the last job, and the first one after a pause
    int in_flight = 0, sent_before_decision = 0;  // the latter: of those, before the last decision
  };
  struct RunTime {
    double mean = 0;  // microseconds
    int jobs = 0;
  };
  struct ZoneObservations {  // by this node, of one zone
    double failure_rate = 0;
    int jobs = 0;
    std::map<int, RunTime> run_times;  // by class
    std::uint64_t decision_number = 0;
    std::uint32_t succeeded = 0, failed = 0;  // since that decision
  };
  struct ZoneWeights {  // of the zone's workers in service
    double total = 0, tried = 0, bad = 0;
    std::map<Cause, double> causes;  // of the bad ones
  };
  struct Key {
    TargetKey target = 0;
    int for_zone = -1;
    auto operator<=>(const Key&) const = default;
  };
  // A decision that not enough nodes have confirmed yet.
  struct Pending {
    Decision decision;
    std::set<int> holders;
  };
  struct StoredReport {
    Report report;
    int times_sent = 0;
  };
  struct Evidence {
    std::set<int> bad_for,
        healthy_for;  // zones whose nodes report the target as bad, or as healthy
    std::vector<int> bad_reporters;
    Cause cause = Cause::kNone;
    int reporters = 0, outside = 0, overloaded = 0;  // numbers of nodes
  };
  struct ProbeResults {
    std::uint32_t succeeded = 0, failed = 0;
  };

  const Target* FindTarget(TargetKey key) const;
  bool Contains(const Target& target, int zone) const;
  bool IsHealthy(int zone) const;  // by this node's own evidence
  bool IsBad(int zone) const;
  void UpdateReports(Micros now, bool alone);
  std::vector<ZoneWeights> WeightsByZone(Micros now) const;
  bool IsFailing(std::size_t zone) const;
  bool IsSlow(std::size_t zone) const;
  void WriteReport(Micros now, std::size_t zone, const ZoneWeights& sum);
  Evidence CollectEvidence(Micros now, const Target& target) const;
  std::set<int> ZonesReportingBad(Micros now, const Target& target, int zone,
                                  std::map<int, int>* nodes, Evidence* e) const;
  bool OnlyInsideReports(const Target& target, const Evidence& e) const;
  ProbeResults ProbeResultsOf(const Target& target, const Decision& decision) const;
  double WeightOf(int zone) const;
  double HealthyWeightOf(Micros now, int zone) const;
  bool MayEject(Micros now, const Target& target, int for_zone, const Evidence& e);
  void Evaluate(Micros now);
  void EvaluateReturn(Micros now, const Target& target, const Decision& decision);
  void Decide(Micros now, const Target& target, int for_zone, std::uint8_t step, Cause cause,
              std::uint8_t ejections);
  void Adopt(const Decision& decision);
  bool IsSupported(Micros now, const Decision& decision) const;
  void MergeDecision(Micros now, int from, const Decision& decision);
  void MergeOrder(const Order& order);
  void UpdateStatuses(Micros now);
  const Order* OrderFor(int zone) const;
  void ApplyDecision(Micros now, const Decision& decision, ZoneStatus* s) const;
  bool IsEjected(int zone, int for_zone) const;
  bool KindElsewhere(int kind) const;  // in service outside ejected zones
  bool IsProber(Micros now, WorkerKey worker, const Worker& w, const Decision& decision) const;
  const Decision* GoverningDecision(int zone) const;
  void SendState(Micros now, int to, std::vector<OutgoingMessage>* out);
  Micros ProbeDelayOf(const Decision& decision, bool restarted) const;
  bool MostlyRestarted(const Target& target, const Decision& decision) const;

  Options options_;
  std::uint64_t process_;
  Micros started_at_;
  std::vector<Target> targets_;  // zones by index, then regions
  std::map<TargetKey, std::size_t> by_key_;
  std::map<WorkerKey, Worker> workers_;
  std::vector<ZoneObservations> observations_;  // by zone
  std::map<Key, Decision> decisions_;
  std::map<Key, Micros> adopted_at_;
  std::map<Key, Pending> pending_;
  std::set<Key> confirmed_by_peers_;  // another node has sent this decision or a later one
  std::map<TargetKey, Micros> one_sided_since_;
  std::map<TargetKey, Order> orders_, overruled_;
  std::map<std::pair<TargetKey, int>, StoredReport> reports_;  // by target and reporter
  std::map<int, int> peer_zones_;                              // by node, as reported
  std::vector<int> alive_;
  std::vector<ZoneStatus> statuses_, reported_statuses_;
  std::uint32_t last_sequence_ = 0;
  std::size_t sends_ = 0;
  bool overloaded_ = false, requests_state_ = true, urgent_ = false, isolated_ = false,
       doubts_ = false;
  int state_requests_ = 0;
  Micros next_tick_ = 0, last_sent_at_ = 0, active_until_ = 0;
  Stats stats_;
  DisabledGuards disabled_;
};

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_ZONES_H_
