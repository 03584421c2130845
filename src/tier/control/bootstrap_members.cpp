#include "tier/control/bootstrap_members.h"

#include <set>

namespace pearreach::control {
namespace {

using coordination::MemberInfo;
using coordination::ReplicaId;

std::vector<ReplicaId> FirstQuorumMembers(const MemberMap& members, std::size_t max_count) {
  std::vector<ReplicaId> bootstrap_members;
  for (const auto& [name, member] : members) {
    if (bootstrap_members.size() == max_count) break;
    if (member.info.Is(MemberInfo::kQuorumMember))
      bootstrap_members.push_back({name, member.info.disk_id});
  }
  return bootstrap_members;
}

// Any majority of the chosen members intersects any majority of another node's choice, which may
// include the seeds that are unknown here: no two such choices can both be agreed on.
bool ExcludesOtherChoices(std::size_t bootstrap_members, std::size_t unknown) {
  const std::size_t majority = bootstrap_members / 2 + 1;
  return bootstrap_members > 0 && 2 * majority > bootstrap_members + unknown;
}

}  // namespace

std::optional<std::vector<ReplicaId>> ChooseBootstrapMembers(const MemberMap& members,
                                                             const std::vector<std::string>& seeds,
                                                             bool seed_wait_over) {
  std::set<std::string> unknown;
  for (const std::string& seed : seeds) unknown.insert(IpOf(seed));
  const std::set<std::string> seed_ips = unknown;
  std::vector<ReplicaId> bootstrap_members;
  for (const auto& [name, member] : members) {
    const std::string ip = IpOf(member.info.address);
    if (seed_ips.count(ip) == 0) continue;
    unknown.erase(ip);
    if (member.info.Is(MemberInfo::kQuorumMember))
      bootstrap_members.push_back({name, member.info.disk_id});
  }
  if (unknown.empty() && !bootstrap_members.empty()) return bootstrap_members;
  if (!seed_wait_over) return std::nullopt;
  if (ExcludesOtherChoices(bootstrap_members.size(), unknown.size())) return bootstrap_members;
  if (!unknown.empty()) return std::nullopt;
  std::vector<ReplicaId> first = FirstQuorumMembers(members, seed_ips.size());
  if (first.empty()) return std::nullopt;
  return first;
}

}  // namespace pearreach::control
