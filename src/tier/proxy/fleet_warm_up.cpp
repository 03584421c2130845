#include "tier/proxy/fleet_warm_up.h"

namespace pearreach::proxy {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

}  // namespace

FleetWarmUp::FleetWarmUp(const control::ControlClient* control, std::string node_name,
                         Micros started_at, Micros discovery_time)
    : control_(control),
      node_name_(std::move(node_name)),
      deadline_(started_at + discovery_time),
      discovery_time_(discovery_time) {}

Micros FleetWarmUp::WarmUpDeadline(Micros now) const {
  return now < deadline_ && !HasOlderNode() ? deadline_ : 0;
}

// An incarnation is the start time of the process in Unix milliseconds.
bool FleetWarmUp::HasOlderNode() const {
  const auto& members = control_->members();
  const auto self = members.find(node_name_);
  if (self == members.end()) return false;
  const auto margin = static_cast<std::uint64_t>(discovery_time_ / kMs);
  for (const auto& [name, member] : members) {
    const bool live =
        member.status == MemberStatus::kAlive || member.status == MemberStatus::kSuspect;
    if (!live || !member.info.Is(MemberInfo::kServesEdge)) continue;
    if (member.info.incarnation + margin < self->second.info.incarnation) return true;
  }
  return false;
}

}  // namespace pearreach::proxy
