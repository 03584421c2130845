// This node's part in the fleet: puts the words between nodes, the membership and what is told of
// them to people together. It owns the socket's words, the clock of the membership and the lines of
// the log; it decides nothing about jobs, and must never write more lines than it is allowed.
#ifndef PEARREACH_SRC_NODE_FLEET_FLEET_H_
#define PEARREACH_SRC_NODE_FLEET_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/fleet/rules_part.h"
#include "node/membership/members.h"
#include "node/peer_transport/peers.h"
#include "node/shared_state/shared.h"
#include "node/zones/zones.h"

namespace pearreach {

struct FleetSettings {
  std::string listen;
  std::vector<std::string> nodes;
  std::string all;
  int self = 0;
  Micros period = 500 * kMs;
  double bytes_per_second = 2000;
  int lines_per_minute = 60;
  Micros view_every = 10 * kSecond;  // a line with what this node hears
  std::uint64_t seed = 0;
  std::optional<shared_state::SharedStateOptions>
      shared;                           // self, nodes are the ones above; none: off
  std::vector<std::string> accounts;    // their names, for lines
  std::optional<zones::Options> zones;  // self, nodes are the ones above; none: off
  std::optional<RulesSettings> rules;   // self, nodes are the ones above; none: off
  bool tells_use = false;  // a line whenever a worker may be used otherwise by its zone
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Begins; where the address is another process's still, tries again until it is free.
  void Start();
  // The process is about to end for good: says so.
  void Leave();
  // Another process of this node takes over: the address is free for it.
  void Yield();
  void Resume();  // it did not come up after all
  bool speaks() const { return peers_.open(); }

  // Words for other nodes' decision module; they come there as its PeerMessage events.
  bool Tell(int to, const std::string& bytes) {
    return peers_.Send(to, peer_transport::Topic::kModule, bytes);
  }
  void OnTold(std::function<void(int from, std::string bytes)> told) { told_ = std::move(told); }
  const membership::Members* members() const { return members_.get(); }

  // ---- state that the fleet shares
  // What the limits say of a job; none: nothing is shared. A process that does not speak for its
  // node counts nothing and has no part of any budget: the one that speaks has them.
  std::optional<shared_state::SharedState::Admission> Admit(int account, bool is_repeat);
  void OnJudged(std::function<void(const std::string&, const shared_state::WorkerStatus&)> judged) {
    judged_ = std::move(judged);
  }
  // ---- rules on which the nodes agree; null: off, or this process does not speak for its node
  RulesPart* rules() { return rules_.get(); }
  // Workers that the rules in force ban; told whenever they change.
  void OnRuleBans(std::function<void(const std::set<std::string>&)> ban) {
    rule_bans_ = std::move(ban);
  }

  // ---- zones that are left
  // How this node may use a worker from now on, by the zone that it is in.
  void OnUse(std::function<void(const std::string& worker, zones::Use, bool gone)> use) {
    use_ = std::move(use);
  }
  // A line for people, for the recording; and orders that are to outlive the process.
  void OnZoneLine(std::function<void(const std::string&)> line) { zone_line_ = std::move(line); }
  void OnOrders(std::function<void(const std::vector<zones::Order>&)> keep) {
    keep_orders_ = std::move(keep);
  }
  // Kept by an earlier process, or said by another one of this node.
  void RecallOrders(const std::vector<zones::Order>& orders);
  bool Command(const std::string& target, zones::Order::Action what);  // false: no such zone
  std::string ZonesText() const;
  // Tells what stands about a worker once more.
  void JudgeAgain(const std::string& worker);
  const zones::ZoneFailover* zones() const { return zones_.get(); }

  // What this node sees of a worker.
  struct Listing {
    int zone = 0, kind = 0;
    double weight = 1;
    std::int64_t started_ms = 0;
    bool in_service = false;
  };
  void WorkerListed(const std::string& worker, const Listing& as);
  void WorkerGone(const std::string& worker);
  void WorkerSent(const std::string& worker);
  void WorkerHeard(const std::string& worker);
  void WorkerEnded(const std::string& worker, shared_state::WorkerHealth::JobOutcome end, int cls,
                   Micros run);
  const shared_state::SharedState* shared() const { return shared_.get(); }

 private:
  void Open();
  void Turn();
  void Send(std::vector<membership::Outgoing>* out);
  void Report();
  void ReportView();
  Micros Unix() const { return Now() + unix_offset_; }
  std::vector<int> Alive() const;
  void OpenShared();
  void SharedTurn();
  void SendShared(std::vector<shared_state::SharedState::OutgoingMessage>* out);
  void Judged(const shared_state::WorkerStatus& standing);
  void ReportShared();
  bool MayLog();
  void OpenZones();
  void ZonesTurn();
  void SendZones(std::vector<zones::ZoneFailover::OutgoingMessage>* out);
  void ApplyZones();
  void ReportStanding(const zones::ZoneStatus& standing);
  zones::Use UseOf(Micros now, zones::WorkerKey worker, int zone) const;
  void ApplyUses(Micros now);
  std::string WhyOf(const zones::ZoneStatus& standing) const;
  void OpenRules();
  void ApplyRules();

  FleetSettings settings_;
  std::unique_ptr<membership::Members> members_;  // once the address is this process's
  peer_transport::PeerTransport peers_;
  std::function<void(int, std::string)> told_;
  bool yielded_ = false, nobody_ = false, doubts_ = false;
  double lines_ = 0;  // that may be written now
  Micros lines_at_ = 0;
  membership::Counts reported_;
  Alarm turn_, open_, view_, shared_turn_, zones_turn_;

  struct Listed {
    std::string name;
    Listing as;
    zones::Use use = zones::Use::kOpen;  // as the node was told last
  };
  std::unique_ptr<shared_state::SharedState> shared_;  // while this process speaks for its node
  std::map<shared_state::WorkerKey, Listed> listed_;
  std::map<int, double> runs_;  // by class: fading mean of running times, microseconds
  std::function<void(const std::string&, const shared_state::WorkerStatus&)> judged_;
  Micros unix_offset_ = 0;  // taken once: a clock that is set must not make leases longer
  shared_state::SharedStateStats shared_reported_;

  std::unique_ptr<RulesPart> rules_;  // while this process speaks for its node
  std::function<void(const std::set<std::string>&)> rule_bans_;

  std::unique_ptr<zones::ZoneFailover> zones_;  // while this process speaks for its node
  std::vector<zones::Order> recalled_;          // before it does
  std::function<void(const std::string&, zones::Use, bool)> use_;
  std::function<void(const std::string&)> zone_line_;
  std::function<void(const std::vector<zones::Order>&)> keep_orders_;
  std::vector<zones::Order> kept_;
  zones::Stats zones_reported_;
  Micros uses_at_ = 0;
  std::uint64_t jobs_before_ = 0, refused_before_ = 0;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_FLEET_FLEET_H_
