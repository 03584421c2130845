#include "tier/control/founders.h"

#include <set>

namespace pearreach::control {
namespace {

using coordination::MemberInfo;
using coordination::ReplicaId;

std::vector<ReplicaId> FirstByName(const MemberMap& members, std::size_t most) {
  std::vector<ReplicaId> founders;
  for (const auto& [name, member] : members) {
    if (founders.size() == most) break;
    if (member.info.Is(MemberInfo::kQuorumMember)) founders.push_back({name, member.info.disk_id});
  }
  return founders;
}

// Any majority of the founders is one of all that could be founders, so that another node's choice
// with other unknown seeds cannot be agreed on too.
bool ExcludesOtherChoices(std::size_t founders, std::size_t unknown) {
  const std::size_t majority = founders / 2 + 1;
  return founders > 0 && 2 * majority > founders + unknown;
}

}  // namespace

std::optional<std::vector<ReplicaId>> ChooseFounders(const MemberMap& members,
                                                     const std::vector<std::string>& seeds,
                                                     bool waited) {
  std::set<std::string> unknown;
  for (const std::string& seed : seeds) unknown.insert(IpOf(seed));
  const std::set<std::string> seed_ips = unknown;
  std::vector<ReplicaId> founders;
  for (const auto& [name, member] : members) {
    const std::string ip = IpOf(member.info.address);
    if (seed_ips.count(ip) == 0) continue;
    unknown.erase(ip);
    if (member.info.Is(MemberInfo::kQuorumMember)) founders.push_back({name, member.info.disk_id});
  }
  if (unknown.empty() && !founders.empty()) return founders;
  if (!waited) return std::nullopt;
  if (ExcludesOtherChoices(founders.size(), unknown.size())) return founders;
  if (!unknown.empty()) return std::nullopt;
  std::vector<ReplicaId> first = FirstByName(members, seed_ips.size());
  if (first.empty()) return std::nullopt;
  return first;
}

}  // namespace pearreach::control
