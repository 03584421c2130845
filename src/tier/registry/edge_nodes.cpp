#include "tier/registry/edge_nodes.h"

#include <algorithm>
#include <utility>

#include "tier/registry/worker_table.h"

namespace pearreach::registry {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kMaxListAge = kSecond;           // a list of nodes is used for so long
constexpr std::size_t kEdgeNodesPerReceiver = 8;  // edge nodes for one that receives heartbeats
constexpr char kKeySeparator = '/';

bool IsLiveStatus(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

// Those that receive heartbeats: all quorum members, and others up to the quota.
std::vector<std::string> ChooseReceivers(const std::vector<const EdgeNode*>& nodes) {
  std::vector<const EdgeNode*> able;
  for (const EdgeNode* node : nodes)
    if (node->receives_heartbeats && !node->suspect) able.push_back(node);
  std::sort(able.begin(), able.end(), [](const EdgeNode* a, const EdgeNode* b) {
    if (a->quorum_member != b->quorum_member) return a->quorum_member;
    return std::pair(a->id, a->name) < std::pair(b->id, b->name);
  });
  const auto members = static_cast<std::size_t>(std::count_if(
      able.begin(), able.end(), [](const EdgeNode* node) { return node->quorum_member; }));
  const std::size_t quota = (nodes.size() + kEdgeNodesPerReceiver - 1) / kEdgeNodesPerReceiver;
  able.resize(std::min(able.size(), std::max({members, quota, std::size_t{1}})));
  std::vector<std::string> names;
  names.reserve(able.size());
  for (const EdgeNode* node : able) names.push_back(node->name);
  return names;
}

}  // namespace

EdgeList NodesInRange(const EdgeList& nodes, std::string_view first, std::string_view last,
                      const std::string& excluded) {
  EdgeList part;
  const auto begin =
      std::lower_bound(nodes.begin(), nodes.end(), first,
                       [](const EdgeRef& node, std::string_view key) { return node->key < key; });
  for (auto it = begin; it != nodes.end() && (*it)->key <= last; ++it)
    if ((*it)->name != excluded) part.push_back(*it);
  return part;
}

std::vector<EdgeList> SplitEvenly(const EdgeList& nodes, std::size_t parts) {
  std::vector<EdgeList> split;
  parts = std::min(parts, nodes.size());
  for (std::size_t i = 0; i < parts; ++i) {
    const auto begin = nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() * i / parts);
    const auto end = nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() * (i + 1) / parts);
    split.emplace_back(begin, end);
  }
  return split;
}

HeartbeatReceivers::HeartbeatReceivers(const EdgeList& nodes) {
  std::map<std::string, std::vector<const EdgeNode*>> zones;
  for (const EdgeRef& node : nodes) {
    zones[""].push_back(node.get());
    if (!node->zone.empty()) zones[node->zone].push_back(node.get());
  }
  for (const auto& [zone, members] : zones) by_zone_[zone] = ChooseReceivers(members);
}

std::string HeartbeatReceivers::Choose(const std::string& worker_id,
                                       const std::string& zone) const {
  for (const std::string& where : {zone, std::string()}) {
    const auto found = by_zone_.find(where);
    if (found == by_zone_.end() || found->second.empty()) continue;
    return found->second[HashOf(worker_id) % found->second.size()];
  }
  return "";
}

const EdgeList& EdgeNodes::Recent(Micros now) {
  if (refreshed_at_ != 0 && now - refreshed_at_ < kMaxListAge) return nodes_;
  return Current(now);
}

const EdgeList& EdgeNodes::Current(Micros now) {
  refreshed_at_ = now;
  receivers_known_ = false;
  nodes_.clear();
  for (const auto& [name, member] : control_->members()) {
    if (!member.info.Is(MemberInfo::kServesEdge) || !IsLiveStatus(member.status)) continue;
    EdgeNode node;
    node.key = member.info.zone + kKeySeparator + name;
    node.name = name;
    node.address = member.info.address;
    node.zone = member.info.zone;
    node.id = HashOf(name);
    node.suspect = member.status == MemberStatus::kSuspect;
    node.receives_heartbeats = member.info.Is(MemberInfo::kServesControl);
    node.quorum_member = member.info.Is(MemberInfo::kQuorumMember);
    nodes_.push_back(std::make_shared<const EdgeNode>(std::move(node)));
  }
  std::sort(nodes_.begin(), nodes_.end(),
            [](const EdgeRef& a, const EdgeRef& b) { return a->key < b->key; });
  return nodes_;
}

const HeartbeatReceivers& EdgeNodes::RecentReceivers(Micros now) {
  const EdgeList& nodes = Recent(now);
  if (!receivers_known_) receivers_ = HeartbeatReceivers(nodes);
  receivers_known_ = true;
  return receivers_;
}

bool EdgeNodes::IsLive(const std::string& name) const {
  const auto found = control_->members().find(name);
  return found != control_->members().end() && IsLiveStatus(found->second.status);
}

std::string EdgeNodes::AddressOf(const std::string& name) const {
  const auto found = control_->members().find(name);
  return found == control_->members().end() ? "" : found->second.info.address;
}

}  // namespace pearreach::registry
