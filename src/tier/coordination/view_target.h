// Which members the next view should have, from the present view and what membership reports about
// its members. Owned by ChainReplica; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_
#define PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "tier/coordination/chain.h"

namespace pearreach::coordination::chain {

constexpr Micros kNever = INT64_MAX / 4;

struct Target {
  std::vector<ReplicaId> members;
  Micros next_change = kNever;  // when the target changes without a further event
};

class ViewTarget {
 public:
  struct RemovalDelays {
    Micros after_down = 0;     // a member is removed once it has been down for so long,
    Micros after_contact = 0;  // so long after its last message to this replica,
    Micros not_before = 0;     // and not before this time
  };
  ViewTarget(ReplicaId self, const Tolerance& tolerance, const RemovalDelays& removal_delays);

  void SetPeers(Micros now, const std::vector<Peer>& peers);
  void OnContact(Micros now, const ReplicaId& from) { last_contact_[from] = now; }
  bool known() const { return known_; }
  bool IsAlive(const ReplicaId& id) const;
  // The node of that name is alive with another disk, or it is not alive and to be forgotten.
  bool IsReplaced(const ReplicaId& id) const;
  // Members that are permanently lost, by an operator's order.
  void SetForgotten(std::set<ReplicaId> forgotten) { forgotten_ = std::move(forgotten); }
  // What `members` acknowledge outlasts what may be lost, as far as the machines that are known
  // allow it.
  bool IsSufficientlyReplicated(const std::vector<ReplicaId>& members) const;
  // The most of them that may be lost at once.
  int MaxSimultaneousLosses(const std::vector<ReplicaId>& members) const;
  Target Compute(Micros now, const std::vector<ReplicaId>& members);

 private:
  bool IsDraining(const ReplicaId& id) const { return draining_.count(id) > 0; }
  Micros RemovalTime(Micros now, const ReplicaId& member);
  std::vector<ReplicaId> AdditionalMembers(const std::vector<ReplicaId>& members) const;

  struct Location {
    std::string zone, region;
  };
  std::map<std::string, int> CountByDomain(const std::vector<ReplicaId>& members,
                                           std::string Location::*domain) const;
  bool IsSpreadOverDomains(const std::vector<ReplicaId>& replicas,
                           const std::vector<ReplicaId>& all) const;

  const ReplicaId self_;
  const Tolerance tolerance_;
  const RemovalDelays removal_delays_;
  bool known_ = false;
  std::map<std::string, Location> locations_;  // by node name
  std::vector<ReplicaId> alive_;
  std::set<ReplicaId> draining_, forgotten_;
  std::map<ReplicaId, Micros> down_since_, last_contact_;
};

}  // namespace pearreach::coordination::chain

#endif  // PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_
