// Which members the next view should have, from the present one and what membership says.
#ifndef PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_
#define PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_

#include <map>
#include <set>
#include <vector>

#include "tier/coordination/chain.h"

namespace pearreach::coordination::chain {

constexpr Micros kNever = INT64_MAX / 4;

struct Target {
  std::vector<ReplicaId> members;
  Micros next_change = kNever;  // when it becomes another one with no further news
};

class ViewTarget {
 public:
  struct Waits {
    Micros steady = 0;      // a member is dropped once it has been down for so long,
    Micros heard = 0;       // so long after this replica heard from it itself,
    Micros first_drop = 0;  // and not before this time
  };
  ViewTarget(ReplicaId self, const Tolerance& tolerance, const Waits& waits);

  void SetPeers(Micros now, const std::vector<Peer>& peers);
  void Heard(Micros now, const ReplicaId& from) { heard_[from] = now; }
  bool known() const { return known_; }
  bool IsAlive(const ReplicaId& id) const;
  // The node of that name is alive with another disk.
  bool IsReplaced(const ReplicaId& id) const;
  // What `members` acknowledge outlasts what may be lost, as far as the machines that are known
  // allow it.
  bool IsWide(const std::vector<ReplicaId>& members) const;
  // The most of them that may be lost at once.
  int MostLost(const std::vector<ReplicaId>& members) const;
  Target Compute(Micros now, const std::vector<ReplicaId>& members);

 private:
  bool IsLeaving(const ReplicaId& id) const { return leaving_.count(id) > 0; }
  Micros DropTime(Micros now, const ReplicaId& member);
  std::vector<ReplicaId> Added(const std::vector<ReplicaId>& members) const;

  struct Place {
    std::string zone, region;
  };
  std::map<std::string, int> CountBy(const std::vector<ReplicaId>& members,
                                     std::string Place::*part) const;
  bool IsSpread(const std::vector<ReplicaId>& copies, const std::vector<ReplicaId>& all) const;

  const ReplicaId self_;
  const Tolerance tolerance_;
  const Waits waits_;
  bool known_ = false;
  std::map<std::string, Place> places_;  // by node name
  std::vector<ReplicaId> alive_;
  std::set<ReplicaId> leaving_;
  std::map<ReplicaId, Micros> down_since_, heard_;
};

}  // namespace pearreach::coordination::chain

#endif  // PEARREACH_SRC_TIER_COORDINATION_VIEW_TARGET_H_
