#include "tier/coordination/view_target.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/view_agreement.h"

namespace pearreach::coordination::chain {

namespace {

// The sum of the `number` largest counts.
int SumOfLargest(const std::map<std::string, int>& counts, int number) {
  std::vector<int> sorted;
  sorted.reserve(counts.size());
  for (const auto& [name, count] : counts) sorted.push_back(count);
  std::sort(sorted.rbegin(), sorted.rend());
  int sum = 0;
  for (int at = 0; at < number && at < static_cast<int>(sorted.size()); ++at) sum += sorted[at];
  return sum;
}

// Replicas in `have` domains survive the loss of `tolerance` of them, or are in all `possible`
// ones.
bool SurvivesLosses(std::size_t have, std::size_t possible, int tolerance) {
  return have >= std::min(possible, static_cast<std::size_t>(std::max(tolerance, 0)) + 1);
}

}  // namespace

ViewTarget::ViewTarget(ReplicaId self, const Tolerance& tolerance,
                       const RemovalDelays& removal_delays)
    : self_(std::move(self)), tolerance_(tolerance), removal_delays_(removal_delays) {}

// Members whose location is not known are in no domain.
std::map<std::string, int> ViewTarget::CountByDomain(const std::vector<ReplicaId>& members,
                                                     std::string Location::*domain) const {
  std::map<std::string, int> counts;
  for (const ReplicaId& member : members) {
    const auto location = locations_.find(member.name);
    if (location == locations_.end() || (location->second.*domain).empty()) continue;
    ++counts[location->second.*domain];
  }
  return counts;
}

bool ViewTarget::IsSpreadOverDomains(const std::vector<ReplicaId>& replicas,
                                     const std::vector<ReplicaId>& all) const {
  return SurvivesLosses(replicas.size(), all.size(), tolerance_.machines) &&
         SurvivesLosses(CountByDomain(replicas, &Location::zone).size(),
                        CountByDomain(all, &Location::zone).size(), tolerance_.zones) &&
         SurvivesLosses(CountByDomain(replicas, &Location::region).size(),
                        CountByDomain(all, &Location::region).size(), tolerance_.regions);
}

bool ViewTarget::IsSufficientlyReplicated(const std::vector<ReplicaId>& members) const {
  if (!known_) return true;
  std::vector<ReplicaId> all = members;
  const std::vector<ReplicaId> added = AdditionalMembers(members);
  all.insert(all.end(), added.begin(), added.end());
  return IsSpreadOverDomains(members, all);
}

int ViewTarget::MaxSimultaneousLosses(const std::vector<ReplicaId>& members) const {
  return std::max({tolerance_.machines,
                   SumOfLargest(CountByDomain(members, &Location::zone), tolerance_.zones),
                   SumOfLargest(CountByDomain(members, &Location::region), tolerance_.regions)});
}

void ViewTarget::SetPeers(Micros now, const std::vector<Peer>& peers) {
  known_ = true;
  alive_.clear();
  draining_.clear();
  alive_.push_back(self_);
  for (const Peer& peer : peers) {
    locations_[peer.id.name] = {peer.zone, peer.region};
    if (peer.draining) draining_.insert(peer.id);
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
  if (forgotten_.count(id) > 0) return true;
  return std::any_of(alive_.begin(), alive_.end(),
                     [&](const ReplicaId& peer) { return peer.name == id.name; });
}

std::vector<ReplicaId> ViewTarget::AdditionalMembers(const std::vector<ReplicaId>& members) const {
  std::vector<ReplicaId> added;
  for (const ReplicaId& peer : alive_) {
    if (!Contains(members, peer) && !IsDraining(peer)) added.push_back(peer);
  }
  return added;
}

// Membership may be wrong about a member, so its own messages count for a while.
Micros ViewTarget::RemovalTime(Micros now, const ReplicaId& member) {
  const Micros since = down_since_.try_emplace(member, now).first->second;
  Micros removal = std::max(since + removal_delays_.after_down, removal_delays_.not_before);
  const auto contact = last_contact_.find(member);
  if (contact != last_contact_.end())
    removal = std::max(removal, contact->second + removal_delays_.after_contact);
  return removal;
}

Target ViewTarget::Compute(Micros now, const std::vector<ReplicaId>& members) {
  Target target;
  if (!known_) {
    target.members = members;
    return target;
  }
  const std::vector<ReplicaId> added = AdditionalMembers(members);
  std::vector<ReplicaId> staying, live;
  for (const ReplicaId& member : members) {
    if (IsReplaced(member)) continue;
    if (IsAlive(member)) {
      if (IsDraining(member)) continue;
      staying.push_back(member);
      live.push_back(member);
      continue;
    }
    const Micros removal = RemovalTime(now, member);
    if (removal <= now) continue;
    target.next_change = std::min(target.next_change, removal);
    staying.push_back(member);
  }
  live.insert(live.end(), added.begin(), added.end());
  if (!IsSpreadOverDomains(live,
                           members)) {  // too few live ones: only replaced members are removed
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
