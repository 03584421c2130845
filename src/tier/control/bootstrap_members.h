// Which quorum members make up the first view when the whole system starts for the first time. All
// nodes must come to the same choice, or to choices of which no two can both find a majority.
#ifndef PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_
#define PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_

#include <optional>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/coordination/chain.h"

namespace pearreach::control {

// Default: how long seeds that do not show up are waited for.
inline constexpr std::int64_t kSeedWaitTimeout = 2'000'000;

// `seeds`: addresses of the machines that every node was told of; only their IPs count. `waited`:
// kSeedWaitTimeout is over. Empty: not decided yet.
std::optional<std::vector<coordination::ReplicaId>> ChooseBootstrapMembers(
    const MemberMap& members, const std::vector<std::string>& seeds, bool seed_wait_over);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_
