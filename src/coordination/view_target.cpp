#include "coordination/view_target.h"

#include <algorithm>
#include <utility>

#include "coordination/view_agreement.h"

namespace pearreach::coordination::chain {

ViewTarget::ViewTarget(ReplicaId self, int tolerance, const Waits& waits)
    : self_(std::move(self)), tolerance_(tolerance), waits_(waits) {}

void ViewTarget::SetPeers(Micros now, const std::vector<Peer>& peers) {
  known_ = true;
  alive_.clear();
  alive_.push_back(self_);
  for (const Peer& peer : peers) {
    if (peer.id.name == self_.name) continue;
    if (!peer.alive) {
      down_since_.try_emplace(peer.id, now);
      continue;
    }
    alive_.push_back(peer.id);
    down_since_.erase(peer.id);
  }
  std::sort(alive_.begin() + 1, alive_.end());
}

bool ViewTarget::IsAlive(const ReplicaId& id) const { return id == self_ || Contains(alive_, id); }

bool ViewTarget::IsReplaced(const ReplicaId& id) const {
  if (IsAlive(id)) return false;
  return std::any_of(alive_.begin(), alive_.end(),
                     [&](const ReplicaId& peer) { return peer.name == id.name; });
}

std::vector<ReplicaId> ViewTarget::Added(const std::vector<ReplicaId>& members) const {
  std::vector<ReplicaId> added;
  for (const ReplicaId& peer : alive_) {
    if (!Contains(members, peer)) added.push_back(peer);
  }
  return added;
}

// Membership may be wrong about a member, so what it sent itself counts for some while.
Micros ViewTarget::DropTime(Micros now, const ReplicaId& member) {
  const Micros since = down_since_.try_emplace(member, now).first->second;
  Micros drop = std::max(since + waits_.steady, waits_.first_drop);
  const auto heard = heard_.find(member);
  if (heard != heard_.end()) drop = std::max(drop, heard->second + waits_.heard);
  return drop;
}

Target ViewTarget::Compute(Micros now, const std::vector<ReplicaId>& members) {
  Target target;
  if (!known_) {
    target.members = members;
    return target;
  }
  const std::vector<ReplicaId> added = Added(members);
  std::vector<ReplicaId> staying, live;
  for (const ReplicaId& member : members) {
    if (IsReplaced(member)) continue;
    if (IsAlive(member)) {
      staying.push_back(member);
      live.push_back(member);
      continue;
    }
    const Micros drop = DropTime(now, member);
    if (drop <= now) continue;
    target.next_change = std::min(target.next_change, drop);
    staying.push_back(member);
  }
  const std::size_t least =
      std::min(members.size(), static_cast<std::size_t>(std::max(tolerance_, 0)) + 1);
  if (live.size() + added.size() < least) {  // too few live ones: nobody is dropped for being down
    staying.clear();
    for (const ReplicaId& member : members) {
      if (!IsReplaced(member)) staying.push_back(member);
    }
    target.next_change = kNever;
  }
  target.members = std::move(staying);
  target.members.insert(target.members.end(), added.begin(), added.end());
  return target;
}

}  // namespace pearreach::coordination::chain
