// Leaving a zone that fails as a fleet, and coming back at a pace: what one node knows and holds of
// each zone and region. Pure: no socket, no clock; what it is told and when decides what it says.
// It owns this node's evidence of zones, what others reported of theirs, the verdicts and the
// operators' orders, and which match workers this node may use by them; it must never leave all
// zones, never hold a verdict that one node alone claims, and never open a zone that comes back at
// more than the fleet's step.
//
// There is no leader. Whoever knows the evidence that a verdict needs raises it under the next
// number; the later one of two holds everywhere (Later is a total order, so the merge does not
// depend on the order, number or loss of words). Which node may use which worker of a zone that
// comes back is drawn alike at all nodes by a hash, so that the steps need no words of their own.
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

using WorkerKey = std::uint32_t;  // a hash of its id, the same at every node

// A zone by itself, or a region: several zones under one name.
struct Target {
  std::string name;
  std::vector<int> zones;
};
TargetKey KeyOf(const std::string& name);

struct Options {
  int self = 0, nodes = 1, zone = 0;
  std::vector<std::string> zones;       // of the deployment, by index
  std::vector<Target> regions;          // each of two zones or more
  Micros send_interval = 250'000;       // words, while something is wrong; four times as long else
  int fanout = 3;                       // to so many at a time
  std::size_t max_message_bytes = 180;  // of a word at most
  Micros evidence_ttl = 3'000'000;      // evidence counts for so long
  double bad_fraction = 0.5;            // of what was tried in a zone: it fails
  double min_coverage = 0.3;            // of its weight, that all who report have tried together
  double failure_threshold = 0.25,
         slowness_factor = 3;  // share of a zone's jobs that fail; its time over the others'
  double min_remaining_capacity = 0.4;  // of the whole worth, that must be left without it
  double negligible_capacity = 0.1;     // of its own weight: a zone worth less may always be left
  Micros probe_delay = 1'000'000;  // after it was left; doubled each time that it is left again
  Micros max_probe_delay = 60'000'000;   // and so long at most
  Micros probe_interval = 1'000'000;     // a node that tries does so for this long
  int concurrent_probes = 2;             // workers that are tried at a time, each by one node
  int successes_per_step = 4;            // good jobs that a step wants
  Micros min_step_duration = 1'000'000;  // a step lasts so long at least
  Micros one_sided_delay =
      1'000'000;                    // seen so by nodes of one zone alone for so long: they leave it
  Micros history_ttl = 60'000'000;  // a zone that was whole for so long has not been left before
};

// How a zone is in use at this node.
struct ZoneStatus {
  int zone = 0;
  std::uint8_t step = kInUse;
  Cause cause = Cause::kNone;
  std::uint64_t number = 0;
  int for_zone = -1;                // left by nodes of that zone alone; -1: by all
  bool by_operator = false;         // an operator's order decides
  bool served_from_inside = false;  // left by the fleet, but this node is inside and serves it
  std::vector<int> reporters = {};  // nodes whose evidence this one knows
  bool operator==(const ZoneStatus&) const = default;
};

enum class Use : std::uint8_t { kOpen, kProbe, kClosed };

struct Stats {
  std::uint64_t messages_sent = 0, malformed = 0, stale = 0, entries_omitted = 0, decided = 0,
                adopted = 0, unconfirmed = 0,
                blocked_by_capacity = 0;  // not left: the rest would not bear it
};

class ZoneFailover {
 public:
  struct OutgoingMessage {
    int to = 0;
    std::string section;
  };
  enum class JobOutcome : std::uint8_t { kServed, kFailed, kNoResponse };
  // What each guard does is shown by leaving it out: tests only.
  struct DisabledGuards {
    bool confirmation = false;     // a verdict that one node alone claims is not held
    bool capacity_check = false;   // the rest must bear it, and never all zones
    bool isolation_check = false;  // one that hears no other zone is the one that is away
    bool decision_order = false;   // an older verdict never replaces a later one
    bool gradual_return = false;   // a zone that comes back is opened by steps
  };

  ZoneFailover(Options options, std::uint64_t process, Micros now);

  // ---- what this node sees
  // `started`: its process, by the list; 0: long ago.
  void OnListed(WorkerKey worker, int zone, int kind, double weight, Micros started,
                bool in_service);
  void OnUnlisted(WorkerKey worker);
  void OnJobSent(Micros now, WorkerKey worker);
  // `run`: from its start on; 0: not known.
  void OnJobEnded(Micros now, WorkerKey worker, JobOutcome end, int cls, Micros run);
  // What this node holds of a worker by its own evidence, and since when.
  void SetOwnHealth(WorkerKey worker, Cause cause, Micros at);
  void SetOverloaded(bool pressed) { pressed_ = pressed; }

  // ---- operators
  // False: there is no such zone or region.
  bool Command(Micros now, const std::string& target, Order::Action what);
  void RestoreOrder(const Order& order);  // kept from an earlier process

  // ---- time and words; `alive`: the other nodes that are, by the membership; `doubts`: this
  // process was stopped and nobody has answered since.
  Micros next() const { return next_; }
  void Tick(Micros now, const std::vector<int>& alive, bool doubts,
            std::vector<OutgoingMessage>* out);
  void OnMessage(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<OutgoingMessage>* out);

  // ---- what holds
  Use use(Micros now, WorkerKey worker) const;
  const ZoneStatus& status(int zone) const { return standing_[static_cast<std::size_t>(zone)]; }
  // Those that have changed since the last call.
  std::vector<ZoneStatus> TakeChanges();
  std::vector<Decision> decisions() const;  // held, those of zones that were never left left out
  std::vector<Order> orders() const;
  std::vector<Order> overruled() const;  // the last order of each target that another one ended
  std::vector<Report> reports() const;
  const std::string& name(TargetKey target) const;
  const Options& options() const { return options_; }
  const Stats& stats() const { return figures_; }
  // Of all pairs of a node and a worker, the share that is open at a step.
  static double OpenFraction(std::uint8_t step);
  void DisableGuards(DisabledGuards without) { without_ = without; }

 private:
  struct Worker {
    int zone = 0, kind = 0;
    double weight = 1;
    bool in_service = true;
    Micros started = 0;
    Cause cause = Cause::kNone;
    Micros seen = 0;             // when the cause was seen
    Micros sent = 0, since = 0;  // the last job, and the first one after a pause
    int out = 0, before = 0;     // of those, sent before the last verdict
  };
  struct Run {
    double mean = 0;
    int jobs = 0;
  };
  struct ZoneSeen {  // of one zone, by this node
    double failures = 0;
    int jobs = 0;
    std::map<int, Run> runs;  // by class
    std::uint64_t about = 0;
    std::uint32_t good = 0, failed = 0;
  };
  struct ZoneSum {  // weights of its workers in service
    double all = 0, tried = 0, bad = 0;
    std::map<Cause, double> causes;  // of the bad ones
  };
  struct Key {
    TargetKey target = 0;
    int whose = -1;
    auto operator<=>(const Key&) const = default;
  };
  struct Pending {
    Decision verdict;
    std::set<int> holders;
  };
  struct Held {
    Report report;
    int said = 0;
  };
  struct Evidence {
    std::set<int> bad, well;  // zones of nodes that say so
    std::vector<int> witnesses;
    Cause cause = Cause::kNone;
    int reporters = 0, outside = 0, pressed = 0;
  };
  struct Tries {
    std::uint32_t good = 0, failed = 0;
  };

  const Target* Find(TargetKey key) const;
  bool Covers(const Target& target, int zone) const;
  bool IsWell(int zone) const;  // by this node's own evidence
  bool IsBad(int zone) const;
  void UpdateReports(Micros now, bool alone);
  std::vector<ZoneSum> SumByZone(Micros now) const;
  bool IsFailing(std::size_t zone) const;
  bool IsSlow(std::size_t zone) const;
  void WriteReport(Micros now, std::size_t zone, const ZoneSum& sum);
  Evidence EvidenceOf(Micros now, const Target& target) const;
  std::set<int> ZonesAgainst(Micros now, const Target& target, int zone, std::map<int, int>* nodes,
                             Evidence* e) const;
  bool OnlyInside(const Target& target, const Evidence& e) const;
  Tries TriesOf(const Target& target, const Decision& verdict) const;
  double Weight(int zone) const;
  double Worth(Micros now, int zone) const;
  bool MayLeave(Micros now, const Target& target, int whose, const Evidence& e);
  void Judge(Micros now);
  void JudgeReturn(Micros now, const Target& target, const Decision& held);
  void Raise(Micros now, const Target& target, int whose, std::uint8_t step, Cause cause,
             std::uint8_t leaves);
  void Adopt(const Decision& verdict);
  bool Supported(Micros now, const Decision& verdict) const;
  void HearVerdict(Micros now, int from, const Decision& verdict);
  void HearOrder(const Order& order);
  void UpdateStandings(Micros now);
  const Order* OrderFor(int zone) const;
  void FollowVerdict(Micros now, const Decision& verdict, ZoneStatus* s) const;
  bool IsLeft(int zone, int whose) const;
  bool KindElsewhere(int kind) const;  // in service outside zones that are left
  bool IsTrier(Micros now, WorkerKey worker, const Worker& w, const Decision& v) const;
  const Decision* Governing(int zone) const;
  void SendState(Micros now, int to, std::vector<OutgoingMessage>* out);
  Micros WaitOf(const Decision& verdict, bool anew) const;
  bool Anew(const Target& target, const Decision& verdict) const;

  Options options_;
  std::uint64_t process_;
  Micros began_;
  std::vector<Target> targets_;  // zones by index, then regions
  std::map<TargetKey, std::size_t> by_key_;
  std::map<WorkerKey, Worker> workers_;
  std::vector<ZoneSeen> seen_;
  std::map<Key, Decision> verdicts_;
  std::map<Key, Micros> since_;  // held here since
  std::map<Key, Pending> pending_;
  std::set<Key> others_hold_;              // what this node holds, or later
  std::map<TargetKey, Micros> one_sided_;  // first seen so
  std::map<TargetKey, Order> orders_, overruled_;
  std::map<std::pair<TargetKey, int>, Held> reports_;  // by target and witness
  std::map<int, int> zone_of_;                         // other nodes', as they say
  std::vector<int> alive_;
  std::vector<ZoneStatus> standing_, told_;
  std::uint32_t number_ = 0;
  std::size_t ring_ = 0;
  bool pressed_ = false, asks_ = true, urgent_ = false, away_ = false, doubts_ = false;
  int asked_ = 0;
  Micros next_ = 0, said_ = 0, active_until_ = 0;
  Stats figures_;
  DisabledGuards without_;
};

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_ZONES_H_
