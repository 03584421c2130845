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
  std::vector<std::string> zones;   // of the deployment, by index
  std::vector<Target> regions;      // each of two zones or more
  Micros every = 250'000;           // words, while something is wrong; four times as long else
  int fanout = 3;                   // to so many at a time
  std::size_t bytes = 180;          // of a word at most
  Micros fresh = 3'000'000;         // evidence counts for so long
  double bad = 0.5;                 // of what was tried in a zone: it fails
  double covered = 0.3;             // of its weight, that all who report have tried together
  double failing = 0.25, slow = 3;  // share of a zone's jobs that fail; its time over the others'
  double least_left = 0.4;          // of the whole worth, that must be left without it
  double dead = 0.1;                // of its own weight: a zone worth less may always be left
  Micros trial_wait = 1'000'000;    // after it was left; doubled each time that it is left again
  Micros most_wait = 60'000'000;    // and so long at most
  Micros trial_every = 1'000'000;   // a node that tries does so for this long
  int trials = 2;                   // workers that are tried at a time, each by one node
  int need = 4;                     // good jobs that a step wants
  Micros hold = 1'000'000;          // a step lasts so long at least
  Micros one_sided = 1'000'000;     // seen so by nodes of one zone alone for so long: they leave it
  Micros forget = 60'000'000;       // a zone that was whole for so long has not been left before
};

// How a zone is in use at this node.
struct Standing {
  int zone = 0;
  std::uint8_t step = kWhole;
  Cause cause = Cause::kNone;
  std::uint64_t number = 0;
  int whose = -1;                   // left by nodes of that zone alone; -1: by all
  bool by_hand = false;             // an operator's order decides
  bool own = false;                 // left by the fleet, but this node is inside and serves it
  std::vector<int> witnesses = {};  // nodes whose evidence this one knows
  bool operator==(const Standing&) const = default;
};

enum class Use : std::uint8_t { kOpen, kTrial, kShut };

struct Figures {
  std::uint64_t words = 0, malformed = 0, old = 0, left_out = 0, raised = 0, adopted = 0,
                doubted = 0,
                held_back = 0;  // not left: the rest would not bear it
};

class Zones {
 public:
  struct Out {
    int to = 0;
    std::string section;
  };
  enum class End : std::uint8_t { kServed, kFailed, kNoWord };
  // What each guard does is shown by leaving it out: tests only.
  struct Without {
    bool doubt = false;   // a verdict that one node alone claims is not held
    bool rest = false;    // the rest must bear it, and never all zones
    bool away = false;    // one that hears no other zone is the one that is away
    bool number = false;  // an older verdict never replaces a later one
    bool steps = false;   // a zone that comes back is opened by steps
  };

  Zones(Options options, std::uint64_t process, Micros now);

  // ---- what this node sees
  // `started`: its process, by the list; 0: long ago.
  void Listed(WorkerKey worker, int zone, int kind, double weight, Micros started, bool in_service);
  void Unlisted(WorkerKey worker);
  void Sent(Micros now, WorkerKey worker);
  // `run`: from its start on; 0: not known.
  void Ended(Micros now, WorkerKey worker, End end, int cls, Micros run);
  // What this node holds of a worker by its own evidence, and since when.
  void Seen(WorkerKey worker, Cause cause, Micros at);
  void Pressed(bool pressed) { pressed_ = pressed; }

  // ---- operators
  // False: there is no such zone or region.
  bool Command(Micros now, const std::string& target, Order::What what);
  void Recall(const Order& order);  // kept from an earlier process

  // ---- time and words; `alive`: the other nodes that are, by the membership; `doubts`: this
  // process was stopped and nobody has answered since.
  Micros next() const { return next_; }
  void Tick(Micros now, const std::vector<int>& alive, bool doubts, std::vector<Out>* out);
  void Hear(Micros now, int from, std::uint64_t process, std::string_view section,
            std::vector<Out>* out);

  // ---- what holds
  Use use(Micros now, WorkerKey worker) const;
  const Standing& standing(int zone) const { return standing_[static_cast<std::size_t>(zone)]; }
  // Those that have changed since the last call.
  std::vector<Standing> TakeChanges();
  std::vector<Verdict> verdicts() const;  // held, those of zones that were never left left out
  std::vector<Order> orders() const;
  std::vector<Order> overruled() const;  // the last order of each target that another one ended
  std::vector<Report> reports() const;
  const std::string& name(TargetKey target) const;
  const Options& options() const { return options_; }
  const Figures& figures() const { return figures_; }
  // Of all pairs of a node and a worker, the share that is open at a step.
  static double Share(std::uint8_t step);
  void Leave(Without without) { without_ = without; }

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
    Verdict verdict;
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
  Tries TriesOf(const Target& target, const Verdict& verdict) const;
  double Weight(int zone) const;
  double Worth(Micros now, int zone) const;
  bool MayLeave(Micros now, const Target& target, int whose, const Evidence& e);
  void Judge(Micros now);
  void JudgeReturn(Micros now, const Target& target, const Verdict& held);
  void Raise(Micros now, const Target& target, int whose, std::uint8_t step, Cause cause,
             std::uint8_t leaves);
  void Adopt(const Verdict& verdict);
  bool Supported(Micros now, const Verdict& verdict) const;
  void HearVerdict(Micros now, int from, const Verdict& verdict);
  void HearOrder(const Order& order);
  void UpdateStandings(Micros now);
  const Order* OrderFor(int zone) const;
  void FollowVerdict(Micros now, const Verdict& verdict, Standing* s) const;
  bool IsLeft(int zone, int whose) const;
  bool KindElsewhere(int kind) const;  // in service outside zones that are left
  bool IsTrier(Micros now, WorkerKey worker, const Worker& w, const Verdict& v) const;
  const Verdict* Governing(int zone) const;
  void SendState(Micros now, int to, std::vector<Out>* out);
  Micros WaitOf(const Verdict& verdict, bool anew) const;
  bool Anew(const Target& target, const Verdict& verdict) const;

  Options options_;
  std::uint64_t process_;
  Micros began_;
  std::vector<Target> targets_;  // zones by index, then regions
  std::map<TargetKey, std::size_t> by_key_;
  std::map<WorkerKey, Worker> workers_;
  std::vector<ZoneSeen> seen_;
  std::map<Key, Verdict> verdicts_;
  std::map<Key, Micros> since_;  // held here since
  std::map<Key, Pending> pending_;
  std::set<Key> others_hold_;              // what this node holds, or later
  std::map<TargetKey, Micros> one_sided_;  // first seen so
  std::map<TargetKey, Order> orders_, overruled_;
  std::map<std::pair<TargetKey, int>, Held> reports_;  // by target and witness
  std::map<int, int> zone_of_;                         // other nodes', as they say
  std::vector<int> alive_;
  std::vector<Standing> standing_, told_;
  std::uint32_t number_ = 0;
  std::size_t ring_ = 0;
  bool pressed_ = false, asks_ = true, urgent_ = false, away_ = false, doubts_ = false;
  int asked_ = 0;
  Micros next_ = 0, said_ = 0, active_until_ = 0;
  Figures figures_;
  Without without_;
};

}  // namespace pearreach::zones

#endif  // PEARREACH_SRC_NODE_ZONES_ZONES_H_
