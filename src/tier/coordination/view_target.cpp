#include "tier/coordination/view_target.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/view_agreement.h"

namespace pearreach::coordination::chain {

namespace {

// Of the Z greatest counts.
int Greatest(const std::map<std::string, int>& counts, int number) {
  std::vector<int> sorted;
  sorted.reserve(counts.size());
  for (const auto& [name, count] : counts) sorted.push_back(count);
  std::sort(sorted.rbegin(), sorted.rend());
  int sum = 0;
  for (int at = 0; at < number && at < static_cast<int>(sorted.size()); ++at) sum += sorted[at];
  return sum;
}

// Copies in `have` places outlast the loss of `tolerance` of them, or are in all that there are.
bool Outlast(std::size_t have, std::size_t possible, int tolerance) {
  return have >= std::min(possible, static_cast<std::size_t>(std::max(tolerance, 0)) + 1);
}

}  // namespace

ViewTarget::ViewTarget(ReplicaId self, const Tolerance& tolerance, const Waits& waits)
    : self_(std::move(self)), tolerance_(tolerance), waits_(waits) {}

// Members whose place is not known are in none.
std::map<std::string, int> ViewTarget::CountBy(const std::vector<ReplicaId>& members,
                                               std::string Place::*part) const {
  std::map<std::string, int> counts;
  for (const ReplicaId& member : members) {
    const auto place = places_.find(member.name);
    if (place == places_.end() || (place->second.*part).empty()) continue;
    ++counts[place->second.*part];
  }
  return counts;
}

bool ViewTarget::IsSpread(const std::vector<ReplicaId>& copies,
                          const std::vector<ReplicaId>& all) const {
  return Outlast(copies.size(), all.size(), tolerance_.machines) &&
         Outlast(CountBy(copies, &Place::zone).size(), CountBy(all, &Place::zone).size(),
                 tolerance_.zones) &&
         Outlast(CountBy(copies, &Place::region).size(), CountBy(all, &Place::region).size(),
                 tolerance_.regions);
}

bool ViewTarget::IsWide(const std::vector<ReplicaId>& members) const {
  if (!known_) return true;
  std::vector<ReplicaId> all = members;
  const std::vector<ReplicaId> added = Added(members);
  all.insert(all.end(), added.begin(), added.end());
  return IsSpread(members, all);
}

int ViewTarget::MostLost(const std::vector<ReplicaId>& members) const {
  return std::max({tolerance_.machines, Greatest(CountBy(members, &Place::zone), tolerance_.zones),
                   Greatest(CountBy(members, &Place::region), tolerance_.regions)});
}

void ViewTarget::SetPeers(Micros now, const std::vector<Peer>& peers) {
  known_ = true;
  alive_.clear();
  leaving_.clear();
  alive_.push_back(self_);
  for (const Peer& peer : peers) {
    places_[peer.id.name] = {peer.zone, peer.region};
    if (peer.draining) leaving_.insert(peer.id);
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
    if (!Contains(members, peer) && !IsLeaving(peer)) added.push_back(peer);
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
      if (IsLeaving(member)) continue;
      staying.push_back(member);
      live.push_back(member);
      continue;
    }
    const Micros drop = DropTime(now, member);
    if (drop <= now) continue;
    target.next_change = std::min(target.next_change, drop);
    staying.push_back(member);
  }
  live.insert(live.end(), added.begin(), added.end());
  if (!IsSpread(live, members)) {  // too few live ones: only those that are replaced are dropped
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
