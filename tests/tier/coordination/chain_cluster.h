// Chain replicas in virtual time: a network that loses, delays, doubles and reorders, disks that
// sync late, machines that crash, freeze, lose their disks or are replaced, links that fail, and
// concurrent clients. Violated invariants are collected as findings.
#ifndef PEARREACH_TESTS_TIER_COORDINATION_CHAIN_CLUSTER_H_
#define PEARREACH_TESTS_TIER_COORDINATION_CHAIN_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tier/coordination/chain.h"

namespace pearreach::coordination {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

struct ClusterOptions {
  int machines = 3;
  int tolerance = 1;
  std::uint64_t seed = 1;
  double loss = 0, doubling = 0, late = 0;  // fractions of the messages
  bool slow_disks = false;
};

// What clients were acknowledged and have read, and what contradicts it.
class History {
 public:
  using Revisions = std::map<std::string, std::uint64_t>;

  void OnAcknowledged(const std::string& key, std::uint64_t revision, const std::string& value);
  void OnRefused(const std::string& value);
  void OnMap(const std::string& where, const Version& version, const Map& map);
  void OnReadDone(const std::string& where, const Revisions& floor, const Map& map);
  const Revisions& floor() const { return floor_; }  // what a read that begins now must show
  const Revisions& acknowledged() const { return acknowledged_; }
  void AddFinding(std::string what) { findings_.push_back(std::move(what)); }
  const std::vector<std::string>& findings() const { return findings_; }
  int commits() const { return commits_; }
  int reads() const { return reads_; }

 private:
  void OnEntry(const std::string& where, const std::string& key, std::uint64_t revision,
               const std::string& value);

  std::map<std::pair<std::string, std::uint64_t>, std::string> values_;  // of each revision seen
  std::map<Version, std::size_t> contents_;                              // hash of each version
  std::set<std::string> refused_;
  std::set<std::string> seen_values_;
  Revisions floor_, acknowledged_;
  std::vector<std::string> findings_;
  int commits_ = 0, reads_ = 0;
};

class ChainCluster {
 public:
  struct DiskWrite {
    Micros done = 0;
    std::uint64_t token = 0;
    std::map<std::string, std::string> records;
  };
  struct Machine {
    std::string name, disk_id;
    bool bootstrap = false;
    bool gone = false;  // replaced permanently
    bool frozen = false;
    Micros changed = 0;  // when it last went up or down
    std::map<std::string, std::string> disk;
    std::unique_ptr<ChainReplica> replica;  // null: down
    std::uint64_t incarnation = 0;
    std::deque<DiskWrite> writes;
    std::deque<std::function<void()>> thaw;  // events that arrived while it was frozen
    Version greatest;
    std::map<std::string, Peer> peers;  // as membership reports them, by name
    bool up() const { return replica != nullptr; }
  };

  explicit ChainCluster(const ClusterOptions& options);

  Micros now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  History& history() { return history_; }
  std::map<std::string, Machine>& machines() { return machines_; }
  Machine& machine(const std::string& name) { return machines_.at(name); }
  std::vector<std::string> Names() const;  // of those that are not gone

  void RunFor(Micros span);
  bool RunUntil(Micros span, const std::function<bool()>& done);
  void At(Micros time, std::function<void()> what);

  void Start(const std::string& name);
  void Crash(const std::string& name);           // a part of what is not synced may be kept
  void Wipe(const std::string& name);            // of a machine that is down
  std::string Replace(const std::string& name);  // by an empty one of another name
  std::string Add();                             // an empty machine
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void BlockLink(const std::string& from, const std::string& to) {
    blocked_links_.insert({from, to});
  }
  void Heal();
  // Membership at `observer` reports the peer dead, whatever it is, until the next change.
  void MisreportDead(const std::string& observer, const std::string& peer);

  // Submits one change at `name`; the outcome is added to the history. Returns the value.
  std::string SubmitChange(const std::string& name, const std::string& key, std::uint64_t expected);
  // Values must be unique.
  void SubmitRequest(const std::string& name, ChangeRequest request);
  void SubmitRead(const std::string& name);
  std::optional<ChangeResult> ResultOf(const std::string& value) const;
  // A change through whoever is head commits within the span.
  bool CommitsWithin(Micros span);
  std::string HeadName() const;  // of the greatest view anywhere
  // All machines are members of the greatest view, up on their disks, and have committed in it.
  bool IsRepaired() const;
  // All maps that any replica reported as committed.
  const std::map<Version, std::shared_ptr<const Map>>& maps() const { return maps_; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t ticks() const { return ticks_; }
  Micros NextTick() const;

 private:
  struct Event {
    Micros time;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  struct PendingChange {
    std::string key, value;
    std::uint64_t expected;
  };

  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Micros Between(Micros min, Micros max) {
    return std::uniform_int_distribution<Micros>(min, max)(random_);
  }
  void Schedule(Micros time, std::function<void()> what) { At(time, std::move(what)); }
  void Call(const std::string& name, const std::function<void(ChainReplica&, Effects*)>& call);
  void ApplyEffects(Machine* machine, Effects effects);
  void Deliver(const std::string& from, const SendMessage& message);
  void StartWrite(Machine* machine, const Persist& persist);
  void OnWritten(const std::string& name, std::uint64_t incarnation, std::uint64_t token);
  void SchedulePeerUpdates();
  void UpdatePeers(const std::string& observer);
  bool Reaches(const std::string& from, const std::string& to) const;
  void Tick();

  ClusterOptions options_;
  std::mt19937_64 random_;
  Micros now_ = kSecond;
  std::uint64_t order_ = 0, disks_ = 0, names_ = 0, incarnations_ = 0, tickets_ = 0, values_ = 0;
  std::uint64_t sent_ = 0, ticks_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Machine> machines_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::vector<ReplicaId> founders_;
  History history_;
  std::map<Version, std::shared_ptr<const Map>> maps_;
  std::map<std::uint64_t, PendingChange> changes_;
  std::map<std::string, ChangeResult> results_;
  std::map<std::uint64_t, History::Revisions> reads_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_TESTS_TIER_COORDINATION_CHAIN_CLUSTER_H_
